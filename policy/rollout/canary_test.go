package rollout

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/evidence"
)

func TestCanary(t *testing.T) {
	const span = 24 * clock.Second
	const bound = 0.15
	Convey("A release that turns bad when it gets everything stays within the exposure bound", t, func() {
		exposed := 0.0
		const detection = 1200 // ms at full share until the release is stopped
		for at := clock.Millis(0); at < span; at += 10 {
			phase := PhaseAt(at, span)
			if (phase == PhaseFull || phase == PhaseDone) && float64(at) > fullFrom*float64(span)+detection {
				break
			}
			exposed += Share(at, span, bound) * 10 / float64(span)
		}
		So(exposed, ShouldBeLessThan, bound)
	})
	Convey("The share never falls, and is nothing until all know the old sessions", t, func() {
		last := 0.0
		for at := clock.Millis(0); at < span; at += 10 {
			share := Share(at, span, bound)
			So(share, ShouldBeGreaterThanOrEqualTo, last)
			last = share
		}
		So(Share(settleSpan-1, span, bound), ShouldEqual, 0)
		So(Share(settleSpan, span, bound), ShouldEqual, CanaryShare(bound))
		So(last, ShouldEqual, 1)
	})
	Convey("A good release is completed with time to spare for two writers that fail", t, func() {
		So(PhaseAt(span*9/10, span), ShouldEqual, PhaseDone)
	})
	rows := []struct {
		name     string
		from, to evidence.Tally
		want     Verdict
	}{
		{"half of the answers fail", evidence.Tally{Good: 40}, evidence.Tally{Good: 4, Bad: 4}, VerdictStop},
		{"as good as the old one", evidence.Tally{Good: 200, Bad: 10}, evidence.Tally{Good: 95, Bad: 5}, VerdictContinue},
		{"a route on which the old release fails as often", evidence.Tally{Good: 172, Bad: 28}, evidence.Tally{Good: 26, Bad: 5}, VerdictContinue},
		{"too few to say", evidence.Tally{Good: 40}, evidence.Tally{Good: 0, Bad: 3}, VerdictContinue},
	}
	Convey("Verdicts", t, func() {
		for _, row := range rows {
			got, _ := EvaluateWindows([]EvidenceWindow{{From: row.from, To: row.to, BadEndpoints: 6, ReachedEndpoints: 6}}, 0.95)
			SoMsg(row.name, got, ShouldEqual, row.want)
		}
	})
	Convey("A release that turns bad late is not excused by its past", t, func() {
		whole := evidence.Tally{Good: 400, Bad: 9}
		recent := evidence.Tally{Good: 9, Bad: 9}
		from := evidence.Tally{Good: 4000, Bad: 40}
		So(Evaluate(from, whole, 0.95), ShouldEqual, VerdictContinue)
		verdict, decisive := EvaluateWindows([]EvidenceWindow{{from, whole, 6, 6}, {from, recent, 6, 6}}, 0.95)
		So(verdict, ShouldEqual, VerdictStop)
		So(decisive, ShouldResemble, EvidenceWindow{from, recent, 6, 6})
	})
	Convey("The span that decided is told, also where only endpoints are at fault", t, func() {
		from := evidence.Tally{Good: 4000, Bad: 40}
		sick := EvidenceWindow{from, evidence.Tally{Good: 30, Bad: 15}, 2, 18}
		verdict, decisive := EvaluateWindows([]EvidenceWindow{sick, {from, evidence.Tally{Good: 9}, 0, 18}}, 0.95)
		So(verdict, ShouldEqual, VerdictEndpoints)
		So(decisive, ShouldResemble, sick)
	})
}

// TestSpread tells a bad release from a fifth of its endpoints that turned sick
// on the day that it was brought in.
func TestSpread(t *testing.T) {
	rows := []struct {
		name      string
		bad       int
		endpoints int
		answers   int64
		want      bool
	}{
		{"half of 16 answers bad, 18 endpoints", 7, 18, 16, true},
		{"a fifth of 60 endpoints sick, many answers", 12, 60, 240, false},
		{"two sick endpoints of 18, few answers", 2, 18, 25, false},
		// On a day with half of the endpoints down and a fifth of them sick, few answers
		// met mostly sick ones, and a good release was rolled back.
		{"few answers, most of them by sick endpoints of 59", 9, 59, 18, false},
		{"a bad release with 59 endpoints", 15, 59, 45, true},
		{"a bad release with 12 endpoints, few answers", 4, 12, 5, true},
		{"a bad release with 400 endpoints", 20, 400, 60, true},
		{"one endpoint of one", 1, 1, 5, true},
		{"a bad release with four endpoints", 3, 4, 10, true},
		{"one sick endpoint of four", 1, 4, 40, false},
		{"two endpoints that were filled first, and both fail", 2, 2, 40, true},
	}
	Convey("A release is blamed if its bad answers come from many of its endpoints", t, func() {
		for _, row := range rows {
			SoMsg(row.name, EvidenceWindow{To: evidence.Tally{Good: row.answers}, BadEndpoints: row.bad, ReachedEndpoints: row.endpoints}.spread(), ShouldEqual, row.want)
		}
	})
}
