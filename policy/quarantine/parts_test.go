package quarantine

import (
	"fmt"
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
		if l.TakeTrial("p", now) {
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

// Guards against a part that is no longer quarantined once its record is full or old.
func TestPartIsQuarantinedAgain(t *testing.T) {
	l := NewPartLedger()
	l.Merge(PartReport{Part: "p", Crashes: crashes(2 * maxPartCrashes)}, 0)
	l.Merge(PartReport{Part: "p", Crashes: []CrashID{"later"}}, partTTL)
	if !l.Quarantined("p", partTTL+clock.Second) {
		t.Error("a crash after the record was full is ignored")
	}
	if l.TakeTrial("p", partTTL+clock.Second) {
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
