package relay

import (
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/quarantine"
)

// ReportSuspicion records that a request was in flight when an endpoint died.
func (r *Relay) ReportSuspicion(s quarantine.Suspicion) {
	r.mu.Lock()
	added := r.add(s)
	verdict := r.ledger.Verdict(s.Digest)
	r.mu.Unlock()
	if added {
		r.logger.Info("suspicion", "digest", s.Digest, "crash", s.Crash, "verdict", verdict)
		r.TriggerBroadcast()
	}
}

func (r *Relay) add(s quarantine.Suspicion) bool {
	if !r.ledger.Add(s) {
		return false
	}
	r.suspicions = append(r.suspicions, s)
	return true
}

// ClearSuspicion notes that a request ran to its end.
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

// StopRelease ends the use of an order's new release on all instances.
func (r *Relay) StopRelease(number catalog.OrderNumber, reason string) {
	r.mu.Lock()
	changed := r.stop(number, reason)
	r.mu.Unlock()
	if changed {
		r.TriggerBroadcast()
	}
}

func (r *Relay) stop(number catalog.OrderNumber, source string) bool {
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
