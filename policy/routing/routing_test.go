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

// fleet returns endpoints of 20 versions spread over zones.
func fleet(count, zones int) []*Endpoint {
	var list []*Endpoint
	for i := range count {
		list = append(list, &Endpoint{
			ID: EndpointID(fmt.Sprintf("e%04d", i)), Zone: ticket.ZoneName(fmt.Sprint("z", i/20%zones)),
			Serves: ServedName(fmt.Sprintf("m@%d", i%20)), Warm: true, Slots: 8, OwnInFlight: i % 5,
		})
	}
	return list
}

func query(view *ticket.View) *Query {
	return &Query{View: view, Freshness: &Freshness{Zone: "z0", ConfigFresh: true}, Workspace: "w", Target: Target{Version: "m@3"}}
}

func TestChoose(t *testing.T) {
	view := testView()
	random := rand.New(rand.NewPCG(1, 1))
	one := func(change func(*Endpoint)) *Pool {
		e := &Endpoint{ID: "e", Zone: "z0", Serves: "m@3", Warm: true, Slots: 2}
		change(e)
		return NewPool([]*Endpoint{e})
	}
	tables := []struct {
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
		{"another version", func(e *Endpoint) { e.Serves = "m@4" }, ReasonNoEndpoint, false},
		{"ejected, yet the last", func(e *Endpoint) { e.Ejected = true }, ReasonEjected, true},
		{"full", func(e *Endpoint) { e.OwnInFlight = 9 }, ReasonOnlyCandidate, true},
	}
	for _, table := range tables {
		Convey(table.name, t, func() {
			choice := one(table.change).Choose(query(view), random)
			So(choice.Endpoint != nil, ShouldEqual, table.chosen)
			So(choice.Reason, ShouldEqual, table.reason)
		})
	}
	Convey("Ejection never empties a pool", t, func() {
		endpoints := fleet(200, 1)
		for _, e := range endpoints {
			e.Ejected = true
		}
		So(NewPool(endpoints).Choose(query(view), random).Endpoint, ShouldNotBeNil)
	})
	Convey("Another zone's endpoint needs a confirmed view", t, func() {
		pool := one(func(e *Endpoint) { e.Zone = "z1" })
		q := query(view)
		q.Freshness = &Freshness{Zone: "z0"}
		So(pool.Choose(q, random).Reason, ShouldEqual, ReasonViewStale)
		q.Freshness.FreshZones = map[ticket.ZoneName]bool{"z1": true}
		So(pool.Choose(q, random).Endpoint, ShouldNotBeNil)
	})
	Convey("The endpoints looked at grow no faster than the candidates", t, func() {
		small := NewPool(fleet(100, 2)).Choose(query(view), random)
		large := NewPool(fleet(600, 2)).Choose(query(view), random)
		So(large.Considered, ShouldBeLessThanOrEqualTo, small.Considered+2*draws)
	})
}

func BenchmarkChoose(b *testing.B) {
	view := testView()
	for _, count := range []int{20, 100, 600} {
		b.Run(fmt.Sprintf("endpoints-%d", count), func(b *testing.B) {
			pool := NewPool(fleet(count, 7))
			q := query(view)
			q.Prefix = 12345
			random := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			for b.Loop() {
				pool.Choose(q, random)
			}
		})
	}
}
