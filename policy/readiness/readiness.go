package readiness

import (
	"slices"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
)

// Service counts the endpoints of a service that has routes.
type Service struct {
	Name ticket.ServiceName
	// Listed is the number of endpoints in the view.
	Listed int
	// Reachable is the number of endpoints that may get requests and that nothing says are
	// out of reach. An endpoint that was never contacted is reachable.
	Reachable int
	// CutOff is the number of endpoints that may get requests, but not from this instance: none
	// of the endpoints of their zone that it contacted lately responded.
	CutOff int
}

// unservable reports whether other instances may be able to serve the service and this one is not.
//
// A service all of whose endpoints are drained, are leaving or have crashed looks the same on all
// instances. If the check failed for it, it would fail on all of them at once, and the load
// balancer would have no instance left for the other services.
func (s Service) unservable() bool {
	return s.Reachable == 0 && s.CutOff > 0
}

// failAfter is how long a service must be unservable until the check fails: an instance that was
// suspended, or lost some packets, needs less to hear from an endpoint again.
const failAfter = clock.Second

// Check holds since when services have been unservable. The zero value is ready. It is not safe
// for concurrent use.
type Check struct {
	// since holds when each service became unservable.
	since     map[ticket.ServiceName]clock.Millis
	failing   bool
	changedAt clock.Millis
}

// Update applies the current counts of all services with routes. It reports whether the check
// began to fail or to pass, and how long it was in its last state.
func (c *Check) Update(services []Service, now clock.Millis) (changed bool, lasted clock.Millis) {
	since := map[ticket.ServiceName]clock.Millis{}
	failing := false
	for _, s := range services {
		if !s.unservable() {
			continue
		}
		at, known := c.since[s.Name]
		if !known {
			at = now
		}
		since[s.Name] = at
		failing = failing || now-at >= failAfter
	}
	c.since = since
	if failing == c.failing {
		return false, 0
	}
	lasted = now - c.changedAt
	c.failing, c.changedAt = failing, now
	return true, lasted
}

// Failing reports whether the check fails.
func (c *Check) Failing() bool {
	return c.failing
}

// Unservable returns the sorted names of the services that are unservable now. Their endpoints
// are to be probed, so that the check passes again without requests.
func (c *Check) Unservable() []ticket.ServiceName {
	var names []ticket.ServiceName
	for name := range c.since {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
