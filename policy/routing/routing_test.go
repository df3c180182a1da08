package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"foxtailbridge/policy/ticket"
)

func testView() *ticket.View {
	s := ticket.NewState()
	t := &ticket.Ticket{Number: 1, Author: "test", Zones: []ticket.Zone{{Name: "out", State: ticket.ZoneOutOfService}}}
	w := ticket.Workspace{Name: "w", State: ticket.LifecycleActive}
	for i := range 20 {
		ref := ticket.VersionRef(fmt.Sprintf("m@%d", i))
		t.Versions = append(t.Versions, ticket.ModelVersion{Ref: ref, State: ticket.VersionActive})
		w.Allowed = append(w.Allowed, ref)
	}
	t.Workspaces = []ticket.Workspace{w}
	s.Merge(t.Entries(0))
	return s.View()
}

// newEndpoints returns endpoints that serve 20 versions, spread over zones.
func newEndpoints(count, zones int) []*Endpoint {
	var list []*Endpoint
	for i := range count {
		list = append(list, &Endpoint{
			ID: EndpointID(fmt.Sprintf("e%04d", i)), Zone: ticket.ZoneName(fmt.Sprint("z", i/20%zones)),
			Serves: ServedName(fmt.Sprintf("m@%d", i%20)), Warm: true, Slots: 8, OwnInFlight: i % 5,
		})
	}
	return list
}

func newQuery(view *ticket.View) *Query {
	return &Query{View: view, Freshness: &Freshness{Zone: "z0", ConfigFresh: true}, Workspace: "w", Target: Target{Version: "m@3"}}
}

func TestChoose(t *testing.T) {
	view := testView()
	random := rand.New(rand.NewPCG(1, 1))
	poolOf := func(change func(*Endpoint)) *Pool {
		e := &Endpoint{ID: "e", Zone: "z0", Serves: "m@3", Warm: true, Slots: 2}
		change(e)
		return NewPool([]*Endpoint{e})
	}
	tests := []struct {
		name   string
		change func(*Endpoint)
		reason Reason
		chosen bool
	}{
		{"only one", func(*Endpoint) {}, ReasonOnlyCandidate, true},
		{"down", func(e *Endpoint) { e.Down = true }, ReasonDown, false},
		{"cold", func(e *Endpoint) { e.Warm = false }, ReasonCold, false},
		{"leaving", func(e *Endpoint) { e.Draining = true }, ReasonDraining, false},
		{"zone out", func(e *Endpoint) { e.Zone = "out" }, ReasonZoneOut, false},
		{"serves another version", func(e *Endpoint) { e.Serves = "m@4" }, ReasonNoEndpoint, false},
		{"ejected, but the only one", func(e *Endpoint) { e.Ejected = true }, ReasonEjected, true},
		{"full", func(e *Endpoint) { e.OwnInFlight = 9 }, ReasonOnlyCandidate, true},
	}
	for _, tt := range tests {
		Convey(tt.name, t, func() {
			choice := poolOf(tt.change).Choose(newQuery(view), random)
			So(choice.Endpoint != nil, ShouldEqual, tt.chosen)
			So(choice.Reason, ShouldEqual, tt.reason)
		})
	}
	Convey("A pool stays usable if all endpoints are ejected", t, func() {
		endpoints := newEndpoints(200, 1)
		for _, e := range endpoints {
			e.Ejected = true
		}
		So(NewPool(endpoints).Choose(newQuery(view), random).Endpoint, ShouldNotBeNil)
	})
	Convey("An endpoint in another zone requires a fresh view", t, func() {
		pool := poolOf(func(e *Endpoint) { e.Zone = "z1" })
		q := newQuery(view)
		q.Freshness = &Freshness{Zone: "z0"}
		So(pool.Choose(q, random).Reason, ShouldEqual, ReasonViewStale)
		q.Freshness.FreshZones = map[ticket.ZoneName]bool{"z1": true}
		So(pool.Choose(q, random).Endpoint, ShouldNotBeNil)
	})
	Convey("The number of endpoint checks is bounded by the number of draws", t, func() {
		small := NewPool(newEndpoints(100, 2)).Choose(newQuery(view), random)
		large := NewPool(newEndpoints(600, 2)).Choose(newQuery(view), random)
		So(large.Considered, ShouldBeLessThanOrEqualTo, small.Considered+2*maxDraws)
	})
}

func BenchmarkChoose(b *testing.B) {
	view := testView()
	for _, count := range []int{20, 100, 600} {
		b.Run(fmt.Sprintf("endpoints-%d", count), func(b *testing.B) {
			pool := NewPool(newEndpoints(count, 7))
			q := newQuery(view)
			q.Prefix = 12345
			random := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			for b.Loop() {
				pool.Choose(q, random)
			}
		})
	}
}
