package endpoints

import (
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/placement"
)

// failureShares holds the usual share of failed runs on each route.
type failureShares map[catalog.RouteName]*placement.MovingAverage

const (
	// rareFailureShare is the share of failures on a route below which a failure is
	// more likely the endpoint's fault than the request's.
	rareFailureShare = 0.08
	// initialFailureShare is the share of failures assumed for a new route, with the
	// weight of initialFailureWeight runs.
	initialFailureShare  = 0.02
	initialFailureWeight = 40
	// routeFailureWindow is how many runs the share covers. It is long enough to outlast
	// the faults of endpoints.
	routeFailureWindow = 500
)

// add counts a run on a route.
func (f failureShares) add(route catalog.RouteName, failed bool) {
	a := f[route]
	if a == nil {
		a = &placement.MovingAverage{Mean: initialFailureShare, Count: initialFailureWeight}
		f[route] = a
	}
	updateAverage(a, outcomeValue(failed), routeFailureWindow)
}

// rare reports whether runs on a route rarely fail.
func (f failureShares) rare(route catalog.RouteName) bool {
	a := f[route]
	return a == nil || a.Mean < rareFailureShare
}

// outcomeValue is what a run adds to a share of failures.
func outcomeValue(failed bool) float64 {
	if failed {
		return 1
	}
	return 0
}

// updateAverage adds a value to a mean that covers the given number of runs.
func updateAverage(a *placement.MovingAverage, value float64, window int) {
	a.Count++
	a.Mean += (value - a.Mean) / float64(min(a.Count, window))
}
