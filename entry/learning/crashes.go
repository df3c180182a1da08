package learning

import "foxtailbridge/policy/quarantine"

// AddSuspicion takes a suspicion, from this instance or another, and reports whether it was new.
func (l *Learner) AddSuspicion(s quarantine.Suspicion) bool {
	l.mu.Lock()
	before := l.crashes.Verdict(s.Digest)
	added := l.crashes.Add(s)
	after := l.crashes.Verdict(s.Digest)
	l.mu.Unlock()
	if added {
		l.logger.Warn("request-suspected", "digest", s.Digest, "crash", s.Crash, "alone", s.Alone, "verdict", after)
	}
	if after == quarantine.VerdictQuarantined && before != after {
		l.logger.Error("request-quarantined", "digest", s.Digest)
	}
	return added
}

// MarkCompletedAlone notes that a suspect ran alone to its end.
func (l *Learner) MarkCompletedAlone(digest quarantine.Digest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes.MarkCompletedAlone(digest)
}

// Verdict returns how to treat a request.
func (l *Learner) Verdict(digest quarantine.Digest) quarantine.Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lenient {
		return quarantine.VerdictClear
	}
	return l.crashes.Verdict(digest)
}

// Suspicions returns all suspicions known.
func (l *Learner) Suspicions() []quarantine.Suspicion {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.crashes.Suspicions()
}

// Quarantined returns the digests of the quarantined requests.
func (l *Learner) Quarantined() []quarantine.Digest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.crashes.Quarantined()
}
