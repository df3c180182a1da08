package speed

import (
	"testing"

	"foxtailbridge/policy/clock"
)

// Guards against an endpoint that stays avoided, or preferred, long after it reported a speed
// that it has for about 0.6 s (load pattern: slow endpoint).
func TestSlowdownDecays(t *testing.T) {
	rows := []struct {
		name      string
		reported  Factor
		usual     Factor
		age       clock.Millis
		low, high Factor
	}{
		{"nothing reported", 0, 1, 0, 1, 1},
		{"just reported", 2.5, 1, 0, 2.5, 2.5},
		{"after half of a usual spell", 2.5, 1, 300, 1.5, 2},
		{"after a second", 2.5, 1, 1000, 1, 1.15},
		{"after a minute", 100, 1, 60000, 1, 1.0001},
		{"always slower, after a second", 2.5, 1.3, 1000, 1.3, 1.45},
		{"always slower, and reports the usual time", 1, 1.3, 0, 1.3, 1.3},
		{"always faster, nothing reported", 0, 0.8, 0, 0.8, 0.8},
		{"a clock that stands still", 2.5, 1, -5, 2.5, 2.5},
	}
	for _, row := range rows {
		var s Slowdown
		if row.reported > 0 {
			s.Report(row.reported, 100)
		}
		if got := s.At(row.usual, 100+row.age); got < row.low || got > row.high {
			t.Errorf("%s: factor %v, want %v to %v", row.name, got, row.low, row.high)
		}
	}
}

// Guards against an endpoint that works as usual again and gets fewer requests until an old
// report has decayed.
func TestNewReportReplacesOld(t *testing.T) {
	var s Slowdown
	s.Report(2.5, 100)
	s.Report(1, 150)
	if got := s.At(1, 150); got != 1 {
		t.Errorf("factor %v after a report of the usual speed", got)
	}
}
