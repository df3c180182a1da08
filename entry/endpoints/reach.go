package endpoints

import (
	"cmp"
	"slices"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/readiness"
	"foxtailbridge/policy/ticket"
)

// Reach counts, for each service of the view that has routes, the endpoints that an instance of
// the zone can reach. Services with a reachable endpoint are left out. While another zone is in reach
// there are none: if it is a zone of the service that is lost, and not the link of this instance, all
// instances see the same, and none could serve it.
func (t *Tracker) Reach(view *registry.State, zone ticket.ZoneName) []readiness.Service {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.syncView(view, t.deps.Clock.Mono())
	if !t.otherZonesCutOff(zone) {
		return nil
	}
	var list []readiness.Service
	for name := range view.Endpoints {
		s := readiness.Service{Name: name}
		for _, state := range t.states.pool(name).states {
			s.Listed++
			switch {
			case !mayGetRequests(view, state):
			case t.inReach(state, zone):
				s.Reachable++
			case t.zones.cutOff(state.Endpoint.Zone):
				s.CutOff++
			}
			if s.Reachable > 0 {
				break
			}
		}
		if s.Reachable == 0 && len(view.Config.RoutesOf(name)) > 0 {
			list = append(list, s)
		}
	}
	return list
}

// otherZonesCutOff reports whether no other zone with endpoints is in reach; the caller holds the lock.
func (t *Tracker) otherZonesCutOff(zone ticket.ZoneName) bool {
	for _, s := range t.states.byRun {
		if s.Endpoint.Zone != zone && !t.zones.cutOff(s.Endpoint.Zone) {
			return false
		}
	}
	return true
}

// mayGetRequests reports whether instances may send requests to a listed endpoint.
func mayGetRequests(view *registry.State, s *placement.State) bool {
	return !s.Leaving() && !s.Endpoint.Draining && !view.DrainedZones[s.Endpoint.Zone]
}

// inReach reports whether nothing says that the endpoint is out of reach; the caller holds the
// lock.
func (t *Tracker) inReach(s *placement.State, zone ticket.ZoneName) bool {
	return !s.Unconfirmed() && (s.Endpoint.Zone == zone || !t.zones.cutOff(s.Endpoint.Zone))
}

// ProbeTarget is an endpoint to probe.
type ProbeTarget struct {
	State    *placement.State
	Endpoint *catalog.Endpoint
}

// ProbeTargets returns an endpoint of each zone to probe, if possible one of the given services in
// odd rounds and one of the others in even ones: these tell first whether the zone is cut off or
// only all endpoints of those services there are down.
func (t *Tracker) ProbeTargets(view *registry.State, services []ticket.ServiceName, round int) []ProbeTarget {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.syncView(view, t.deps.Clock.Mono())
	preferred, rest := map[ticket.ZoneName][]*placement.State{}, map[ticket.ZoneName][]*placement.State{}
	for name, p := range t.states.pools {
		byZone := rest
		if slices.Contains(services, name) == (round%2 == 1) {
			byZone = preferred
		}
		for _, s := range p.states {
			if mayGetRequests(view, s) {
				byZone[s.Endpoint.Zone] = append(byZone[s.Endpoint.Zone], s)
			}
		}
	}
	for zone, list := range rest {
		if preferred[zone] == nil {
			preferred[zone] = list
		}
	}
	var targets []ProbeTarget
	for _, list := range preferred {
		slices.SortFunc(list, func(a, b *placement.State) int { return cmp.Compare(a.Endpoint.ID, b.Endpoint.ID) })
		s := list[round/2%len(list)]
		targets = append(targets, ProbeTarget{s, s.Endpoint})
	}
	return targets
}

// RecordProbe records that an endpoint accepted the connection of a probe.
func (t *Tracker) RecordProbe(s *placement.State, service *catalog.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.markReachable(s, service, t.deps.Clock.Mono())
}
