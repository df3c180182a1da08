package rollout

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/evidence"
)

func TestCanary(t *testing.T) {
	const duration = 24 * clock.Second
	const bound = 0.15
	Convey("A release that turns bad at full traffic stays within the exposure bound", t, func() {
		exposed := 0.0
		const detection = 1200 // ms at full share until the release is stopped
		for at := clock.Millis(0); at < duration; at += 10 {
			phase := PhaseAt(at, duration)
			if (phase == PhaseFull || phase == PhaseDone) && float64(at) > fullStart*float64(duration)+detection {
				break
			}
			exposed += Share(at, duration, bound) * 10 / float64(duration)
		}
		So(exposed, ShouldBeLessThan, bound)
	})
	Convey("The share never decreases, and is 0 during PhaseSettle", t, func() {
		last := 0.0
		for at := clock.Millis(0); at < duration; at += 10 {
			share := Share(at, duration, bound)
			So(share, ShouldBeGreaterThanOrEqualTo, last)
			last = share
		}
		So(Share(settleDuration-1, duration, bound), ShouldEqual, 0)
		So(Share(settleDuration, duration, bound), ShouldEqual, CanaryShare(bound))
		So(last, ShouldEqual, 1)
	})
	Convey("An order may be completed early enough for two failed attempts to write the outcome", t, func() {
		So(PhaseAt(duration*9/10, duration), ShouldEqual, PhaseDone)
	})
	tests := []struct {
		name     string
		from, to evidence.Tally
		want     Verdict
	}{
		{"half of the answers are bad", evidence.Tally{Good: 40}, evidence.Tally{Good: 4, Bad: 4}, VerdictStop},
		{"as good as the old release", evidence.Tally{Good: 200, Bad: 10}, evidence.Tally{Good: 95, Bad: 5}, VerdictContinue},
		{"a route on which the old release fails as often", evidence.Tally{Good: 172, Bad: 28}, evidence.Tally{Good: 26, Bad: 5}, VerdictContinue},
		{"too few answers to decide", evidence.Tally{Good: 40}, evidence.Tally{Good: 0, Bad: 3}, VerdictContinue},
	}
	Convey("Verdicts", t, func() {
		for _, tt := range tests {
			got, _ := EvaluateWindows([]EvidenceWindow{{From: tt.from, To: tt.to, BadEndpoints: 6, ReachedEndpoints: 6}}, 0.95)
			SoMsg(tt.name, got, ShouldEqual, tt.want)
		}
	})
	Convey("Good ratings in the past do not hide a release that turns bad late", t, func() {
		total := evidence.Tally{Good: 400, Bad: 9}
		recent := evidence.Tally{Good: 9, Bad: 9}
		from := evidence.Tally{Good: 4000, Bad: 40}
		So(Evaluate(from, total, 0.95), ShouldEqual, VerdictContinue)
		verdict, decisive := EvaluateWindows([]EvidenceWindow{{from, total, 6, 6}, {from, recent, 6, 6}}, 0.95)
		So(verdict, ShouldEqual, VerdictStop)
		So(decisive, ShouldResemble, EvidenceWindow{from, recent, 6, 6})
	})
	Convey("The deciding window is returned, also if only endpoints are at fault", t, func() {
		from := evidence.Tally{Good: 4000, Bad: 40}
		failing := EvidenceWindow{from, evidence.Tally{Good: 30, Bad: 15}, 2, 18}
		verdict, decisive := EvaluateWindows([]EvidenceWindow{failing, {from, evidence.Tally{Good: 9}, 0, 18}}, 0.95)
		So(verdict, ShouldEqual, VerdictEndpoints)
		So(decisive, ShouldResemble, failing)
	})
}

// TestReleaseAtFault checks that a bad release is told apart from a good release with
// a fifth of its endpoints failing, as happened on the day of a roll-out.
func TestReleaseAtFault(t *testing.T) {
	tests := []struct {
		name      string
		bad       int
		endpoints int
		answers   int64
		want      bool
	}{
		{"half of 16 answers bad, 18 endpoints", 7, 18, 16, true},
		{"a fifth of 60 endpoints failing, many answers", 12, 60, 240, false},
		{"two failing endpoints of 18, few answers", 2, 18, 25, false},
		// With half of the endpoints down and a fifth failing, a small number of answers
		// came mostly from failing endpoints, and a good release was rolled back.
		{"few answers, most of them from failing endpoints of 59", 9, 59, 18, false},
		{"a bad release with 59 endpoints", 15, 59, 45, true},
		{"a bad release with 12 endpoints, few answers", 4, 12, 5, true},
		{"a bad release with 400 endpoints", 20, 400, 60, true},
		{"one endpoint of one", 1, 1, 5, true},
		{"a bad release with four endpoints", 3, 4, 10, true},
		{"one failing endpoint of four", 1, 4, 40, false},
		{"two endpoints that were filled first, both failing", 2, 2, 40, true},
	}
	Convey("A release is at fault if its bad answers come from many of its endpoints", t, func() {
		for _, tt := range tests {
			SoMsg(tt.name, EvidenceWindow{To: evidence.Tally{Good: tt.answers}, BadEndpoints: tt.bad, ReachedEndpoints: tt.endpoints}.releaseAtFault(), ShouldEqual, tt.want)
		}
	})
}
