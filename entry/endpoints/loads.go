package endpoints

import (
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/loadlist"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// LocalLoads returns this instance's in-flight requests and recent failures at each endpoint, and
// its prompt tokens that have yet to be read there if a service's prompts differ in length.
func (t *Tracker) LocalLoads() loadlist.Loads {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.deps.Clock.Mono()
	loads := loadlist.NewLoads()
	for run, s := range t.states.byRun {
		if s.OwnInFlight > 0 {
			loads.InFlight[run.ID] += s.OwnInFlight
		}
		if n := s.AdvertisedFailures(now); n > 0 {
			loads.Failures[run.ID] += n
		}
	}
	backlog := loadlist.Sum{}
	for _, p := range t.states.pools {
		if !p.prompts.Varied() {
			continue // The requests in flight say the same, at no further cost.
		}
		for _, s := range p.states {
			// A smaller backlog is read before others learn of it.
			if n := loadlist.PrefillUnits(s.PrefillTokens); n > 0 && s.PrefillTokens >= p.prompts.Mean() {
				backlog[loadlist.Key(s.Endpoint.ID)] += n
			}
		}
	}
	if len(backlog) > 0 {
		loads.Sums[loadlist.KindPrefill] = backlog
	}
	t.tellZones(loads, now)
	return loads
}

// SetPeerLoads sets the loads of all other instances at each endpoint.
func (t *Tracker) SetPeerLoads(loads loadlist.Loads) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.deps.Clock.Mono()
	backlog := loads.Sums[loadlist.KindPrefill]
	t.demand.receive(loads, now)
	for run, s := range t.states.byRun {
		s.SetPeerBacklog(float64(backlog[loadlist.Key(run.ID)])*loadlist.PrefillUnit, now)
		s.SetPeerLoad(loads.InFlight[run.ID], loads.Failures[run.ID], now)
	}
}

// InFlightAt returns the in-flight requests of all instances at an endpoint.
func (t *Tracker) InFlightAt(s *placement.State) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return s.InFlight(t.deps.Clock.Mono())
}

// InFlight returns the in-flight requests of all instances at each endpoint of a release.
func (t *Tracker) InFlight(service ticket.ServiceName, release catalog.Release) map[routing.EndpointID]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.deps.Clock.Mono()
	counts := map[routing.EndpointID]int{}
	for _, s := range t.states.pool(service).states {
		if n := s.InFlight(now); s.Endpoint.Release == release && n > 0 {
			counts[s.Endpoint.ID] = n
		}
	}
	return counts
}
