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

func newStates(count, slots int) []*State {
	var list []*State
	for i := range count {
		zone := ticket.ZoneName([]string{"a", "b"}[i%2])
		list = append(list, NewState(&catalog.Endpoint{ID: routing.EndpointID(fmt.Sprint("e", i)), Zone: zone, Slots: slots}, 0, 1))
	}
	return list
}

func newQuery(now clock.Millis, parts ...Part) *Query {
	return &Query{
		Now: now, Zone: "a", Parts: parts, RelativeCost: 1, MaxUtilization: 1.3, ColdRate: 2, AllowUnconfirmed: true,
		Accept: func(*catalog.Endpoint) bool { return true },
	}
}

func TestChoose(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	Convey("All instances send a shared part to the same home endpoint while it has capacity", t, func() {
		homes := map[routing.EndpointID]bool{}
		for range 20 {
			list := newStates(12, 48)
			c := Choose(list, newQuery(1000, Part{"sys", 500}, Part{"thing-7", 4800}, Part{"own", 6000}), random)
			homes[c.State.Endpoint.ID] = true
		}
		So(len(homes), ShouldEqual, 1)
	})
	Convey("Requests for a hot part spill over to other endpoints before its home is full", t, func() {
		list := newStates(12, 48)
		used := map[routing.EndpointID]int{}
		for range 200 {
			q := newQuery(1000, Part{"sys", 100}, Part{"hot", 400}, Part{"own", 300})
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
	Convey("An endpoint that fails more than its peers is avoided", t, func() {
		list := newStates(4, 6)
		list[0].ExcessFailureRate = 0.3
		for range 50 {
			So(Choose(list, newQuery(1000), random).State, ShouldNotEqual, list[0])
		}
	})
	Convey("Endpoints are still used if all of them are failing", t, func() {
		list := newStates(3, 6)
		for _, s := range list {
			s.ExcessFailureRate = 0.5
		}
		So(Choose(list, newQuery(1000), random).State, ShouldNotBeNil)
	})
	Convey("If all endpoints are full, the choice reports that and the number of waiting requests", t, func() {
		list := newStates(2, 4)
		for _, s := range list {
			s.SetReportedLoad(Load{Running: 4, Waiting: 3, Slots: 4}, 900)
		}
		c := Choose(list, newQuery(1000), random)
		So(c.State, ShouldBeNil)
		So(c.Reason, ShouldEqual, routing.ReasonFull)
		So(c.Waiting, ShouldEqual, 6)
		So(c.FreeSlots, ShouldEqual, 0)
	})
	Convey("An unreachable endpoint is avoided with growing backoff, then used only by queries that allow unconfirmed endpoints", t, func() {
		list := newStates(1, 4)
		list[0].MarkUnreachable(1000)
		So(Choose(list, newQuery(1100), random).Reason, ShouldEqual, routing.ReasonDown)
		later := newQuery(1000+minBackoff, Part{"p", 1})
		later.AllowUnconfirmed = false
		So(Choose(list, later, random).State, ShouldBeNil)
		later.AllowUnconfirmed = true
		So(Choose(list, later, random).State, ShouldEqual, list[0])
		list[0].MarkUnreachable(1500)
		So(list[0].InBackoff(1500+minBackoff), ShouldBeTrue)
		list[0].MarkReachable(1600)
		So(list[0].InBackoff(1600), ShouldBeFalse)
	})
	Convey("A cold endpoint gets requests at this instance's share of its rate limit", t, func() {
		list := newStates(1, 48)
		list[0].ColdUntil = 10 * clock.Second
		sent := 0
		for now := clock.Millis(1000); now < 2000; now += 10 {
			q := newQuery(now)
			if c := Choose(list, q, random); c.State != nil && q.Acquire(c.State) {
				sent++
			}
		}
		So(sent, ShouldBeBetweenOrEqual, 2, 3)
	})
	// An endpoint that fails immediately has few requests in flight, so it would
	// look idle if failures did not count as load, also to instances that have
	// never sent it a request.
	Convey("Endpoints that fail immediately attract no more requests than others, on any instance", t, func() {
		const instances, endpoints, failing = 20, 12, 3
		views := make([][]*State, instances)
		for m := range views {
			views[m] = newStates(endpoints, 32)
		}
		failed, sent := 0, 0
		for now := clock.Millis(0); now < 10*clock.Second; now += 300 {
			for m := range views {
				for i := range views[m] { // The relay exchanges advertised loads every 300 ms.
					others, failures := 0, 0
					for o := range views {
						if o != m {
							others += views[o][i].OwnInFlight
							failures += views[o][i].AdvertisedFailures(now)
						}
					}
					views[m][i].SetPeerLoad(others, failures, now)
				}
			}
			for m, list := range views {
				for range 2 {
					q := newQuery(now, Part{"own", 500})
					q.Zone = ticket.ZoneName([]string{"a", "b"}[m%2])
					c := Choose(list, q, random)
					i := slices.Index(list, c.State)
					So(q.Acquire(c.State), ShouldBeTrue)
					sent++
					if i < failing { // Failing endpoints respond immediately, the others after 600 ms.
						c.State.OwnInFlight--
						c.State.RecordFailure(true, 600, now)
						failed++
					}
				}
			}
			if now >= 600 {
				for m := range views {
					for _, s := range views[m][failing:] {
						s.OwnInFlight = s.OwnInFlight * 2 / 3
					}
				}
			}
		}
		So(float64(failed)/float64(sent), ShouldBeLessThan, float64(failing)/endpoints/2)
	})
	Convey("Packed requests fill one endpoint after the other, in the same order on all instances", t, func() {
		used := map[routing.EndpointID]int{}
		list := newStates(12, 48)
		for i := range 60 {
			q := newQuery(1000, Part{"sys", 100}, Part{PartID(fmt.Sprint("own", i)), 500})
			q.Pack, q.Zone = &Pack{Key: "v2", LoadShare: 1}, ticket.ZoneName([]string{"a", "b"}[i%2])
			c := Choose(list, q, random)
			So(q.Acquire(c.State), ShouldBeTrue)
			used[c.State.Endpoint.ID]++
		}
		So(len(used), ShouldEqual, 2)
	})
	Convey("A long prompt is not packed: its prefill would delay the other requests", t, func() {
		list := newStates(12, 48)
		used := map[routing.EndpointID]int{}
		for i := range 48 {
			q := newQuery(1000, Part{"sys", 100}, Part{PartID(fmt.Sprint("own", i)), 9000})
			q.Pack = &Pack{Key: "v2", LoadShare: 1}
			c := Choose(list, q, random)
			So(q.Acquire(c.State), ShouldBeTrue)
			used[c.State.Endpoint.ID]++
		}
		So(len(used), ShouldBeGreaterThan, 6)
	})
	Convey("Cached parts are tracked per model and expire", t, func() {
		s := newStates(1, 48)[0]
		parts := []Part{{"sys", 500}, {"thing", 4800}}
		s.RecordCached(parts, "small", 1000)
		So(s.cachedTokens(parts, "small", 1100), ShouldEqual, 5300)
		So(s.cachedTokens(parts, "large", 1100), ShouldEqual, 0)
		So(s.cachedTokens(parts, "small", 1000+cachedPartTTL+1), ShouldEqual, 0)
	})
}
