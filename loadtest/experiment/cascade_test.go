package experiment

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	cascadeSeeds = 6
	// maxCostRatio bounds the cost relative to an oracle that knows the true pass rates.
	maxCostRatio = 1.05
	// minHourMargin bounds how far an hour may fall below the target, in percentage points.
	minHourMargin = -1.0
)

func TestCascadeCost(t *testing.T) {
	Convey("In the second half of the load the cost is near the oracle's", t, func() {
		var learned, oracle float64
		for seed := range uint64(cascadeSeeds) {
			load := DefaultCascadeLoad(seed)
			got := RunCascade(load, PolicyLearned)
			learned += got.SecondHalfCost
			oracle += RunCascade(load, PolicyOracle).SecondHalfCost
			So(got.WorstHourMargin, ShouldBeGreaterThanOrEqualTo, minHourMargin)
		}
		So(learned/oracle, ShouldBeLessThanOrEqualTo, maxCostRatio)
	})
	Convey("The baselines cost more or miss the target", t, func() {
		load := DefaultCascadeLoad(0)
		learned := RunCascade(load, PolicyLearned)
		So(RunCascade(load, PolicyBest).Cost, ShouldBeGreaterThan, learned.Cost)
		So(RunCascade(load, PolicyCheapest).WorstHourMargin, ShouldBeLessThan, minHourMargin)
	})
	Convey("With ratings in time, escalation costs less than the fixed cascade", t, func() {
		load := DefaultCascadeLoad(0)
		load.Escalate = true
		load.RatedInTime = 0.95
		learned, fixed := RunCascade(load, PolicyLearned), RunCascade(load, PolicyFixed)
		So(learned.Cost, ShouldBeLessThanOrEqualTo, fixed.Cost)
		So(learned.WorstHourMargin, ShouldBeGreaterThanOrEqualTo, minHourMargin)
	})
}
