package quarantine

import (
	"cmp"
	"slices"
)

// Digest is a hash of a request's content, independent of the request id.
type Digest string

// CrashID identifies one crash of an endpoint, by the endpoint and its boot id.
type CrashID string

// Suspicion records that a request was in flight at an endpoint when it crashed.
type Suspicion struct {
	Digest Digest
	Crash  CrashID
	// Alone is true if no other request is known to have been in flight there.
	Alone bool
}

// Verdict says how to treat a request.
type Verdict string

// Verdicts on a request.
const (
	VerdictClear       Verdict = "clear"
	VerdictSuspect     Verdict = "suspect"
	VerdictQuarantined Verdict = "quarantined"
)

const (
	// crashLimit is the number of crashes that quarantines a request, if it was
	// the only request in flight in at least one of them.
	crashLimit = 2
	// sharedCrashLimit is the number of crashes that quarantines a request if
	// other requests were in flight in all of them.
	sharedCrashLimit = 3
)

// Ledger is a grow-only set of suspicions, so adding is commutative and
// idempotent. It is not safe for concurrent use.
type Ledger struct {
	suspicions     map[Digest]map[CrashID]bool
	completedAlone map[Digest]bool
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{suspicions: map[Digest]map[CrashID]bool{}, completedAlone: map[Digest]bool{}}
}

// Add records a suspicion and reports whether it changed the ledger.
func (l *Ledger) Add(s Suspicion) bool {
	crashes := l.suspicions[s.Digest]
	if crashes == nil {
		crashes = map[CrashID]bool{}
		l.suspicions[s.Digest] = crashes
	}
	alone, exists := crashes[s.Crash]
	crashes[s.Crash] = alone || s.Alone
	return !exists || s.Alone && !alone
}

// MarkCompletedAlone records that a suspect request completed as the only request
// in flight at its endpoint. Crashes with other requests in flight then no longer
// count against it.
func (l *Ledger) MarkCompletedAlone(digest Digest) {
	l.completedAlone[digest] = true
}

// Verdict returns the verdict on a request. A request is quarantined after two
// crashes if it was the only request in flight in at least one of them, or after
// three crashes with others in flight: those others differ from endpoint to
// endpoint, so the request common to all crashes is the likely cause.
func (l *Ledger) Verdict(digest Digest) Verdict {
	crashes := l.suspicions[digest]
	alone := 0
	for _, wasAlone := range crashes {
		if wasAlone {
			alone++
		}
	}
	switch {
	case alone > 0 && len(crashes) >= crashLimit:
		return VerdictQuarantined
	case len(crashes) >= sharedCrashLimit && !l.completedAlone[digest]:
		return VerdictQuarantined
	case len(crashes) == 0:
		return VerdictClear
	case alone == 0 && l.completedAlone[digest]:
		return VerdictClear
	}
	return VerdictSuspect
}

// Suspicions returns all suspicions in a deterministic order.
func (l *Ledger) Suspicions() []Suspicion {
	var list []Suspicion
	for digest, crashes := range l.suspicions {
		for crash, alone := range crashes {
			list = append(list, Suspicion{Digest: digest, Crash: crash, Alone: alone})
		}
	}
	slices.SortFunc(list, func(a, b Suspicion) int {
		return cmp.Or(cmp.Compare(a.Digest, b.Digest), cmp.Compare(a.Crash, b.Crash))
	})
	return list
}

// Quarantined returns the digests of the quarantined requests, sorted.
func (l *Ledger) Quarantined() []Digest {
	var list []Digest
	for digest := range l.suspicions {
		if l.Verdict(digest) == VerdictQuarantined {
			list = append(list, digest)
		}
	}
	slices.Sort(list)
	return list
}
