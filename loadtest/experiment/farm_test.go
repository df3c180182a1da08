package experiment

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"foxtailbridge/policy/clock"
)

const (
	// phoneGoal is how much longer phone callers may wait at 1.5 of capacity than at 0.5.
	phoneGoal = 1.5
	// goodputGoal is the share of the peak that overload must leave.
	goodputGoal = 0.95
	// amplificationGoal bounds the dispatches for each answer.
	amplificationGoal = 1.1
	percentile        = 95
)

func phoneFirst(r FarmResult) float64 {
	return float64(r.UrgentFirstToken.ValueAtQuantile(percentile))
}

func TestPhoneCallersWait(t *testing.T) {
	Convey("Phone callers hardly notice 1.5 of capacity, and no audit is lost", t, func() {
		calm := RunFarm(DefaultFarmLoad(1, 0.5), BalancingRouter)
		busy := RunFarm(DefaultFarmLoad(1, 1.5), BalancingRouter)
		So(phoneFirst(busy)/phoneFirst(calm), ShouldBeLessThanOrEqualTo, phoneGoal)
		So(busy.UrgentAnswered, ShouldEqual, busy.UrgentOffered)
		So(busy.AuditsLost, ShouldEqual, 0)
	})
	Convey("At each load phone callers wait no longer than with the baselines", t, func() {
		for _, capacity := range []float64{0.5, 0.8, 1} {
			router := RunFarm(DefaultFarmLoad(1, capacity), BalancingRouter)
			for _, baseline := range []BalancingPolicy{BalancingRoundRobin, BalancingLeastReported} {
				So(phoneFirst(router), ShouldBeLessThanOrEqualTo, phoneFirst(RunFarm(DefaultFarmLoad(1, capacity), baseline)))
			}
		}
	})
	Convey("Lagged reports make no herd", t, func() {
		load := DefaultFarmLoad(1, 0.5)
		load.ReportLag = 2 * clock.Second
		router := RunFarm(load, BalancingRouter)
		herd := RunFarm(load, BalancingLeastReported)
		So(phoneFirst(herd)/phoneFirst(router), ShouldBeGreaterThan, 10)
	})
}

func TestOverload(t *testing.T) {
	Convey("Goodput stays near its peak up to ten times capacity, without amplification", t, func() {
		peak := 0.0
		for _, capacity := range []float64{1, 2, 5, 10} {
			load := DefaultFarmLoad(1, capacity)
			load.Duration = 2 * clock.Minute
			load.CallerRetries = 3
			load.AuditDeadline = clock.Minute
			got := RunFarm(load, BalancingRouter)
			goodput := got.Goodput(load.Duration)
			peak = max(peak, goodput)
			So(goodput/peak, ShouldBeGreaterThanOrEqualTo, goodputGoal)
			So(got.Amplification(), ShouldBeLessThanOrEqualTo, amplificationGoal)
		}
	})
}
