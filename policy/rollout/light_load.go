package rollout

import (
	"cmp"
	"slices"

	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
)

// LightLoad is the plan for a service with so few requests that half of them would not fill
// one endpoint before all traffic has moved to a new release. All sessions of a few routes
// then move at Start, and the other routes stay with the canary until PhaseFull: those whose
// requests keep slots busy the longest for the prompts that the endpoint has to read.
type LightLoad struct {
	// Routes are the routes whose sessions move at Start.
	Routes []catalog.RouteName `json:"routes"`
	// Start is the fraction of the order's duration.
	Start float64 `json:"start"`
	// By is the instance that made the plan. Of two plans that with the lower name holds, so
	// that all instances agree.
	By string `json:"by"`
}

// Valid reports whether the plan is one that PlanLightLoad may return.
func (l *LightLoad) Valid() bool {
	return len(l.Routes) > 0 && l.Start >= earliestLightStart && l.Start <= fullStart
}

// Precedes reports whether the plan holds against another one.
func (l *LightLoad) Precedes(other *LightLoad) bool {
	return other == nil || l.By < other.By
}

// RouteLoad is what one instance knows of the requests on a route.
type RouteLoad struct {
	Route catalog.RouteName
	// Requests is the number of requests seen.
	Requests int
	// PrefillTime is the mean time to read a prompt with the largest model, and RunTime the
	// mean time until its response ends.
	PrefillTime, RunTime clock.Millis
}

// prefillShare is the share of its run time in which a request keeps the endpoint's prefill
// busy.
func (r RouteLoad) prefillShare() float64 {
	return float64(r.PrefillTime) / float64(max(1, r.PrefillTime+r.RunTime))
}

const (
	// Between measureStart and measureEnd, as fractions of an order's duration, the load is
	// measured. earliestLightStart is the earliest Start: every instance knows the plan by
	// then, and sessions are no longer pinned to the old release.
	measureStart       = 0.40
	measureEnd         = 0.50
	earliestLightStart = 0.52
	// lightLoadFactor is how many endpoints the in-flight requests must fill for loadShare of
	// them to fill one to well over half: only two in three are short enough to be packed.
	lightLoadFactor = 4.0
	// maxPrefillUtilization is the utilization up to which an endpoint's prefill keeps up
	// while its slots are filled.
	maxPrefillUtilization = 0.6
)

// MeasuresLoad reports whether this is the time to plan for light load.
func MeasuresLoad(elapsed, duration clock.Millis) bool {
	progress := float64(elapsed) / float64(max(1, duration))
	return progress >= measureStart && progress < measureEnd
}

// PlanLightLoad returns the plan for a service with the given number of in-flight requests and
// slots an endpoint, or nil if the load is not light.
func PlanLightLoad(inFlight int, slots float64, routes []RouteLoad, by string) *LightLoad {
	total := 0
	for _, r := range routes {
		total += r.Requests
	}
	if float64(inFlight) >= lightLoadFactor*slots || total == 0 {
		return nil
	}
	sorted := slices.Clone(routes)
	slices.SortFunc(sorted, func(a, b RouteLoad) int {
		return cmp.Or(cmp.Compare(a.prefillShare(), b.prefillShare()), cmp.Compare(a.Route, b.Route))
	})
	plan := &LightLoad{By: by}
	moved := 0
	for _, r := range sorted {
		if r.Requests > 0 && (moved == 0 || r.prefillShare()*slots <= maxPrefillUtilization) {
			plan.Routes = append(plan.Routes, r.Route)
			moved += r.Requests
		}
	}
	// Until PhaseFull no more requests move than in PhaseLoad, also if one instance's view of
	// the routes' shares is off by a tenth.
	share := min(1, 1.1*float64(moved)/float64(total))
	plan.Start = max(earliestLightStart, fullStart-loadShare*(fullStart-loadStart)/share+lightLoadMargin)
	return plan
}

// lightLoadMargin makes up for the canary, which lasts longer on the other routes.
const lightLoadMargin = 0.005

// moves reports whether the plan moves a route's sessions at Start.
func (l *LightLoad) moves(route catalog.RouteName) bool {
	return slices.Contains(l.Routes, route)
}
