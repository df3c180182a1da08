package attempt

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestNext walks the table of (sent, result, what may be repeated, what is left).
func TestNext(t *testing.T) {
	once := Outcome{Sent: SentSome}
	free := Outcome{Sent: SentSome, Idempotent: true, RetryAllowed: true}
	stream := Outcome{Sent: SentSome, Idempotent: true, Resumable: true, ResponseStarted: true, RetryAllowed: true}
	rows := []struct {
		name   string
		end    Outcome
		change func(*Outcome)
		want   Step
	}{
		{"an answer is delivered", once, func(e *Outcome) { e.Result = ResultAnswered }, StepDeliver},
		{"nothing sent, another place", once, func(e *Outcome) { e.Sent, e.Result, e.RetryAllowed = SentNothing, ResultBroken, true }, StepRetry},
		{"nothing sent, no other place", once, func(e *Outcome) { e.Sent, e.Result = SentNothing, ResultBroken }, StepRefuse},
		{"turned away, another place", once, func(e *Outcome) { e.Result, e.RetryAllowed = ResultNotRun, true }, StepRetry},
		{"turned away, no other place", once, func(e *Outcome) { e.Result = ResultNotRun }, StepRefuse},
		{"turned away after a run is no promise", once, func(e *Outcome) { e.Result, e.EarlierMayHaveRun = ResultNotRun, true }, StepFail},
		{"nothing sent after a run is no promise", once, func(e *Outcome) { e.Sent, e.Result, e.EarlierMayHaveRun = SentNothing, ResultBroken, true }, StepFail},
		{"may run once, broken", once, func(e *Outcome) { e.Result, e.RetryAllowed = ResultBroken, true }, StepFail},
		{"may run once, silent", once, func(e *Outcome) { e.Result, e.RetryAllowed = ResultTimeout, true }, StepFail},
		{"may run once, failed", once, func(e *Outcome) { e.Result, e.RetryAllowed = ResultFailed, true }, StepReturnFailure},
		{"may run once, failed at a sick endpoint", once, func(e *Outcome) { e.Result, e.RetryAllowed, e.EndpointSuspect = ResultFailed, true, true }, StepReturnFailure},
		{"may repeat, broken", free, func(e *Outcome) { e.Result = ResultBroken }, StepRetry},
		{"may repeat, silent", free, func(e *Outcome) { e.Result = ResultTimeout }, StepRetry},
		{"may repeat, failed", free, func(e *Outcome) { e.Result = ResultFailed }, StepReturnFailure},
		{"may repeat, failed at a sick endpoint", free, func(e *Outcome) { e.Result, e.EndpointSuspect = ResultFailed, true }, StepRetry},
		{"may repeat, nothing left", free, func(e *Outcome) { e.Result, e.RetryAllowed = ResultBroken, false }, StepFail},
		{"unsure, room for a larger model", free, func(e *Outcome) { e.Result = ResultLowConfidence }, StepEscalate},
		{"unsure, no room", free, func(e *Outcome) { e.Result, e.RetryAllowed = ResultLowConfidence, false }, StepDeliver},
		{"unsure, may run once", once, func(e *Outcome) { e.Result, e.RetryAllowed = ResultLowConfidence, true }, StepDeliver},
		{"a begun stream breaks", stream, func(e *Outcome) { e.Result = ResultBroken }, StepResume},
		{"a begun stream falls silent", stream, func(e *Outcome) { e.Result = ResultTimeout }, StepResume},
		{"a begun stream finds a full endpoint", stream, func(e *Outcome) { e.Result = ResultNotRun }, StepResume},
		{"a begun stream that cannot go on", stream, func(e *Outcome) { e.Result, e.Resumable = ResultBroken, false }, StepAbort},
		{"a begun stream with nothing left", stream, func(e *Outcome) { e.Result, e.RetryAllowed = ResultBroken, false }, StepAbort},
		{"a begun stream ends", stream, func(e *Outcome) { e.Result = ResultAnswered }, StepDeliver},
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
			for _, result := range []Result{ResultAnswered, ResultFailed, ResultNotRun, ResultBroken, ResultTimeout, ResultLowConfidence} {
				for mask := range 64 {
					e := Outcome{
						Sent: sent, Result: result, Idempotent: mask&1 > 0, Resumable: mask&2 > 0,
						ResponseStarted: mask&4 > 0, EarlierMayHaveRun: mask&8 > 0, RetryAllowed: mask&16 > 0, EndpointSuspect: mask&32 > 0,
					}
					step := Next(e)
					if step == StepRefuse {
						So(e.EarlierMayHaveRun || e.ResponseStarted || e.MayHaveRun(), ShouldBeFalse)
					}
					if (step == StepRetry || step == StepEscalate) && e.MayHaveRun() {
						So(e.Idempotent, ShouldBeTrue)
					}
					if e.ResponseStarted {
						So(step, ShouldBeIn, StepDeliver, StepResume, StepAbort)
					}
				}
			}
		}
	})
}
