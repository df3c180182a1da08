package relay

import (
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/quarantine"
)

// ReportSuspicion records that a request was in flight at an endpoint when it crashed, and
// passes that on to all instances.
func (r *Relay) ReportSuspicion(s quarantine.Suspicion) {
	r.mu.Lock()
	added := r.addSuspicion(s)
	verdict := r.ledger.Verdict(s.Digest)
	r.mu.Unlock()
	if added {
		r.logger.Info("suspicion", "digest", s.Digest, "crash", s.Crash, "verdict", verdict)
		r.TriggerBroadcast()
	}
}

func (r *Relay) addSuspicion(s quarantine.Suspicion) bool {
	if !r.ledger.Add(s) {
		return false
	}
	r.suspicions = append(r.suspicions, s)
	return true
}

// ClearSuspicion removes any suspicion of a request, because it completed.
func (r *Relay) ClearSuspicion(digest quarantine.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ledger.Verdict(digest) != quarantine.VerdictClear {
		r.ledger.MarkCompletedAlone(digest)
	}
}

// Verdict returns the verdict on a request.
func (r *Relay) Verdict(digest quarantine.Digest) quarantine.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Verdict(digest)
}

// StopRelease stops the use of an order's new release on all instances.
func (r *Relay) StopRelease(number catalog.OrderNumber, reason string) {
	r.mu.Lock()
	changed := r.stopRelease(number, reason)
	r.mu.Unlock()
	if changed {
		r.TriggerBroadcast()
	}
}

func (r *Relay) stopRelease(number catalog.OrderNumber, source string) bool {
	if r.stops[number] {
		return false
	}
	r.stops[number] = true
	r.logger.Info("release-stopped", "order", number, "source", source)
	return true
}

// ReleaseStopped reports whether an order's new release was found bad.
func (r *Relay) ReleaseStopped(number catalog.OrderNumber) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stops[number]
}
