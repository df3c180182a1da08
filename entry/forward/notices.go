package forward

import (
	"foxtailbridge/entry/relay"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
)

// maxHoldOff bounds how long an endpoint is held off for one refusal, so that a wrong
// number does not keep requests away from it for good.
const maxHoldOff = 5 * clock.Minute

// notify records what an endpoint said about itself in a response.
func (t *task) notify(s *placement.State, notice Notice) {
	if notice.Leaving {
		run := t.endpoints.RunOf(s)
		t.endpoints.MarkLeaving(run, "own")
		t.deps.Relay.ReportLeaving(relay.LeavingEndpoint(run))
	}
	if notice.HoldOff > 0 {
		t.endpoints.HoldOff(s, min(maxHoldOff, notice.HoldOff))
	}
}

// stillWanted reports whether a run's endpoint still wants requests. Since it was chosen, it may
// have said otherwise to another request, or its listing may have changed.
func (t *task) stillWanted(r *run) bool {
	return t.endpoints.WantsRequests(r.state) && t.deps.Registry.View().Usable(r.endpoint)
}
