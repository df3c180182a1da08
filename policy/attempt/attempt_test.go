package attempt

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestNext checks the decision table of Next, then its guarantees over all combinations.
func TestNext(t *testing.T) {
	nonIdempotent := Outcome{Sent: SentSome}
	idempotent := Outcome{Sent: SentSome, Idempotent: true, RetryAllowed: true}
	stream := Outcome{Sent: SentSome, Idempotent: true, Resumable: true, ResponseStarted: true, RetryAllowed: true}
	tests := []struct {
		name    string
		outcome Outcome
		change  func(*Outcome)
		want    Step
	}{
		{"an answer is delivered", nonIdempotent, func(o *Outcome) { o.Result = ResultAnswered }, StepDeliver},
		{"nothing sent, retry allowed", nonIdempotent, func(o *Outcome) { o.Sent, o.Result, o.RetryAllowed = SentNothing, ResultBroken, true }, StepRetry},
		{"nothing sent, no retry allowed", nonIdempotent, func(o *Outcome) { o.Sent, o.Result = SentNothing, ResultBroken }, StepRefuse},
		{"not run, retry allowed", nonIdempotent, func(o *Outcome) { o.Result, o.RetryAllowed = ResultNotRun, true }, StepRetry},
		{"not run, no retry allowed", nonIdempotent, func(o *Outcome) { o.Result = ResultNotRun }, StepRefuse},
		{"not run after an attempt that may have run: no guarantee", nonIdempotent, func(o *Outcome) { o.Result, o.EarlierMayHaveRun = ResultNotRun, true }, StepFail},
		{"nothing sent after an attempt that may have run: no guarantee", nonIdempotent, func(o *Outcome) { o.Sent, o.Result, o.EarlierMayHaveRun = SentNothing, ResultBroken, true }, StepFail},
		{"not idempotent, broken response", nonIdempotent, func(o *Outcome) { o.Result, o.RetryAllowed = ResultBroken, true }, StepFail},
		{"not idempotent, timeout", nonIdempotent, func(o *Outcome) { o.Result, o.RetryAllowed = ResultTimeout, true }, StepFail},
		{"not idempotent, failed", nonIdempotent, func(o *Outcome) { o.Result, o.RetryAllowed = ResultFailed, true }, StepReturnFailure},
		{"not idempotent, failed at a suspect endpoint", nonIdempotent, func(o *Outcome) { o.Result, o.RetryAllowed, o.EndpointSuspect = ResultFailed, true, true }, StepReturnFailure},
		{"not idempotent, failed, claims not to have run", nonIdempotent, func(o *Outcome) { o.Result, o.RetryAllowed, o.ClaimsNotRun = ResultFailed, true, true }, StepFail},
		{"idempotent, failed, claims not to have run", idempotent, func(o *Outcome) { o.Result, o.ClaimsNotRun = ResultFailed, true }, StepRetry},
		{"idempotent, failed, claims not to have run, no retry allowed", idempotent, func(o *Outcome) { o.Result, o.ClaimsNotRun, o.RetryAllowed = ResultFailed, true, false }, StepFail},
		{"idempotent, broken response", idempotent, func(o *Outcome) { o.Result = ResultBroken }, StepRetry},
		{"idempotent, timeout", idempotent, func(o *Outcome) { o.Result = ResultTimeout }, StepRetry},
		{"idempotent, failed", idempotent, func(o *Outcome) { o.Result = ResultFailed }, StepReturnFailure},
		{"idempotent, failed at a suspect endpoint", idempotent, func(o *Outcome) { o.Result, o.EndpointSuspect = ResultFailed, true }, StepRetry},
		{"idempotent, no retry allowed", idempotent, func(o *Outcome) { o.Result, o.RetryAllowed = ResultBroken, false }, StepFail},
		{"low confidence, retry allowed", idempotent, func(o *Outcome) { o.Result = ResultLowConfidence }, StepEscalate},
		{"low confidence, no retry allowed", idempotent, func(o *Outcome) { o.Result, o.RetryAllowed = ResultLowConfidence, false }, StepDeliver},
		{"low confidence, not idempotent", nonIdempotent, func(o *Outcome) { o.Result, o.RetryAllowed = ResultLowConfidence, true }, StepDeliver},
		{"started stream breaks", stream, func(o *Outcome) { o.Result = ResultBroken }, StepResume},
		{"started stream times out", stream, func(o *Outcome) { o.Result = ResultTimeout }, StepResume},
		{"started stream is resumed at an endpoint that does not run it", stream, func(o *Outcome) { o.Result = ResultNotRun }, StepResume},
		{"started stream breaks and is not resumable", stream, func(o *Outcome) { o.Result, o.Resumable = ResultBroken, false }, StepAbort},
		{"started stream breaks, no retry allowed", stream, func(o *Outcome) { o.Result, o.RetryAllowed = ResultBroken, false }, StepAbort},
		{"started stream completes", stream, func(o *Outcome) { o.Result = ResultAnswered }, StepDeliver},
	}
	Convey("Each outcome leads to the expected step", t, func() {
		for _, test := range tests {
			outcome := test.outcome
			test.change(&outcome)
			SoMsg(test.name, Next(outcome), ShouldEqual, test.want)
		}
	})
	Convey("Refuse or claim so only if nothing ran, run again only if idempotent, abort or resume once started", t, func() {
		for _, sent := range []Sent{SentNothing, SentSome} {
			for _, result := range []Result{ResultAnswered, ResultFailed, ResultNotRun, ResultBroken, ResultTimeout, ResultLowConfidence} {
				for mask := range 128 {
					o := Outcome{
						Sent: sent, Result: result, Idempotent: mask&1 > 0, Resumable: mask&2 > 0,
						ResponseStarted: mask&4 > 0, EarlierMayHaveRun: mask&8 > 0, RetryAllowed: mask&16 > 0, EndpointSuspect: mask&32 > 0,
						ClaimsNotRun: mask&64 > 0,
					}
					step := Next(o)
					if step == StepRefuse {
						So(o.EarlierMayHaveRun || o.ResponseStarted || o.MayHaveRun(), ShouldBeFalse)
					}
					if step == StepReturnFailure {
						So(o.ClaimsNotRun, ShouldBeFalse)
					}
					if (step == StepRetry || step == StepEscalate) && o.MayHaveRun() {
						So(o.Idempotent, ShouldBeTrue)
					}
					if o.ResponseStarted {
						So(step, ShouldBeIn, StepDeliver, StepResume, StepAbort)
					}
				}
			}
		}
	})
}
