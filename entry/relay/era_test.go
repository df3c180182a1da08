package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/catalog"
)

// restore has the store come back with the first count records of the endpoints feed.
func (f *fleet) restore(count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints = slices.Clone(f.endpoints[:count])
	f.era.Add(1)
}

// countInEra returns the number of instances that are in the store's era with all feeds.
func (f *fleet) countInEra() int {
	count := 0
	for _, r := range f.registries {
		current := true
		for _, head := range r.Heads() {
			current = current && int64(head.Era) == f.era.Load()
		}
		if current {
			count++
		}
	}
	return count
}

// countWithEndpoint returns the number of instances whose view has the endpoint.
func (f *fleet) countWithEndpoint(id string) int {
	count := 0
	for _, r := range f.registries {
		if slices.ContainsFunc(r.View().Endpoints["s"], func(e *catalog.Endpoint) bool { return string(e.ID) == id }) {
			count++
		}
	}
	return count
}

// TestNewEra checks that all instances learn what the store holds after it came back from an older
// copy, in which offsets are given out again, and that it is listed by the readers only.
func TestNewEra(t *testing.T) {
	rows := []struct {
		name         string
		storeRejects func(name string) bool
		within       time.Duration
		// maxListings is the number of readers that the store serves times that of feeds.
		maxListings int64
	}{
		{"no faults", func(string) bool { return false }, 1900 * time.Millisecond, 9},
		{"the store rejects all instances of a zone", func(n string) bool { return n[:2] == "z1" }, 2900 * time.Millisecond, 6},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			inVirtualTime(t, func(ctx context.Context) {
				f := newFleet(ctx, 3, 8)
				for sequence := range 30 {
					f.writeEndpoint("a", sequence+1)
				}
				time.Sleep(5 * time.Second)
				f.mu.Lock()
				f.storeRejects = row.storeRejects
				f.mu.Unlock()
				before := f.listings.Load()
				f.restore(10)
				time.Sleep(200 * time.Millisecond)
				for sequence := range 20 {
					f.writeEndpoint("b", sequence+1)
				}
				time.Sleep(row.within)
				if n := f.countWithEndpoint("b"); n != len(f.registries) {
					t.Errorf("%d of %d instances know the new endpoint after %v", n, len(f.registries), row.within)
				}
				time.Sleep(3 * time.Second)
				if n := f.countInEra(); n != len(f.registries) {
					t.Errorf("%d of %d instances are in the new era", n, len(f.registries))
				}
				if listings := f.listings.Load() - before; listings > row.maxListings {
					t.Errorf("%d listings, want at most %d", listings, row.maxListings)
				}
			})
		})
	}
}

// TestStoreOfAnEarlierEra guards against an instance that calls the store all the time, because a peer
// told it of an era that the store is not in.
func TestStoreOfAnEarlierEra(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context) {
		f := newFleet(ctx, 1, 1)
		time.Sleep(5 * time.Second)
		r := f.registries[0]
		head, _ := r.Head(registry.FeedOrders)
		r.Merge(registry.Batch{Feed: registry.FeedOrders, Era: 5, Full: true, Head: head.Offset, Source: "peer"})
		before := f.storeReads.Load()
		const seconds = 10
		time.Sleep(seconds * time.Second)
		// Each of the three feeds is tried again after 1 s, with up to two calls.
		if n := f.storeReads.Load() - before; n > 2*3*seconds {
			t.Errorf("%d calls in %d s", n, seconds)
		}
		if r.View().Config == nil {
			t.Error("the configuration is lost")
		}
	})
}

// TestHeadsOnTheWire checks that heads are understood by instances that know no eras, and theirs here.
func TestHeadsOnTheWire(t *testing.T) {
	rows := []struct {
		name  string
		heads map[registry.Feed]registry.Position
		want  string
	}{
		{"no feed was read", nil, `{}`},
		{"a store without eras", map[registry.Feed]registry.Position{registry.FeedOrders: {Offset: 3}}, `{"heads":{"orders":3}}`},
		{"a store with eras", map[registry.Feed]registry.Position{registry.FeedOrders: {Era: 2, Offset: 3}, registry.FeedOutcomes: {Era: 1}},
			`{"heads":{"orders":3,"outcomes":0},"eras":{"orders":2,"outcomes":1}}`},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var m Message
			m.setHeads(row.heads)
			data, err := json.Marshal(struct {
				Heads map[registry.Feed]registry.Offset `json:"heads,omitempty"`
				Eras  map[registry.Feed]registry.Era    `json:"eras,omitempty"`
			}{m.Heads, m.Eras})
			if err != nil || string(data) != row.want {
				t.Errorf("%s, want %s: %v", data, row.want, err)
			}
			var received Message
			if err := json.Unmarshal(data, &received); err != nil {
				t.Fatal(err)
			}
			if got := received.heads(); fmt.Sprint(got) != fmt.Sprint(row.heads) {
				t.Errorf("%v, want %v", got, row.heads)
			}
		})
	}
}
