package forward

import (
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/loadlist"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// LocalLoads returns this instance's in-flight requests and recent failures at each endpoint.
func (e *tracker) LocalLoads() loadlist.Loads {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.deps.Clock.Mono()
	loads := loadlist.NewLoads()
	for run, s := range e.states.byRun {
		if s.OwnInFlight > 0 {
			loads.InFlight[run.ID] += s.OwnInFlight
		}
		if n := s.AdvertisedFailures(now); n > 0 {
			loads.Failures[run.ID] += n
		}
	}
	return loads
}

// SetPeerLoads sets the loads of all other instances at each endpoint.
func (e *tracker) SetPeerLoads(loads loadlist.Loads) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.deps.Clock.Mono()
	for run, s := range e.states.byRun {
		s.SetPeerLoad(loads.InFlight[run.ID], loads.Failures[run.ID], now)
	}
}

// InFlightAt returns the in-flight requests of all instances at an endpoint.
func (e *tracker) InFlightAt(s *placement.State) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.InFlight(e.deps.Clock.Mono())
}

// InFlight returns the in-flight requests of all instances at each endpoint of a release.
func (e *tracker) InFlight(service ticket.ServiceName, release catalog.Release) map[routing.EndpointID]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.deps.Clock.Mono()
	counts := map[routing.EndpointID]int{}
	for _, s := range e.states.pool(service).states {
		if n := s.InFlight(now); s.Endpoint.Release == release && n > 0 {
			counts[s.Endpoint.ID] = n
		}
	}
	return counts
}
