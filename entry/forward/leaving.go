package forward

import (
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
)

// leavingMemory is how long an endpoint that is not listed is remembered as leaving: a
// listing that lapsed with the store may come back as it was.
const leavingMemory = 5 * clock.Minute

// leavingRuns holds when each run of an endpoint was last said to be leaving.
type leavingRuns map[endpointRun]clock.Millis

// prune forgets the runs that are neither listed nor remembered any longer.
func (l leavingRuns) prune(now clock.Millis, listed map[endpointRun]*placement.State) {
	for run, at := range l {
		if listed[run] == nil && now-at > leavingMemory {
			delete(l, run)
		}
	}
}

// holdList holds the endpoints that want no requests for some time.
type holdList []*placement.State

// removeEnded removes and returns the endpoints that want requests again.
func (l *holdList) removeEnded(now clock.Millis) []*placement.State {
	var ended []*placement.State
	kept := (*l)[:0]
	for _, s := range *l {
		if s.HeldOff(now) {
			kept = append(kept, s)
		} else {
			ended = append(ended, s)
		}
	}
	*l = kept
	return ended
}

// WantsRequests reports whether an endpoint has not said that it wants no requests.
func (e *tracker) WantsRequests(s *placement.State) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.WantsRequests(e.deps.Clock.Mono())
}

// RunOf returns the run of an endpoint that a state describes.
func (e *tracker) RunOf(s *placement.State) endpointRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	return endpointRun{s.Endpoint.ID, s.Endpoint.StartedAt}
}

// MarkLeaving records that an endpoint is leaving, as the source said. Only a new run of it
// takes that back.
func (e *tracker) MarkLeaving(run endpointRun, source string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving[run] = e.deps.Clock.Mono()
	if s := e.states.byRun[run]; s != nil && s.MarkLeaving() {
		e.deps.Logger.Info("endpoint-leaving", "endpoint", run.ID, "started-at", int64(run.StartedAt), "source", source)
	}
}

// HoldOff records that an endpoint wants no requests for some time.
func (e *tracker) HoldOff(s *placement.State, duration clock.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.deps.Clock.Mono()
	if s.HoldOff(now+duration, now) {
		e.held = append(e.held, s)
		e.deps.Logger.Info("endpoint-held-off", "endpoint", s.Endpoint.ID, "started-at", int64(s.Endpoint.StartedAt), "source", "own", "ms", int64(duration))
	}
}
