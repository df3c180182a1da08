package rollout

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/evidence"
)

func TestCanary(t *testing.T) {
	const duration = 24 * clock.Second
	const bound = 0.15
	// Routes "a" and "b" get half of the requests each, and "a" moves first.
	plan := PlanLightLoad(5, 64, []RouteLoad{{Route: "a", Requests: 9, RunTime: 2000}, {Route: "b", Requests: 9, PrefillTime: 500, RunTime: 200}}, "x")
	schedules := []Schedule{{Duration: duration}, {Duration: duration, LightLoad: plan}}
	share := func(s Schedule, at clock.Millis) float64 {
		return (s.Share("a", at, bound) + s.Share("b", at, bound)) / 2
	}
	Convey("A release that turns bad at full traffic stays within the exposure bound", t, func() {
		const detection = 1200 // ms at full share until the release is stopped
		for _, schedule := range schedules {
			exposed := 0.0
			for at := clock.Millis(0); at < duration; at += 10 {
				phase := schedule.PhaseAt(at)
				if (phase == PhaseFull || phase == PhaseDone) && float64(at) > fullStart*float64(duration)+detection {
					break
				}
				exposed += share(schedule, at) * 10 / float64(duration)
			}
			So(exposed, ShouldBeLessThan, bound)
		}
	})
	Convey("The share never decreases, and is 0 during PhaseSettle", t, func() {
		for _, schedule := range schedules {
			for _, route := range []catalog.RouteName{"a", "b"} {
				last := 0.0
				for at := clock.Millis(0); at < duration; at += 10 {
					share := schedule.Share(route, at, bound)
					So(share, ShouldBeGreaterThanOrEqualTo, last)
					last = share
				}
				So(schedule.Share(route, settleDuration-1, bound), ShouldEqual, 0)
				So(schedule.Share(route, settleDuration, bound), ShouldEqual, CanaryShare(bound))
				So(last, ShouldEqual, 1)
			}
		}
	})
	Convey("An order may be completed early enough for two failed attempts to write the outcome", t, func() {
		So(schedules[0].PhaseAt(duration*9/10), ShouldEqual, PhaseDone)
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
		verdict, decisive := EvaluateWindows([]EvidenceWindow{{from, total, 6, 0, 6}, {from, recent, 6, 0, 6}}, 0.95)
		So(verdict, ShouldEqual, VerdictStop)
		So(decisive, ShouldResemble, EvidenceWindow{from, recent, 6, 0, 6})
	})
	Convey("The deciding window is returned, also if only endpoints are at fault", t, func() {
		from := evidence.Tally{Good: 4000, Bad: 40}
		failing := EvidenceWindow{from, evidence.Tally{Good: 30, Bad: 15}, 2, 0, 18}
		verdict, decisive := EvaluateWindows([]EvidenceWindow{failing, {from, evidence.Tally{Good: 9}, 0, 0, 18}}, 0.95)
		So(verdict, ShouldEqual, VerdictEndpoints)
		So(decisive, ShouldResemble, failing)
	})
}

// TestLoadDependent checks that an endpoint that fails only under high load is told apart from
// one that is broken. The tallies of the first row are those of a calm day.
func TestLoadDependent(t *testing.T) {
	tests := []struct {
		name        string
		light, high evidence.Tally
		want        bool
	}{
		{"fails under high load only", evidence.Tally{Good: 22}, evidence.Tally{Good: 14, Bad: 4}, true},
		{"fails as often before", evidence.Tally{Good: 14, Bad: 8}, evidence.Tally{Good: 14, Bad: 8}, false},
		{"fails somewhat less before", evidence.Tally{Good: 17, Bad: 3}, evidence.Tally{Good: 10, Bad: 5}, false},
		{"hardly any answer before", evidence.Tally{Good: 5}, evidence.Tally{Good: 10, Bad: 6}, false},
		{"no answer", evidence.Tally{}, evidence.Tally{}, false},
	}
	Convey("An endpoint that fails under high load only is load-dependent", t, func() {
		for _, tt := range tests {
			SoMsg(tt.name, LoadDependent(tt.light, tt.high), ShouldEqual, tt.want)
		}
	})
	Convey("It is enough to stop a release of which few endpoints are under high load", t, func() {
		window := EvidenceWindow{To: evidence.Tally{Good: 14, Bad: 4}, BadEndpoints: 1, ReachedEndpoints: 3}
		So(window.releaseAtFault(), ShouldBeFalse)
		window.LoadDependentEndpoints = 1
		So(window.releaseAtFault(), ShouldBeTrue)
		window.ReachedEndpoints = 4
		So(window.releaseAtFault(), ShouldBeFalse)
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
