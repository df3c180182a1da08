package experiment

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	// exposureGoal is how many callers may get a version that is worse by 20 points.
	exposureGoal = 50
	// falseStopGoal bounds the share of good versions that are stopped.
	falseStopGoal = 0.01
	rolloutSeeds  = 100
)

func TestRolloutExposure(t *testing.T) {
	Convey("A version that is worse by 20 points is stopped within the goal", t, func() {
		guard := RunRollouts(DefaultRolloutLoad(0, 0.2), GuardEvidence, rolloutSeeds)
		stages := RunRollouts(DefaultRolloutLoad(0, 0.2), GuardStages, rolloutSeeds)
		So(guard.ExposedMedian, ShouldBeLessThanOrEqualTo, exposureGoal)
		So(guard.StoppedShare, ShouldBeGreaterThanOrEqualTo, 0.95)
		So(guard.ExposedMean, ShouldBeLessThan, stages.ExposedMean/2)
	})
	Convey("A version that always fails harms fewer callers still", t, func() {
		So(RunRollouts(DefaultRolloutLoad(0, 0.92), GuardEvidence, rolloutSeeds).ExposedP95, ShouldBeLessThanOrEqualTo, exposureGoal/2)
	})
	Convey("A version that is as good is rarely stopped", t, func() {
		load := DefaultRolloutLoad(0, 0)
		load.Requests = 3000
		So(RunRollouts(load, GuardEvidence, 2*rolloutSeeds).StoppedShare, ShouldBeLessThanOrEqualTo, falseStopGoal)
	})
	Convey("A good version reaches its share", t, func() {
		load := DefaultRolloutLoad(1, 0)
		load.Requests = 40_000
		got := RunRollout(load, GuardEvidence)
		So(got.Stopped, ShouldBeFalse)
		So(got.Exposed, ShouldBeGreaterThan, load.Requests*load.Percent/100/2)
	})
}
