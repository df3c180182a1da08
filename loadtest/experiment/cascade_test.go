package experiment

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	cascadeSeeds = 6
	// costGoal is the goal's cost against an oracle that knows the true rates.
	costGoal = 1.05
	// hourGoal is how far below the target an hour may lie, in points.
	hourGoal = -1.0
)

func TestCascadeCost(t *testing.T) {
	Convey("Once learned, the cost at the target is near the oracle's", t, func() {
		var learned, oracle float64
		for seed := range uint64(cascadeSeeds) {
			load := DefaultCascadeLoad(seed)
			got := RunCascade(load, PolicyLearned)
			learned += got.SecondHalfCost
			oracle += RunCascade(load, PolicyOracle).SecondHalfCost
			So(got.WorstHourMargin, ShouldBeGreaterThanOrEqualTo, hourGoal)
		}
		So(learned/oracle, ShouldBeLessThanOrEqualTo, costGoal)
	})
	Convey("The baselines cost more, or fall below the target", t, func() {
		load := DefaultCascadeLoad(0)
		learned := RunCascade(load, PolicyLearned)
		So(RunCascade(load, PolicyBest).Cost, ShouldBeGreaterThan, learned.Cost)
		So(RunCascade(load, PolicyCheapest).WorstHourMargin, ShouldBeLessThan, hourGoal)
	})
	Convey("With ratings in time, escalation costs less than the fixed cascade", t, func() {
		load := DefaultCascadeLoad(0)
		load.Escalate = true
		load.RatedInTime = 0.95
		learned, fixed := RunCascade(load, PolicyLearned), RunCascade(load, PolicyFixed)
		So(learned.Cost, ShouldBeLessThanOrEqualTo, fixed.Cost)
		So(learned.WorstHourMargin, ShouldBeGreaterThanOrEqualTo, hourGoal)
	})
}
