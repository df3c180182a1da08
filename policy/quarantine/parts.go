package quarantine

import (
	"cmp"
	"math"
	"slices"

	"foxtailbridge/policy/clock"
)

// Part identifies a part of a prompt that many requests may share.
type Part string

// PartReport holds what is known about one part. Reports are merged as sets.
type PartReport struct {
	Part Part `json:"part"`
	// Crashes holds the crashes of endpoints that had just begun to answer a request with
	// the part.
	Crashes []CrashID `json:"crashes"`
	// Cleared is true if a response to a request with the part was completed.
	Cleared bool `json:"cleared,omitempty"`
	// Age is the time since the last of the crashes.
	Age clock.Millis `json:"age-ms"`
}

const (
	// partCrashLimit is the number of crashes that quarantines a part. A part that is not
	// the cause is cleared by the first response that any request with it completes.
	partCrashLimit = 3
	// partTTL is how long after its last crash a part is forgotten.
	partTTL = 10 * clock.Minute
	// reportTTL is how long a change of a part that is not quarantined is reported.
	reportTTL = 5 * clock.Second
	// maxParts bounds the parts tracked; each crash adds a few.
	maxParts = 512
	// maxPartCrashes bounds the crashes kept for one part.
	maxPartCrashes = 8
	// maxCompleted bounds the parts whose completed responses are remembered.
	maxCompleted = 2048
	// trialDelay is how long after its last crash one request with a quarantined part is
	// tried. It doubles with each further crash.
	trialDelay = 30 * clock.Second
	// trialDoubling is the time in which the chance of a trial doubles once it is due: longer
	// than it takes until all instances know what became of the last one.
	trialDoubling = 2 * clock.Second
	// trialRequests is how many requests with the part an instance may get in the time that
	// the result of a trial takes without several of them becoming trials at first.
	trialRequests = 8
)

// PartLedger finds prompt parts that crash endpoints. Merging is commutative and
// idempotent. It is not safe for concurrent use.
type PartLedger struct {
	parts map[Part]*partRecord
	// completed holds when a response to a request with the part was last completed.
	completed map[Part]clock.Millis
}

type partRecord struct {
	crashes   []CrashID
	cleared   bool
	lastCrash clock.Millis
	changedAt clock.Millis
	trialAt   clock.Millis
}

func (r *partRecord) quarantined() bool {
	return !r.cleared && len(r.crashes) >= partCrashLimit
}

// trialDelay returns how long after the last crash the next trial is due.
func (r *partRecord) trialDelay() clock.Millis {
	return trialDelay << min(max(0, len(r.crashes)-partCrashLimit), 5)
}

// NewPartLedger returns an empty PartLedger.
func NewPartLedger() *PartLedger {
	return &PartLedger{parts: map[Part]*partRecord{}, completed: map[Part]clock.Millis{}}
}

// Merge merges a report and reports whether it changed the ledger.
func (l *PartLedger) Merge(report PartReport, now clock.Millis) bool {
	crashedAt := now - max(0, report.Age)
	r := l.parts[report.Part]
	if r == nil || now-r.lastCrash > partTTL {
		if len(report.Crashes) == 0 || now-crashedAt > partTTL {
			return false // Peers that still hold an old report must not revive it.
		}
		l.prune(now)
		r = &partRecord{lastCrash: crashedAt}
		l.parts[report.Part] = r
	}
	changed := false
	for _, crash := range report.Crashes {
		if slices.Contains(r.crashes, crash) {
			continue
		}
		if len(r.crashes) < maxPartCrashes {
			r.crashes = append(r.crashes, crash)
			changed = true
		}
		r.lastCrash = max(r.lastCrash, crashedAt)
		r.trialAt = max(r.trialAt, r.lastCrash+r.trialDelay())
	}
	at, completed := l.completed[report.Part]
	if (report.Cleared || completed && now-at <= partTTL) && !r.cleared {
		r.cleared = true
		changed = true
	}
	if changed {
		r.changedAt = now
	}
	return changed
}

// prune forgets parts whose last crash is long ago and, if there is no room, the one whose
// last crash is the longest ago.
func (l *PartLedger) prune(now clock.Millis) {
	var oldest Part
	for part, r := range l.parts {
		if now-r.lastCrash > partTTL {
			delete(l.parts, part)
			continue
		}
		if o := l.parts[oldest]; o == nil || r.lastCrash < o.lastCrash {
			oldest = part
		}
	}
	if len(l.parts) >= maxParts {
		delete(l.parts, oldest)
	}
}

// Clear records that a response to a request with the part was completed. It reports
// whether that cleared a suspected part.
func (l *PartLedger) Clear(part Part, now clock.Millis) bool {
	l.completed[part] = now
	l.pruneCompleted(now)
	return l.parts[part] != nil && l.Merge(PartReport{Part: part, Cleared: true}, now)
}

// pruneCompleted drops completed parts while there are too many, the old ones first.
func (l *PartLedger) pruneCompleted(now clock.Millis) {
	if len(l.completed) <= maxCompleted {
		return
	}
	for part, at := range l.completed {
		if now-at > partTTL/2 {
			delete(l.completed, part)
		}
	}
	for part := range l.completed {
		if len(l.completed) <= maxCompleted/2 {
			return
		}
		delete(l.completed, part)
	}
}

// Quarantined reports whether requests with the part must not be sent.
func (l *PartLedger) Quarantined(part Part, now clock.Millis) bool {
	r := l.parts[part]
	return r != nil && r.quarantined() && now-r.lastCrash <= partTTL
}

// TakeTrial reports whether one request with a quarantined part may be sent, to find out
// whether it still crashes endpoints. draw is a random number from 0 to 1. All instances may
// try, with a chance that starts at a part of their share of one and grows: the part's requests may be so
// rare that a chosen instance would wait for one for minutes, or so many that all would try.
func (l *PartLedger) TakeTrial(part Part, instances int, draw float64, now clock.Millis) bool {
	r := l.parts[part]
	if r == nil || now < r.trialAt {
		return false
	}
	chance := math.Exp2(float64(now-r.trialAt)/float64(trialDoubling)) / float64(trialRequests*max(1, instances))
	if draw >= chance {
		return false
	}
	r.trialAt = now + r.trialDelay()
	return true
}

// Reports returns the quarantined parts and those that changed lately, sorted.
func (l *PartLedger) Reports(now clock.Millis) []PartReport {
	var list []PartReport
	for part, r := range l.parts {
		if r.quarantined() && now-r.lastCrash <= partTTL || now-r.changedAt <= reportTTL {
			list = append(list, PartReport{Part: part, Crashes: slices.Clone(r.crashes), Cleared: r.cleared, Age: now - r.lastCrash})
		}
	}
	slices.SortFunc(list, func(a, b PartReport) int { return cmp.Compare(a.Part, b.Part) })
	return list
}
