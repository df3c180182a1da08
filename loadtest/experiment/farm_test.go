package experiment

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"foxtailbridge/policy/clock"
)

const (
	// maxUrgentSlowdown bounds the urgent first-token time at load factor 1.5 relative to 0.5.
	maxUrgentSlowdown = 1.5
	// minGoodputShare is the share of the peak goodput that must remain under overload.
	minGoodputShare = 0.95
	// maxAmplification bounds the dispatches per answered request.
	maxAmplification = 1.1
	percentile       = 95
)

func urgentFirstTokenP95(r FarmResult) float64 {
	return float64(r.UrgentFirstToken.ValueAtQuantile(percentile))
}

func TestUrgentFirstTokenTime(t *testing.T) {
	Convey("At 1.5 times capacity urgent requests slow down little, and no audit is lost", t, func() {
		light := RunFarm(DefaultFarmLoad(1, 0.5), BalancingRouter)
		overloaded := RunFarm(DefaultFarmLoad(1, 1.5), BalancingRouter)
		So(urgentFirstTokenP95(overloaded)/urgentFirstTokenP95(light), ShouldBeLessThanOrEqualTo, maxUrgentSlowdown)
		So(overloaded.UrgentAnswered, ShouldEqual, overloaded.UrgentOffered)
		So(overloaded.AuditsLost, ShouldEqual, 0)
	})
	Convey("At each load factor urgent requests wait no longer than with the baselines", t, func() {
		for _, loadFactor := range []float64{0.5, 0.8, 1} {
			router := RunFarm(DefaultFarmLoad(1, loadFactor), BalancingRouter)
			for _, baseline := range []BalancingPolicy{BalancingRoundRobin, BalancingLeastReported} {
				So(urgentFirstTokenP95(router), ShouldBeLessThanOrEqualTo, urgentFirstTokenP95(RunFarm(DefaultFarmLoad(1, loadFactor), baseline)))
			}
		}
	})
	Convey("Delayed load reports cause no herding on one endpoint", t, func() {
		load := DefaultFarmLoad(1, 0.5)
		load.ReportLag = 2 * clock.Second
		router := RunFarm(load, BalancingRouter)
		leastReported := RunFarm(load, BalancingLeastReported)
		So(urgentFirstTokenP95(leastReported)/urgentFirstTokenP95(router), ShouldBeGreaterThan, 10)
	})
}

func TestOverload(t *testing.T) {
	Convey("Goodput stays near its peak up to ten times capacity, without amplification", t, func() {
		peak := 0.0
		for _, loadFactor := range []float64{1, 2, 5, 10} {
			load := DefaultFarmLoad(1, loadFactor)
			load.Duration = 2 * clock.Minute
			load.CallerRetries = 3
			load.AuditDeadline = clock.Minute
			got := RunFarm(load, BalancingRouter)
			goodput := got.Goodput(load.Duration)
			peak = max(peak, goodput)
			So(goodput/peak, ShouldBeGreaterThanOrEqualTo, minGoodputShare)
			So(got.Amplification(), ShouldBeLessThanOrEqualTo, maxAmplification)
		}
	})
}
