package relay

import (
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/routing"
)

// LeavingEndpoint is a run of an endpoint that said that it will end soon.
type LeavingEndpoint struct {
	ID routing.EndpointID `json:"id"`
	// StartedAt tells the run from a later one under the same id.
	StartedAt clock.Millis `json:"started"`
}

const (
	// maxLeavingEndpoints bounds the endpoints that are remembered as leaving: some releases
	// of the largest deployment.
	maxLeavingEndpoints = 2048
	// leavingMemory is how long the endpoints are remembered. They end within seconds.
	leavingMemory = 5 * clock.Minute
)

// ReportLeaving tells all instances that an endpoint is leaving.
func (r *Relay) ReportLeaving(e LeavingEndpoint) {
	now := r.deps.Clock.Mono()
	r.members.mu.Lock()
	defer r.members.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetLeaving(now)
	r.addLeaving(e, now)
}

// addLeaving adds an endpoint and reports whether it was not known. The caller holds the lock.
func (r *Relay) addLeaving(e LeavingEndpoint, now clock.Millis) bool {
	if !r.leavingEndpoints.add(e) {
		return false
	}
	r.leavingSince[e] = now
	return true
}

// forgetLeaving forgets the endpoints that are no longer remembered. The caller holds both
// locks.
func (r *Relay) forgetLeaving(now clock.Millis) {
	changed := r.leavingEndpoints.retain(func(e LeavingEndpoint) bool {
		if now-r.leavingSince[e] < leavingMemory {
			return true
		}
		delete(r.leavingSince, e)
		return false
	})
	for _, p := range r.members.peers {
		if changed {
			p.leavingSent = 0
		}
	}
}
