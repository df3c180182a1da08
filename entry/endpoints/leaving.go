package endpoints

import (
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
)

// leavingMemory is how long an endpoint that is not listed is remembered as leaving: a
// listing that lapsed with the store may come back as it was.
const leavingMemory = 5 * clock.Minute

// leavingRuns holds when each run of an endpoint was last said to be leaving.
type leavingRuns map[Run]clock.Millis

// prune forgets the runs that are neither listed nor remembered any longer.
func (l leavingRuns) prune(now clock.Millis, listed map[Run]*placement.State) {
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
func (t *Tracker) WantsRequests(s *placement.State) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return s.WantsRequests(t.deps.Clock.Mono())
}

// RunOf returns the run of an endpoint that a state describes.
func (t *Tracker) RunOf(s *placement.State) Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Run{s.Endpoint.ID, s.Endpoint.StartedAt}
}

// MarkLeaving records that an endpoint is leaving, as the source said. Only a new run of it
// takes that back.
func (t *Tracker) MarkLeaving(run Run, source string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving[run] = t.deps.Clock.Mono()
	if s := t.states.byRun[run]; s != nil && s.MarkLeaving() {
		t.deps.Logger.Info("endpoint-leaving", "endpoint", run.ID, "started-at", int64(run.StartedAt), "source", source)
	}
}

// HoldOff records that an endpoint wants no requests for some time.
func (t *Tracker) HoldOff(s *placement.State, duration clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.deps.Clock.Mono()
	if s.HoldOff(now+duration, now) {
		t.held = append(t.held, s)
		t.deps.Logger.Info("endpoint-held-off", "endpoint", s.Endpoint.ID, "started-at", int64(s.Endpoint.StartedAt), "source", "own", "ms", int64(duration))
	}
}
