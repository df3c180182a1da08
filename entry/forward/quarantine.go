package forward

import (
	"foxtailbridge/policy/quarantine"
	"foxtailbridge/policy/routing"
)

// reasonQuarantined means that the request was quarantined since it was admitted.
const reasonQuarantined = routing.Reason(ReasonQuarantined)

// quarantined reports whether the request, or a part of its prompt, is known to crash
// endpoints.
func (t *task) quarantined() bool {
	if t.digest != "" && t.deps.Relay.Verdict(t.digest) == quarantine.VerdictQuarantined {
		return true
	}
	for _, part := range t.sharedParts() {
		if !t.deps.Relay.PartQuarantined(part) {
			continue
		}
		t.onTrial = t.onTrial || t.sends == 0 && t.deps.Relay.TakePartTrial(part)
		if !t.onTrial || t.sends > 0 { // A trial is one attempt.
			t.logger.Info("part-quarantined", "request", t.request.ID, "part", part)
			return true
		}
		t.logger.Info("part-trial", "request", t.request.ID, "part", part)
	}
	return false
}

// sharedParts returns the parts of the prompt that other requests may share: all but the
// last, which is the request's or its session's own.
func (t *task) sharedParts() []quarantine.Part {
	var list []quarantine.Part
	for i := range len(t.request.PromptParts) - 1 {
		list = append(list, quarantine.Part(t.request.PromptParts[i].ID))
	}
	return list
}
