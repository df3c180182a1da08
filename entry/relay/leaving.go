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
	r.leavingEndpoints.add(e, now)
}

// forgetLeaving forgets the endpoints that are no longer remembered. The caller holds both
// locks.
func (r *Relay) forgetLeaving(now clock.Millis) {
	if !r.leavingEndpoints.retain(func(_ LeavingEndpoint, since clock.Millis) bool { return now-since < leavingMemory }) {
		return
	}
	for _, p := range r.members.peers {
		p.leavingSent = 0
	}
}
