package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

func states(count, slots int) []*State {
	var list []*State
	for i := range count {
		zone := ticket.ZoneName([]string{"a", "b"}[i%2])
		list = append(list, NewState(&catalog.Endpoint{ID: routing.EndpointID(fmt.Sprint("e", i)), Zone: zone, Slots: slots}, 0, 1))
	}
	return list
}

func query(now clock.Millis, parts ...Part) *Query {
	return &Query{
		Now: now, Zone: "a", Parts: parts, RelativeCost: 1, MaxUtilization: 1.3, ColdRate: 2, AllowUnconfirmed: true,
		Accept: func(*catalog.Endpoint) bool { return true },
	}
}

func TestChoose(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	Convey("All instances send a shared part to the same home while it has room", t, func() {
		homes := map[routing.EndpointID]bool{}
		for range 20 {
			list := states(12, 48)
			c := Choose(list, query(1000, Part{"sys", 500}, Part{"thing-7", 4800}, Part{"own", 6000}), random)
			homes[c.State.Endpoint.ID] = true
		}
		So(len(homes), ShouldEqual, 1)
	})
	Convey("A hot part leaves its home before the home is full", t, func() {
		list := states(12, 48)
		used := map[routing.EndpointID]int{}
		for range 200 {
			q := query(1000, Part{"sys", 100}, Part{"hot", 400}, Part{"own", 300})
			c := Choose(list, q, random)
			So(c.State, ShouldNotBeNil)
			So(q.Acquire(c.State), ShouldBeTrue)
			used[c.State.Endpoint.ID]++
		}
		So(len(used), ShouldBeGreaterThan, 6)
		for _, n := range used {
			So(n, ShouldBeLessThan, 48)
		}
	})
	Convey("An endpoint that fails more than its peers is left for the others", t, func() {
		list := states(4, 6)
		list[0].ExcessFailureRate = 0.3
		for range 50 {
			So(Choose(list, query(1000), random).State, ShouldNotEqual, list[0])
		}
	})
	Convey("Endpoints that all seem sick are still used", t, func() {
		list := states(3, 6)
		for _, s := range list {
			s.ExcessFailureRate = 0.5
		}
		So(Choose(list, query(1000), random).State, ShouldNotBeNil)
	})
	Convey("A full service says so, and how much waits there", t, func() {
		list := states(2, 4)
		for _, s := range list {
			s.SetReportedLoad(Load{Running: 4, Waiting: 3, Slots: 4}, 900)
		}
		c := Choose(list, query(1000), random)
		So(c.State, ShouldBeNil)
		So(c.Reason, ShouldEqual, routing.ReasonFull)
		So(c.Waiting, ShouldEqual, 6)
		So(c.FreeSlots, ShouldEqual, 0)
	})
	Convey("An endpoint out of reach is left alone, longer each time, and then tried by what may repeat", t, func() {
		list := states(1, 4)
		list[0].MarkUnreachable(1000)
		So(Choose(list, query(1100), random).Reason, ShouldEqual, routing.ReasonDown)
		later := query(1000+firstPause, Part{"p", 1})
		later.AllowUnconfirmed = false
		So(Choose(list, later, random).State, ShouldBeNil)
		later.AllowUnconfirmed = true
		So(Choose(list, later, random).State, ShouldEqual, list[0])
		list[0].MarkUnreachable(1500)
		So(list[0].InBackoff(1500+firstPause), ShouldBeTrue)
		list[0].MarkReachable(1600)
		So(list[0].InBackoff(1600), ShouldBeFalse)
	})
	Convey("A cold endpoint gets this instance's part of what it bears", t, func() {
		list := states(1, 48)
		list[0].ColdUntil = 10 * clock.Second
		sent := 0
		for now := clock.Millis(1000); now < 2000; now += 10 {
			q := query(now)
			if c := Choose(list, q, random); c.State != nil && q.Acquire(c.State) {
				sent++
			}
		}
		So(sent, ShouldBeBetweenOrEqual, 2, 3)
	})
	Convey("Endpoints that fail at once draw no more requests than others, also at machines that never met them", t, func() {
		const machines, endpoints, sick = 20, 12, 3
		views := make([][]*State, machines)
		for m := range views {
			views[m] = states(endpoints, 32)
		}
		failed, sent := 0, 0
		for now := clock.Millis(0); now < 10*clock.Second; now += 300 {
			for m := range views {
				for i := range views[m] { // What the relay passes on each 300 ms.
					others := 0
					for o := range views {
						if o != m {
							others += views[o][i].AdvertisedLoad(now)
						}
					}
					views[m][i].SetPeerLoad(others, now)
				}
			}
			for m, list := range views {
				for range 2 {
					q := query(now, Part{"own", 500})
					q.Zone = ticket.ZoneName([]string{"a", "b"}[m%2])
					c := Choose(list, q, random)
					i := slices.Index(list, c.State)
					So(q.Acquire(c.State), ShouldBeTrue)
					sent++
					if i < sick { // It answers at once, the others after 600 ms.
						c.State.OwnInFlight--
						c.State.RecordFailure(true, now)
						failed++
					}
				}
			}
			if now >= 600 {
				for m := range views {
					for _, s := range views[m][sick:] {
						s.OwnInFlight = s.OwnInFlight * 2 / 3
					}
				}
			}
		}
		So(float64(failed)/float64(sent), ShouldBeLessThan, float64(sick)/endpoints/2)
	})
	Convey("Packed requests fill one endpoint after the other, the same for all instances", t, func() {
		used := map[routing.EndpointID]int{}
		list := states(12, 48)
		for i := range 60 {
			q := query(1000, Part{"sys", 100}, Part{PartID(fmt.Sprint("own", i)), 500})
			q.PackKey, q.Zone = "v2", ticket.ZoneName([]string{"a", "b"}[i%2])
			c := Choose(list, q, random)
			So(q.Acquire(c.State), ShouldBeTrue)
			used[c.State.Endpoint.ID]++
		}
		So(len(used), ShouldEqual, 2)
	})
	Convey("A long prompt is not packed: it would hold up the reading of the others", t, func() {
		list := states(12, 48)
		used := map[routing.EndpointID]int{}
		for i := range 48 {
			q := query(1000, Part{"sys", 100}, Part{PartID(fmt.Sprint("own", i)), 9000})
			q.PackKey = "v2"
			c := Choose(list, q, random)
			So(q.Acquire(c.State), ShouldBeTrue)
			used[c.State.Endpoint.ID]++
		}
		So(len(used), ShouldBeGreaterThan, 6)
	})
	Convey("Parts are known by the model that read them", t, func() {
		s := states(1, 48)[0]
		parts := []Part{{"sys", 500}, {"thing", 4800}}
		s.RecordCached(parts, "small", 1000)
		So(s.kept(parts, "small", 1100), ShouldEqual, 5300)
		So(s.kept(parts, "large", 1100), ShouldEqual, 0)
		So(s.kept(parts, "small", 1000+partMemory+1), ShouldEqual, 0)
	})
}
