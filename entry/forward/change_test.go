package forward

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/routing"
)

// change has the plain endpoints write new entries, of the release and slots.
func (b *bench) change(release catalog.Release, slots int) {
	head, _ := b.registry.Head(registry.FeedEndpoints)
	batch := registry.Batch{Feed: registry.FeedEndpoints, From: head, Head: head}
	for i := range 4 {
		id := fmt.Sprint("plain", i)
		batch.Records = append(batch.Records, registry.Record{Key: id, Value: fmt.Appendf(nil, "%s %d", release, slots), Offset: batch.Head})
		batch.Head++
	}
	b.registry.Merge(batch)
}

// decodeChanges decodes what change wrote.
func (b *bench) decodeChanges() {
	decode := b.registry.Decode
	b.registry.Decode = func(r *registry.Record) (registry.Object, error) {
		e := &catalog.Endpoint{ID: routing.EndpointID(r.Key), StartedAt: 1, Service: "plain", Zone: "a"}
		if n, _ := fmt.Sscanf(string(r.Value), "%s %d", &e.Release, &e.Slots); n < 2 {
			return decode(r)
		}
		return registry.Object{Endpoint: e}, nil
	}
}

// TestEndpointChangesDuringAnAnswer has endpoints write new entries while one of them
// answers: the answer counts for the release to which the request was sent.
func TestEndpointChangesDuringAnAnswer(t *testing.T) {
	b := newBench()
	b.decodeChanges()
	b.answer = func(n int, _ *Attempt) (*Response, error) {
		if n == 1 {
			b.change("v2", 6)
			b.serve(t.Context(), "/safe/x", nil) // It takes the new view.
		}
		return whole(200), nil
	}
	b.serve(t.Context(), "/safe/x", func(r *Request) { r.Session = "s" })
	if got := b.releases.sessions["s"].release; got != "v1" {
		t.Errorf("the session is pinned to %q, but its request was sent to v1", got)
	}
}

// TestEndpointsChangeUnderLoad is for the race detector: requests run while the view
// that they share changes.
func TestEndpointsChangeUnderLoad(t *testing.T) {
	b := newBench()
	b.decodeChanges()
	b.parts.Sender.Send = func(_ context.Context, a *Attempt) (*Response, error) {
		if a.Endpoint.Slots%3 == 0 {
			return nil, failure(KindBroken)
		}
		return whole(200), nil
	}
	var callers sync.WaitGroup
	for range 4 {
		callers.Go(func() {
			for range 100 {
				b.serve(t.Context(), "/safe/x", func(r *Request) { r.Session = "s" })
			}
		})
	}
	for slots := range 100 {
		b.change("v1", 10+slots)
	}
	callers.Wait()
}
