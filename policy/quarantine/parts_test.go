package quarantine

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"

	"foxtailbridge/policy/clock"
)

func crashes(n int) []CrashID {
	var list []CrashID
	for i := range n {
		list = append(list, CrashID(fmt.Sprint("e", i)))
	}
	return list
}

// Guards against a prompt part that crashes each endpoint that answers it and is never
// found, as no two requests with it are alike.
func TestPartQuarantine(t *testing.T) {
	rows := []struct {
		name    string
		reports []PartReport
		want    bool
	}{
		{"three crashes", []PartReport{{Part: "p", Crashes: crashes(3)}}, true},
		{"three crashes, reported by three instances", []PartReport{{Part: "p", Crashes: crashes(1)}, {Part: "p", Crashes: crashes(2)}, {Part: "p", Crashes: crashes(3)}}, true},
		{"one crash, reported three times", []PartReport{{Part: "p", Crashes: crashes(1)}, {Part: "p", Crashes: crashes(1)}, {Part: "p", Crashes: crashes(1)}}, false},
		{"a response was completed before the third crash", []PartReport{{Part: "p", Crashes: crashes(2)}, {Part: "p", Cleared: true}, {Part: "p", Crashes: crashes(3)}}, false},
		{"a response was completed after the third crash", []PartReport{{Part: "p", Crashes: crashes(3)}, {Part: "p", Cleared: true}}, false},
		{"three crashes of another part", []PartReport{{Part: "q", Crashes: crashes(3)}}, false},
	}
	for _, row := range rows {
		l := NewPartLedger()
		for _, report := range row.reports {
			l.Merge(report, 0)
		}
		if got := l.Quarantined("p", 0); got != row.want {
			t.Errorf("%s: quarantined %v", row.name, got)
		}
		other := NewPartLedger()
		for _, report := range l.Reports(0) {
			other.Merge(report, 0)
		}
		if got := other.Quarantined("p", 0); got != row.want {
			t.Errorf("%s: quarantined %v at a peer", row.name, got)
		}
	}
}

// Guards against blaming a part that all requests of a route share, because one request
// crashed three endpoints before another response was completed.
func TestCompletedPartIsNotBlamed(t *testing.T) {
	l := NewPartLedger()
	l.Clear("p", 0)
	l.Merge(PartReport{Part: "p", Crashes: crashes(3)}, clock.Minute)
	if l.Quarantined("p", clock.Minute) {
		t.Error("quarantined a minute after a response was completed")
	}
	if got := l.Reports(clock.Minute); len(got) != 1 || !got[0].Cleared {
		t.Errorf("peers are told %+v", got)
	}
	for i := range 2 * maxCompleted {
		l.Clear(Part(fmt.Sprint(i)), clock.Minute)
	}
	if len(l.completed) > maxCompleted {
		t.Errorf("%d completed parts kept", len(l.completed))
	}
}

func TestPartTrials(t *testing.T) {
	l := NewPartLedger()
	l.Merge(PartReport{Part: "p", Crashes: crashes(3)}, 0)
	trials := 0
	for now := clock.Millis(0); now < 60*clock.Second; now += clock.Second {
		if l.TakeTrial("p", 1, 0.5, now) {
			trials++
		}
	}
	if trials != 1 {
		t.Errorf("%d trials in a minute, want 1", trials)
	}
	if l.Clear("p", 61*clock.Second); l.Quarantined("p", 61*clock.Second) {
		t.Error("still quarantined after a trial was completed")
	}
}

// TestPartTrialsOfAFleet checks that a few instances try a part soon after that is due, however
// many there are and however rare its requests. Each trial crashes an endpoint, and a part that
// is not tried stays blocked.
func TestPartTrialsOfAFleet(t *testing.T) {
	const newsDelay = clock.Second
	tests := []struct {
		instances int
		perSecond float64
	}{{7, 0.2}, {7, 20}, {295, 0.2}, {295, 2}, {295, 50}, {1000, 0.2}, {1000, 200}}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d instances, %g requests a second", tt.instances, tt.perSecond), func(t *testing.T) {
			random := rand.New(rand.NewPCG(5, 6))
			const seeds = 40
			trials, waited := 0, clock.Millis(0)
			for range seeds {
				ledgers := make([]*PartLedger, tt.instances)
				for i := range ledgers {
					ledgers[i] = NewPartLedger()
					ledgers[i].Merge(PartReport{Part: "p", Crashes: crashes(3)}, 0)
				}
				first := clock.Millis(0)
				for now := trialDelay; first == 0 || now < first+newsDelay; now += 10 {
					arrivals := int(tt.perSecond/100 + random.Float64())
					for range arrivals {
						if ledgers[random.IntN(tt.instances)].TakeTrial("p", tt.instances, random.Float64(), now) {
							trials++
							first = cmp.Or(first, now)
						}
					}
				}
				waited += first - trialDelay
			}
			if mean := float64(trials) / seeds; mean > 2 {
				t.Errorf("%.1f trials before the result of the first is known", mean)
			}
			if mean := waited / seeds; mean > trialDelay {
				t.Errorf("the first trial waits %d ms on average", mean)
			}
		})
	}
}

// Guards against a part that is no longer quarantined once its record is full or old.
func TestPartIsQuarantinedAgain(t *testing.T) {
	l := NewPartLedger()
	l.Merge(PartReport{Part: "p", Crashes: crashes(2 * maxPartCrashes)}, 0)
	l.Merge(PartReport{Part: "p", Crashes: []CrashID{"later"}}, partTTL)
	if !l.Quarantined("p", partTTL+clock.Second) {
		t.Error("a crash after the record was full is ignored")
	}
	if l.TakeTrial("p", 1, 0.5, partTTL+clock.Second) {
		t.Error("tried a second after a crash")
	}
	later := 3 * partTTL
	if l.Merge(PartReport{Part: "p", Crashes: crashes(1)}, later); l.Quarantined("p", later) {
		t.Error("quarantined by one crash after the record has lapsed")
	}
	if l.Merge(PartReport{Part: "p", Crashes: crashes(3)}, later); !l.Quarantined("p", later) {
		t.Error("not quarantined by three crashes after the record has lapsed")
	}
}

func TestPartLedgerIsBounded(t *testing.T) {
	l := NewPartLedger()
	for i := range 3 * maxParts {
		l.Merge(PartReport{Part: Part(fmt.Sprint(i)), Crashes: crashes(20)}, clock.Millis(i))
	}
	last := Part(fmt.Sprint(3*maxParts - 1))
	if len(l.parts) > maxParts || len(l.parts[last].crashes) > maxPartCrashes {
		t.Errorf("%d parts, %d crashes", len(l.parts), len(l.parts[last].crashes))
	}
	if l.Quarantined(last, partTTL+3*maxParts) {
		t.Error("a part is quarantined for ever")
	}
	if got := l.Reports(2 * partTTL); len(got) != 0 {
		t.Errorf("%d reports of old crashes", len(got))
	}
	if l.Merge(PartReport{Part: "p", Crashes: crashes(3), Age: partTTL + 1}, 0) {
		t.Error("an old report revives a part")
	}
}
