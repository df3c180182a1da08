package relay

import (
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/quarantine"
)

// Suspect records that a request was in flight when an endpoint died.
func (r *Relay) Suspect(s quarantine.Suspicion) {
	r.mu.Lock()
	added := r.add(s)
	verdict := r.ledger.Verdict(s.Digest)
	r.mu.Unlock()
	if added {
		r.logger.Info("suspicion", "digest", s.Digest, "crash", s.Crash, "verdict", verdict)
		r.Urge()
	}
}

func (r *Relay) add(s quarantine.Suspicion) bool {
	if !r.ledger.Add(s) {
		return false
	}
	r.suspicions = append(r.suspicions, s)
	return true
}

// Clear notes that a request ran to its end.
func (r *Relay) Clear(digest quarantine.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ledger.Verdict(digest) != quarantine.VerdictClear {
		r.ledger.MarkCompletedAlone(digest)
	}
}

// Judge returns the verdict on a request.
func (r *Relay) Judge(digest quarantine.Digest) quarantine.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Verdict(digest)
}

// Stop ends the use of an order's new release on all instances.
func (r *Relay) Stop(number catalog.OrderNumber, reason string) {
	r.mu.Lock()
	changed := r.stop(number, reason)
	r.mu.Unlock()
	if changed {
		r.Urge()
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

// Stopped reports whether an order's new release was found bad.
func (r *Relay) Stopped(number catalog.OrderNumber) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stops[number]
}
