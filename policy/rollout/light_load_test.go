package rollout

import (
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
)

// The routes of a calm day: two of long prompts, and one whose requests decode for long.
var calmRoutes = []RouteLoad{
	{Route: "report", Requests: 120, PrefillTime: 340, RunTime: 3000},
	{Route: "note", Requests: 180, PrefillTime: 24, RunTime: 2700},
	{Route: "tag", Requests: 240, PrefillTime: 68, RunTime: 200},
}

func TestLightLoad(t *testing.T) {
	tests := []struct {
		name     string
		inFlight int
		slots    float64
		routes   []RouteLoad
		want     []catalog.RouteName
	}{
		// Half of the sessions filled no endpoint to half, and a release that fails under
		// load was completed.
		{"a calm day moves the route that fills slots with the least prefill", 73, 64, calmRoutes, []catalog.RouteName{"note"}},
		{"small endpoints are filled by half of the sessions", 73, 12, calmRoutes, nil},
		{"a busy service is not under light load", 400, 64, calmRoutes, nil},
		{"a plain service prefills nothing", 3, 6, []RouteLoad{{Route: "a", Requests: 5}, {Route: "b", Requests: 9}}, []catalog.RouteName{"a", "b"}},
		{"at least one route moves", 73, 64, calmRoutes[2:], []catalog.RouteName{"tag"}},
		{"no plan without requests", 0, 64, []RouteLoad{{Route: "a"}}, nil},
		{"a route without requests does not move", 3, 6, []RouteLoad{{Route: "a"}, {Route: "b", Requests: 9}}, []catalog.RouteName{"b"}},
		{"no routes", 0, 0, nil, nil},
	}
	Convey("Under light load the routes that keep slots busy for the least prefill move first", t, func() {
		for _, tt := range tests {
			plan := PlanLightLoad(tt.inFlight, tt.slots, tt.routes, "x")
			if plan == nil {
				plan = &LightLoad{Start: loadStart}
			}
			SoMsg(tt.name, plan.Routes, ShouldResemble, tt.want)
			SoMsg(tt.name, plan.Start, ShouldBeBetweenOrEqual, earliestLightStart, fullStart)
		}
	})
	Convey("Until PhaseFull no more requests move than without a plan", t, func() {
		const duration, bound = 24 * clock.Second, 0.15
		for _, tt := range tests {
			plan := PlanLightLoad(tt.inFlight, tt.slots, tt.routes, "x")
			if plan == nil {
				continue
			}
			requests, moved, usual := 0.0, 0.0, 0.0
			for _, r := range tt.routes {
				requests += float64(r.Requests)
				for at := clock.Millis(0); float64(at) < fullStart*float64(duration); at += 10 {
					moved += float64(r.Requests) * Schedule{Duration: duration, LightLoad: plan}.Share(r.Route, at, bound)
					usual += float64(r.Requests) * Schedule{Duration: duration}.Share(r.Route, at, bound)
				}
			}
			SoMsg(tt.name, moved, ShouldBeLessThanOrEqualTo, usual)
		}
	})
	Convey("Until every instance can know a plan it changes nothing", t, func() {
		const duration, bound = 24 * clock.Second, 0.15
		planned := Schedule{Duration: duration, LightLoad: PlanLightLoad(73, 64, calmRoutes, "x")}
		for at := clock.Millis(0); at < duration; at += 10 {
			if MeasuresLoad(at, duration) {
				So(planned.PhaseOn("note", at), ShouldEqual, Schedule{Duration: duration}.PhaseAt(at))
			}
		}
	})
	Convey("Of several plans all instances keep the same one, in whatever order they arrive", t, func() {
		plans := []*LightLoad{{By: "b"}, {By: "c"}, {By: "a"}}
		for range 2 {
			var kept *LightLoad
			for _, p := range plans {
				if p.Precedes(kept) {
					kept = p
				}
			}
			So(kept.By, ShouldEqual, "a")
			slices.Reverse(plans)
		}
	})
}
