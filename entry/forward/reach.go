package forward

import (
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/ticket"
)

// contact says how far a failed attempt got, which tells an endpoint that is down from a zone
// that is cut off.
type contact string

// Contacts of failed attempts.
const (
	// contactNone means that the endpoint's host did not respond.
	contactNone contact = "none"
	// contactRefused means that the host responded and refused the connection.
	contactRefused contact = "refused"
	// contactLost means that the attempt failed after the connection was made.
	contactLost contact = "lost"
)

// zoneTable holds the reachability of each zone.
type zoneTable map[ticket.ZoneName]*zoneStatus

// zoneStatus counts a zone's endpoints that could not be reached in a row, and holds
// the end of the resulting backoff.
type zoneStatus struct {
	consecutiveFailures int
	backoffUntil        clock.Millis
}

const (
	// zoneFailureThreshold is how many unreachable endpoints in a row indicate that a
	// zone is cut off.
	zoneFailureThreshold = 3
	// zoneBackoff is how long the zone is then avoided. It doubles with each further
	// failure up to maxZoneBackoff.
	zoneBackoff    = clock.Second
	maxZoneBackoff = 4 * clock.Second
)

// markReachable records that a host of the zone responded.
func (z zoneTable) markReachable(name ticket.ZoneName) {
	delete(z, name)
}

// markUnreachable counts an endpoint of the zone that could not be reached. It returns the
// number of those in a row and the resulting backoff, or 0.
func (z zoneTable) markUnreachable(name ticket.ZoneName, now clock.Millis) (failures int, backoff clock.Millis) {
	status := z[name]
	if status == nil {
		status = &zoneStatus{}
		z[name] = status
	}
	status.consecutiveFailures++
	if status.consecutiveFailures >= zoneFailureThreshold {
		backoff = min(maxZoneBackoff, zoneBackoff<<min(status.consecutiveFailures-zoneFailureThreshold, 4))
		status.backoffUntil = now + backoff
	}
	return status.consecutiveFailures, backoff
}

// inBackoff reports whether the zone is to be avoided.
func (z zoneTable) inBackoff(name ticket.ZoneName, now clock.Millis) bool {
	status := z[name]
	return status != nil && now < status.backoffUntil
}

// RecordResponse records that response headers arrived, with the load that the endpoint
// reported, or nil.
func (e *tracker) RecordResponse(s *placement.State, service *catalog.Service, load *placement.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.deps.Clock.Mono()
	e.zones.markReachable(s.Endpoint.Zone)
	if s.MarkReachable(now) && service.ColdDuration > 0 {
		// An endpoint that was unreachable may have restarted, with an empty cache.
		s.ClearCached()
	}
	if load != nil {
		s.SetReportedLoad(*load, now)
	}
}

// RecordActivity records that data arrived from the endpoint.
func (e *tracker) RecordActivity(s *placement.State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.LastReceived = e.deps.Clock.Mono()
}

// LastActivity returns when data last arrived from the endpoint.
func (e *tracker) LastActivity(s *placement.State) clock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.LastReceived
}

// MarkUnreachable records that the endpoint could not be reached or timed out. The reason is
// logged.
func (e *tracker) MarkUnreachable(s *placement.State, c contact, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.deps.Clock.Mono()
	wasDown := s.InBackoff(now)
	s.MarkUnreachable(now)
	if c == contactRefused {
		e.zones.markReachable(s.Endpoint.Zone) // The host responded.
	}
	if wasDown {
		return
	}
	if c == contactNone {
		if failures, backoff := e.zones.markUnreachable(s.Endpoint.Zone, now); backoff > 0 {
			e.deps.Logger.Info("zone-out", "zone", s.Endpoint.Zone, "misses", failures, "ms", int64(backoff))
		}
	}
	e.deps.Logger.Info("endpoint-out", "endpoint", s.Endpoint.ID, "address", s.Endpoint.Address, "why", reason, "heard-ms", int64(now-s.LastReceived))
}
