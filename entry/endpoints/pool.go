package endpoints

import (
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
)

// pool holds what this instance knows about one service's endpoints.
type pool struct {
	states []*placement.State
	// failures is the moving share of failed runs over all endpoints.
	failures placement.MovingAverage
	retries  retryBudget
	times    runTimes
	// prompts are the sizes of the prompts that this instance has sent.
	prompts placement.PromptSizes
	use     slotUse
	speed   serviceSpeed
}

const (
	// failureWindow is how many runs the share of failed runs of a pool covers.
	failureWindow = 200
	// An endpoint counts as failing too often if its share of failures exceeds twice its
	// pool's by minExcessFailures, over at least minExcessRuns runs.
	minExcessFailures = 0.2
	minExcessRuns     = 5
)

// addOutcome counts a run for its endpoint and the pool.
func (p *pool) addOutcome(s *placement.State, failed bool) {
	value := outcomeValue(failed)
	s.FailureRate.Add(value)
	updateAverage(&p.failures, value, failureWindow)
	s.ExcessFailureRate = 0
	if s.FailureRate.Count >= minExcessRuns {
		s.ExcessFailureRate = max(0, s.FailureRate.Mean-2*p.failures.Mean-minExcessFailures)
	}
}

// runTimes holds the mean times of a service's runs.
type runTimes struct {
	// all is the mean time of a run in milliseconds. packable is the same with the time of
	// runs that may not be packed taken as 0.
	all, packable placement.MovingAverage
	// tokens is the mean product of a run's time and its number of tokens.
	tokens placement.MovingAverage
}

const (
	// runTimeWindow is how many runs the mean times cover.
	runTimeWindow = 200
	// assumedPackableShare is the packable share before any run has ended.
	assumedPackableShare = 0.6
	// assumedRunTime is the mean time of a run before any has ended.
	assumedRunTime = 500 * clock.Millis(1)
)

// add counts the time of a run that has ended.
func (r *runTimes) add(took clock.Millis, packable bool, tokens int) {
	updateAverage(&r.all, float64(took), runTimeWindow)
	updateAverage(&r.tokens, float64(took)*float64(tokens), runTimeWindow)
	if !packable {
		took = 0
	}
	updateAverage(&r.packable, float64(took), runTimeWindow)
}

// mean returns the mean time of a run.
func (r *runTimes) mean() clock.Millis {
	if r.all.Count == 0 {
		return assumedRunTime
	}
	return clock.Millis(r.all.Mean)
}

// meanTokens returns the mean number of tokens of the requests in flight, or 0: long requests are
// in flight for longer.
func (r *runTimes) meanTokens() float64 {
	if r.all.Mean <= 0 {
		return 0
	}
	return r.tokens.Mean / r.all.Mean
}

// packableShare returns the share of the in-flight requests that may be packed.
func (r *runTimes) packableShare() float64 {
	if r.all.Mean <= 0 {
		return assumedPackableShare
	}
	return r.packable.Mean / r.all.Mean
}
