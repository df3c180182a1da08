package endpoints

import (
	"testing"

	"foxtailbridge/policy/clock"
)

// Guards against an instance that restarted during a roll-out and calls no response slow,
// as it has none of the old release to compare with.
func TestSlowPlainResponseWithoutBaseline(t *testing.T) {
	b := &delayBaseline{}
	rows := []struct {
		name        string
		delay, goal clock.Millis
		slow, known bool
	}{
		{"within the goal", 90, 100, false, true},
		{"beyond the goal", 120, 100, true, true},
		{"no goal", 120, 0, false, false},
	}
	for _, row := range rows {
		if slow, known := b.judgePlain(row.delay, row.goal, nil); slow != row.slow || known != row.known {
			t.Errorf("%s: slow %v, known %v", row.name, slow, known)
		}
	}
}
