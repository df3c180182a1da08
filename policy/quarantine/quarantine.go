package quarantine

import (
	"cmp"
	"slices"
)

// Digest identifies a request by its content, whatever its id.
type Digest string

// CrashID names one endpoint process that died: the endpoint and its boot.
type CrashID string

// Suspicion says that a request was in flight when an endpoint died.
type Suspicion struct {
	Digest Digest
	Crash  CrashID
	// Alone is true if nothing else is known to have run there.
	Alone bool
}

// Verdict says how to treat a request.
type Verdict string

// Verdicts.
const (
	VerdictClear       Verdict = "clear"
	VerdictSuspect     Verdict = "suspect"
	VerdictQuarantined Verdict = "quarantined"
)

const (
	// crashLimit is how many endpoints a request may take down.
	crashLimit = 2
	// sharedLimit is the same for crashes while other requests ran there too.
	sharedLimit = 3
)

// Ledger is a grow-only set of suspicions; merging is commutative and idempotent.
// It is not safe for concurrent use.
type Ledger struct {
	suspicions map[Digest]map[CrashID]bool
	cleared    map[Digest]bool
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{suspicions: map[Digest]map[CrashID]bool{}, cleared: map[Digest]bool{}}
}

// Add records a suspicion and reports whether it was new.
func (l *Ledger) Add(s Suspicion) bool {
	crashes := l.suspicions[s.Digest]
	if crashes == nil {
		crashes = map[CrashID]bool{}
		l.suspicions[s.Digest] = crashes
	}
	alone, known := crashes[s.Crash]
	crashes[s.Crash] = alone || s.Alone
	return !known || s.Alone && !alone
}

// MarkCompletedAlone notes that a suspect ran to its end alone, so that it is not suspected
// of the crashes that it shared with others.
func (l *Ledger) MarkCompletedAlone(digest Digest) {
	l.cleared[digest] = true
}

// Verdict returns the verdict on a request. A request is quarantined after two
// crashes of which at least one happened while it ran alone, or after three in
// company: neighbours differ from one endpoint to the next.
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
	case len(crashes) >= sharedLimit && !l.cleared[digest]:
		return VerdictQuarantined
	case len(crashes) == 0:
		return VerdictClear
	case alone == 0 && l.cleared[digest]:
		return VerdictClear
	}
	return VerdictSuspect
}

// Suspicions returns all suspicions in a fixed order.
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

// Quarantined returns the quarantined digests in a fixed order.
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
