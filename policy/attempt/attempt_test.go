package attempt

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestNext walks the table of (sent, result, what may be repeated, what is left).
func TestNext(t *testing.T) {
	once := End{Sent: SentSome}
	free := End{Sent: SentSome, Repeatable: true, Another: true}
	stream := End{Sent: SentSome, Repeatable: true, Resumable: true, Begun: true, Another: true}
	rows := []struct {
		name   string
		end    End
		change func(*End)
		want   Step
	}{
		{"an answer is delivered", once, func(e *End) { e.Result = ResultAnswered }, StepDeliver},
		{"nothing sent, another place", once, func(e *End) { e.Sent, e.Result, e.Another = SentNothing, ResultBroken, true }, StepRepeat},
		{"nothing sent, no other place", once, func(e *End) { e.Sent, e.Result = SentNothing, ResultBroken }, StepRefuse},
		{"turned away, another place", once, func(e *End) { e.Result, e.Another = ResultNotRun, true }, StepRepeat},
		{"turned away, no other place", once, func(e *End) { e.Result = ResultNotRun }, StepRefuse},
		{"turned away after a run is no promise", once, func(e *End) { e.Result, e.RanBefore = ResultNotRun, true }, StepFail},
		{"nothing sent after a run is no promise", once, func(e *End) { e.Sent, e.Result, e.RanBefore = SentNothing, ResultBroken, true }, StepFail},
		{"may run once, broken", once, func(e *End) { e.Result, e.Another = ResultBroken, true }, StepFail},
		{"may run once, silent", once, func(e *End) { e.Result, e.Another = ResultSilent, true }, StepFail},
		{"may run once, failed", once, func(e *End) { e.Result, e.Another = ResultFailed, true }, StepPass},
		{"may run once, failed at a sick endpoint", once, func(e *End) { e.Result, e.Another, e.Doubtful = ResultFailed, true, true }, StepPass},
		{"may repeat, broken", free, func(e *End) { e.Result = ResultBroken }, StepRepeat},
		{"may repeat, silent", free, func(e *End) { e.Result = ResultSilent }, StepRepeat},
		{"may repeat, failed", free, func(e *End) { e.Result = ResultFailed }, StepPass},
		{"may repeat, failed at a sick endpoint", free, func(e *End) { e.Result, e.Doubtful = ResultFailed, true }, StepRepeat},
		{"may repeat, nothing left", free, func(e *End) { e.Result, e.Another = ResultBroken, false }, StepFail},
		{"unsure, room for a larger model", free, func(e *End) { e.Result = ResultUnsure }, StepEscalate},
		{"unsure, no room", free, func(e *End) { e.Result, e.Another = ResultUnsure, false }, StepDeliver},
		{"unsure, may run once", once, func(e *End) { e.Result, e.Another = ResultUnsure, true }, StepDeliver},
		{"a begun stream breaks", stream, func(e *End) { e.Result = ResultBroken }, StepResume},
		{"a begun stream falls silent", stream, func(e *End) { e.Result = ResultSilent }, StepResume},
		{"a begun stream finds a full endpoint", stream, func(e *End) { e.Result = ResultNotRun }, StepResume},
		{"a begun stream that cannot go on", stream, func(e *End) { e.Result, e.Resumable = ResultBroken, false }, StepCut},
		{"a begun stream with nothing left", stream, func(e *End) { e.Result, e.Another = ResultBroken, false }, StepCut},
		{"a begun stream ends", stream, func(e *End) { e.Result = ResultAnswered }, StepDeliver},
	}
	Convey("Each end leads to its step", t, func() {
		for _, row := range rows {
			end := row.end
			row.change(&end)
			SoMsg(row.name, Next(end), ShouldEqual, row.want)
		}
	})
	Convey("A refusal is only ever given if nothing ran", t, func() {
		for _, sent := range []Sent{SentNothing, SentSome} {
			for _, result := range []Result{ResultAnswered, ResultFailed, ResultNotRun, ResultBroken, ResultSilent, ResultUnsure} {
				for mask := range 64 {
					e := End{
						Sent: sent, Result: result, Repeatable: mask&1 > 0, Resumable: mask&2 > 0,
						Begun: mask&4 > 0, RanBefore: mask&8 > 0, Another: mask&16 > 0, Doubtful: mask&32 > 0,
					}
					step := Next(e)
					if step == StepRefuse {
						So(e.RanBefore || e.Begun || e.Ran(), ShouldBeFalse)
					}
					if (step == StepRepeat || step == StepEscalate) && e.Ran() {
						So(e.Repeatable, ShouldBeTrue)
					}
					if e.Begun {
						So(step, ShouldBeIn, StepDeliver, StepResume, StepCut)
					}
				}
			}
		}
	})
}
