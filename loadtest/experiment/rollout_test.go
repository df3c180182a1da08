package experiment

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	// maxExposed bounds the requests exposed to a version whose pass rate is lower by 20 points.
	maxExposed = 50
	// maxFalseStopShare bounds the share of equally good versions that are stopped.
	maxFalseStopShare = 0.01
	rolloutSeeds      = 100
)

func TestRolloutExposure(t *testing.T) {
	Convey("A version that is worse by 20 points is stopped within the exposure bound", t, func() {
		guard := RunRollouts(DefaultRolloutLoad(0, 0.2), GuardEvidence, rolloutSeeds)
		stages := RunRollouts(DefaultRolloutLoad(0, 0.2), GuardStages, rolloutSeeds)
		So(guard.ExposedMedian, ShouldBeLessThanOrEqualTo, maxExposed)
		So(guard.StoppedShare, ShouldBeGreaterThanOrEqualTo, 0.95)
		So(guard.ExposedMean, ShouldBeLessThan, stages.ExposedMean/2)
	})
	Convey("A version that always fails is stopped even earlier", t, func() {
		So(RunRollouts(DefaultRolloutLoad(0, 0.92), GuardEvidence, rolloutSeeds).ExposedP95, ShouldBeLessThanOrEqualTo, maxExposed/2)
	})
	Convey("An equally good version is rarely stopped", t, func() {
		load := DefaultRolloutLoad(0, 0)
		load.Requests = 3000
		So(RunRollouts(load, GuardEvidence, 2*rolloutSeeds).StoppedShare, ShouldBeLessThanOrEqualTo, maxFalseStopShare)
	})
	Convey("An equally good version reaches its share", t, func() {
		load := DefaultRolloutLoad(1, 0)
		load.Requests = 40_000
		got := RunRollout(load, GuardEvidence)
		So(got.Stopped, ShouldBeFalse)
		So(got.Exposed, ShouldBeGreaterThan, load.Requests*load.Percent/100/2)
	})
}
