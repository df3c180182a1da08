package endpoints

import (
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/ticket"
)

// Contact says how far a failed attempt got, which tells an endpoint that is down from a zone
// that is cut off.
type Contact string

// Contacts of failed attempts.
const (
	// ContactNone means that the endpoint's host did not respond.
	ContactNone Contact = "none"
	// ContactRefused means that the host responded and refused the connection.
	ContactRefused Contact = "refused"
	// ContactLost means that the attempt failed after the connection was made.
	ContactLost Contact = "lost"
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
	// ZoneFailureThreshold is how many unreachable endpoints in a row indicate that a
	// zone is cut off.
	ZoneFailureThreshold = 3
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
	if status.consecutiveFailures >= ZoneFailureThreshold {
		backoff = min(maxZoneBackoff, zoneBackoff<<min(status.consecutiveFailures-ZoneFailureThreshold, 4))
		status.backoffUntil = now + backoff
	}
	return status.consecutiveFailures, backoff
}

// inBackoff reports whether the zone is to be avoided.
func (z zoneTable) inBackoff(name ticket.ZoneName, now clock.Millis) bool {
	status := z[name]
	return status != nil && now < status.backoffUntil
}

// cutOff reports whether the zone counts as cut off: enough of its endpoints in a row could not be
// reached, and no host of it has responded since. Unlike a backoff, this does not end with time.
func (z zoneTable) cutOff(name ticket.ZoneName) bool {
	status := z[name]
	return status != nil && status.consecutiveFailures >= ZoneFailureThreshold
}

// RecordResponse records that response headers arrived, with the load that the endpoint
// reported, or nil.
func (t *Tracker) RecordResponse(s *placement.State, service *catalog.Service, load *placement.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.deps.Clock.Mono()
	t.markReachable(s, service, now)
	if load != nil {
		s.SetReportedLoad(*load, now)
	}
}

// markReachable records that the endpoint responded; the caller holds the lock.
func (t *Tracker) markReachable(s *placement.State, service *catalog.Service, now clock.Millis) {
	t.zones.markReachable(s.Endpoint.Zone)
	if s.MarkReachable(now) && service.ColdDuration > 0 {
		// An endpoint that was unreachable may have restarted, with an empty cache.
		s.ClearCached()
	}
}

// RecordActivity records that data arrived from the endpoint.
func (t *Tracker) RecordActivity(s *placement.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.LastReceived = t.deps.Clock.Mono()
}

// LastActivity returns when data last arrived from the endpoint.
func (t *Tracker) LastActivity(s *placement.State) clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return s.LastReceived
}

// MarkUnreachable records that the endpoint could not be reached or timed out. The reason is
// logged.
func (t *Tracker) MarkUnreachable(s *placement.State, c Contact, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.deps.Clock.Mono()
	wasDown := s.InBackoff(now)
	s.MarkUnreachable(now)
	if c == ContactRefused {
		t.zones.markReachable(s.Endpoint.Zone) // The host responded.
	}
	if wasDown {
		return
	}
	if c == ContactNone {
		if failures, backoff := t.zones.markUnreachable(s.Endpoint.Zone, now); backoff > 0 {
			t.deps.Logger.Info("zone-out", "zone", s.Endpoint.Zone, "misses", failures, "ms", int64(backoff))
		}
	}
	t.deps.Logger.Info("endpoint-out", "endpoint", s.Endpoint.ID, "address", s.Endpoint.Address, "why", reason, "heard-ms", int64(now-s.LastReceived))
}
