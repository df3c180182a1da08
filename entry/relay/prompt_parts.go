package relay

import (
	"math/rand/v2"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/quarantine"
)

// ReportPartCrash records that an endpoint crashed as it began to answer a request with
// these prompt parts, and passes that on to all instances.
func (r *Relay) ReportPartCrash(parts []quarantine.Part, crash quarantine.CrashID) {
	now := r.deps.Clock.Mono()
	changed := false
	r.mu.Lock()
	for _, part := range parts {
		changed = r.mergePart(quarantine.PartReport{Part: part, Crashes: []quarantine.CrashID{crash}}, "own", now) || changed
	}
	r.mu.Unlock()
	if changed {
		r.TriggerBroadcast()
	}
}

// mergePart merges a report; the caller holds the lock.
func (r *Relay) mergePart(report quarantine.PartReport, source string, now clock.Millis) bool {
	before := r.parts.Quarantined(report.Part, now)
	if !r.parts.Merge(report, now) {
		return false
	}
	quarantined := r.parts.Quarantined(report.Part, now)
	r.logger.Info("prompt-part", "part", report.Part, "crashes", len(report.Crashes), "cleared", report.Cleared, "source", source, "quarantined", quarantined)
	if quarantined != before {
		r.deps.Scope.Counter("parts_quarantined_or_cleared").Inc(1)
	}
	return true
}

// ClearParts records that a response to a request with these prompt parts was completed.
func (r *Relay) ClearParts(parts []quarantine.Part) {
	now := r.deps.Clock.Mono()
	changed := false
	r.mu.Lock()
	for _, part := range parts {
		if r.parts.Clear(part, now) {
			r.logger.Info("prompt-part-cleared", "part", part)
			changed = true
		}
	}
	r.mu.Unlock()
	if changed {
		r.TriggerBroadcast()
	}
}

// PartQuarantined reports whether requests with the prompt part must not be sent.
func (r *Relay) PartQuarantined(part quarantine.Part) bool {
	now := r.deps.Clock.Mono()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.parts.Quarantined(part, now)
}

// TakePartTrial reports whether one request with a quarantined prompt part may be sent from
// this instance.
func (r *Relay) TakePartTrial(part quarantine.Part) bool {
	now, instances := r.deps.Clock.Mono(), r.InstanceCount()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.parts.TakeTrial(part, instances, rand.Float64(), now)
}
