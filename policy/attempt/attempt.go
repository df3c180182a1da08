package attempt

// Sent says how much of a request left this machine.
type Sent string

// Degrees of sending.
const (
	// SentNothing means that the endpoint cannot have seen the request.
	SentNothing Sent = "nothing"
	// SentSome means that the endpoint may have read all of it.
	SentSome Sent = "some"
)

// Result says what came back of an attempt.
type Result string

// Results of an attempt.
const (
	// ResultAnswered is a whole answer of success.
	ResultAnswered Result = "answered"
	// ResultFailed is the endpoint's own whole answer of failure after a run.
	ResultFailed Result = "failed"
	// ResultNotRun is the endpoint's word that it did not run the request.
	ResultNotRun Result = "not-run"
	// ResultBroken is an answer that ended early or was no answer.
	ResultBroken Result = "broken"
	// ResultSilent means that nothing came in time.
	ResultSilent Result = "silent"
	// ResultUnsure is a whole answer whose confidence is too low.
	ResultUnsure Result = "unsure"
)

// Step is what to do next.
type Step string

// Steps after an attempt.
const (
	StepDeliver Step = "deliver"
	StepRepeat  Step = "repeat"
	// StepEscalate repeats on a larger model.
	StepEscalate Step = "escalate"
	// StepResume goes on behind the last whole event.
	StepResume Step = "resume"
	// StepRefuse ends with the promise that the request has not run.
	StepRefuse Step = "refuse"
	// StepPass hands the endpoint's own failure to the caller.
	StepPass Step = "pass"
	// StepFail ends without any promise.
	StepFail Step = "fail"
	// StepCut breaks off an answer that has begun, so that it cannot look whole.
	StepCut Step = "cut"
)

// End describes one ended attempt and what is left.
type End struct {
	Sent   Sent
	Result Result
	// Repeatable is true if the request may run more than once.
	Repeatable bool
	// Resumable is true if its stream may go on elsewhere.
	Resumable bool
	// Begun is true once the caller has received a part of the answer.
	Begun bool
	// RanBefore is true if an earlier attempt may have run.
	RanBefore bool
	// Another is true if attempts, time and budget allow one more run.
	Another bool
	// Doubtful is true if the endpoint fails more often than its peers, so
	// that its failure says little about the request.
	Doubtful bool
}

// Ran reports whether the attempt may have run the request.
func (e End) Ran() bool {
	return e.Sent != SentNothing && e.Result != ResultNotRun
}

// Next returns the step that follows.
func Next(e End) Step {
	if e.Begun {
		return e.nextBegun()
	}
	switch {
	case e.Result == ResultAnswered:
		return StepDeliver
	case e.Result == ResultUnsure && e.Another && e.Repeatable:
		return StepEscalate
	case e.Result == ResultUnsure:
		return StepDeliver
	case !e.Ran() && e.Another:
		return StepRepeat
	case !e.Ran() && !e.RanBefore:
		return StepRefuse
	case !e.Ran():
		return StepFail
	case e.Result == ResultFailed && !(e.Doubtful && e.Repeatable && e.Another):
		return StepPass
	case e.Repeatable && e.Another:
		return StepRepeat
	}
	return StepFail
}

func (e End) nextBegun() Step {
	switch {
	case e.Result == ResultAnswered:
		return StepDeliver
	case e.Resumable && e.Another:
		return StepResume
	}
	return StepCut
}
