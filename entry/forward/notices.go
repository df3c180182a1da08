package forward

import (
	"foxtailbridge/entry/relay"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
)

const (
	// maxHoldOff bounds how long an endpoint is held off for one refusal, so that a wrong
	// number does not keep requests away from it for good.
	maxHoldOff = 5 * clock.Minute
	// leavingMemory is how long an endpoint that is not listed is remembered as leaving: a
	// listing that lapsed with the store may come back as it was.
	leavingMemory = 5 * clock.Minute
)

// notify records what an endpoint said about itself in a response.
func (t *task) notify(s *placement.State, notice Notice) {
	if notice.Leaving {
		run := t.endpoints.leavingRun(s)
		t.endpoints.markLeaving(run, "own")
		t.deps.Relay.ReportLeaving(run)
	}
	if notice.HoldOff > 0 {
		t.endpoints.holdOff(s, min(maxHoldOff, notice.HoldOff))
	}
}

// stillWanted reports whether a run's endpoint still wants requests. Since it was chosen, it may
// have said otherwise to another request, or its listing may have changed.
func (t *task) stillWanted(r *run) bool {
	return t.endpoints.wanted(r.state) && t.deps.Registry.View().Usable(r.endpoint)
}

// wanted reports whether an endpoint has not said that it wants no requests.
func (e *endpointTracker) wanted(s *placement.State) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.WantsRequests(e.clock.Mono())
}

// leavingRun returns an endpoint's run in the form that instances tell each other.
func (e *endpointTracker) leavingRun(s *placement.State) relay.LeavingEndpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return relay.LeavingEndpoint{ID: s.Endpoint.ID, StartedAt: s.Endpoint.StartedAt}
}

// markLeaving records that an endpoint is leaving, as the source said. Only a new run of it
// takes that back.
func (e *endpointTracker) markLeaving(run relay.LeavingEndpoint, source string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Mono()
	key := endpointKey{run.ID, run.StartedAt}
	e.leaving[key] = now
	if s := e.byKey[key]; s != nil && s.MarkLeaving() {
		e.logger.Info("endpoint-leaving", "endpoint", run.ID, "started-at", int64(run.StartedAt), "source", source)
	}
}

// pruneLeaving forgets the runs that are neither listed nor remembered any longer; the caller
// holds the lock.
func (e *endpointTracker) pruneLeaving(now clock.Millis) {
	for key, at := range e.leaving {
		if e.byKey[key] == nil && now-at > leavingMemory {
			delete(e.leaving, key)
		}
	}
}

// holdOff records that an endpoint wants no requests for some time.
func (e *endpointTracker) holdOff(s *placement.State, duration clock.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Mono()
	if s.HoldOff(now+duration, now) {
		e.heldOff = append(e.heldOff, s)
		e.logger.Info("endpoint-held-off", "endpoint", s.Endpoint.ID, "started-at", int64(s.Endpoint.StartedAt), "source", "own", "ms", int64(duration))
	}
}

// endHolds logs the endpoints that want requests again; the caller holds the lock.
func (e *endpointTracker) endHolds(now clock.Millis) {
	kept := e.heldOff[:0]
	for _, s := range e.heldOff {
		if s.HeldOff(now) {
			kept = append(kept, s)
			continue
		}
		e.logger.Info("endpoint-hold-ended", "endpoint", s.Endpoint.ID, "started-at", int64(s.Endpoint.StartedAt))
	}
	e.heldOff = kept
}
