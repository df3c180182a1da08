package readiness

import (
	"testing"

	"foxtailbridge/policy/clock"
)

// TestCheck guards against an instance that cannot reach any endpoint of a service and is sent
// requests all the same, and against a check that fails on all instances at once, or flaps.
func TestCheck(t *testing.T) {
	var (
		cutOff   = []Service{{Name: "s", Listed: 4, CutOff: 3}}
		drained  = []Service{{Name: "s", Listed: 4}}
		unlisted = []Service{{Name: "s"}}
		reached  = []Service{{Name: "s", Listed: 4, Reachable: 1, CutOff: 3}}
		other    = []Service{{Name: "other", Listed: 1, CutOff: 1}, {Name: "s", Listed: 4, Reachable: 4}}
	)
	type step struct {
		at       clock.Millis
		services []Service
		failing  bool
	}
	rows := []struct {
		name  string
		steps []step
	}{
		{"cut off: fails after a second of evidence, passes at once", []step{{0, cutOff, false}, {999, cutOff, false}, {1000, cutOff, true}, {1200, cutOff, true}, {1201, reached, false}, {1202, cutOff, false}, {2201, cutOff, false}, {2202, cutOff, true}}},
		{"no evidence for a while in between", []step{{0, cutOff, false}, {900, reached, false}, {1000, cutOff, false}, {1900, cutOff, false}}},
		{"a service without an endpoint in the view", []step{{0, unlisted, false}, {5000, unlisted, false}}},
		{"no endpoint may get requests from any instance", []step{{0, drained, false}, {5000, drained, false}}},
		{"one service after the other", []step{{0, cutOff, false}, {800, other, false}, {1500, other, false}, {1800, other, true}, {1900, cutOff, false}}},
		{"the service is removed", []step{{0, cutOff, false}, {1000, cutOff, true}, {1100, nil, false}}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var c Check
			before := false
			for _, s := range row.steps {
				changed, _ := c.Update(s.services, s.at)
				if c.Failing() != s.failing || changed != (s.failing != before) {
					t.Errorf("at %d: failing %v, changed %v; want failing %v", s.at, c.Failing(), changed, s.failing)
				}
				before = c.Failing()
			}
		})
	}
}
