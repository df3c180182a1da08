package forward

import (
	"context"

	"foxtailbridge/policy/attempt"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
)

func (t *task) outgoing(ctx context.Context, r *run) *Attempt {
	left := t.deadline - t.clock.Mono()
	a := &Attempt{
		Request: t.request, Endpoint: r.endpoint, Workspace: t.workspace, Rank: t.rank, Model: t.model,
		Remaining: left, HeadTimeout: left, LastEventID: t.after, WeightsVersion: t.weights, Stream: t.route.Stream,
		EventTimeout: t.gap(), AtMostOnce: !t.repeatable(),
	}
	if t.repeatable() && (t.begun || t.sends <= t.route.Attempts-1) {
		a.HeadTimeout = min(left, t.patience())
	}
	r.patience = a.HeadTimeout
	a.KeepWaiting = func() bool { return r.waits(ctx) }
	return a
}

// waits decides whether silence is waited out. An engine that answers others is
// busy with long prompts, not dead; and without another place there is no use in
// giving one up, or in ending an answer, while the endpoint lives.
func (r *run) waits(ctx context.Context) bool {
	t := r.task
	end := attempt.Outcome{Sent: attempt.SentSome}
	denied, wasDead := t.denial(&end), r.dead
	r.dead = false
	// A begun stream without attempts may still leave an endpoint that died.
	last := t.begun && denied == DenialAttempts
	if !t.repeatable() || denied != "" && !last || !t.endpoints.hasRetry(t.service.Name) {
		return true
	}
	now := t.clock.Mono()
	since, patience, limit := r.sentAt, r.patience, t.limit(r.patience)
	if r.eventAt > 0 {
		since, patience, limit = r.eventAt, t.gap(), clock.Millis(pauseGaps*float64(t.route.GapGoal))
	}
	heard, waits := now-t.endpoints.lastHeard(r.state), false
	if now-since < limit || !t.spare(now-since) || !t.elsewhere(ctx) {
		// An endpoint that leaves refuses channels and finishes what it runs; had it
		// ended, its machine would have closed this one, too.
		r.dead = heard >= patience && t.probe(ctx, r.endpoint) == KindNotSent
		waits = !r.dead || last && !wasDead // One lost probe must not end the last attempt.
	}
	if !waits {
		t.logger.Info("silence", "request", t.request.ID, "endpoint", r.endpoint.ID, "quiet-ms", int64(now-since),
			"limit-ms", int64(limit), "heard-ms", int64(heard), "patience-ms", int64(patience), "begun", t.begun, "dead", r.dead)
	}
	return waits
}

// spare reports whether the request may leave an endpoint that lives and has been silent
// for so long. A begun stream keeps its last attempt for one that dies, while it can.
func (t *task) spare(rest clock.Millis) bool {
	if !t.begun || t.runs+1 < t.route.Attempts {
		return true
	}
	return t.runs < t.route.Attempts && rest >= clock.Millis(lastGaps*float64(t.route.GapGoal))
}

// elsewhere reports whether another endpoint has room for the request now, and accepts
// it: the entry of one that leaves may say otherwise for a while.
func (t *task) elsewhere(ctx context.Context) bool {
	q, next := t.query()
	choice := t.endpoints.peek(next.view, t.service, q)
	if choice.State == nil {
		return false
	}
	why := t.probe(ctx, choice.Endpoint)
	if why != "" && ctx.Err() == nil {
		t.endpoints.lost(choice.State, why)
	}
	return why == ""
}

const (
	// slowRead is the prompt tokens that a busy engine reads in a millisecond.
	slowRead = 8
	// limitGoals is how many goals an answer's head may take at an engine that
	// answers others, limitUsual how many times the usual: beyond that the answer
	// is more likely lost than late.
	limitGoals = 1.3
	limitUsual = 5.0
)

// limit is the longest wait for an answer's head at an engine that answers others, and
// at a plain endpoint, while another has room.
func (t *task) limit(patience clock.Millis) clock.Millis {
	if t.service.Engine == nil {
		return patience
	}
	read := clock.Millis(placement.Tokens(t.request.PromptParts) / slowRead)
	limit := clock.Millis(limitGoals*float64(t.route.FirstByteGoal)) + read
	if usual := float64(t.endpoints.expected(delayKey{t.route.Name, t.model})); usual > 0 {
		limit = min(limit, clock.Millis(limitUsual*usual*max(1, t.relativeRead())))
	}
	return max(patience, limit)
}

const (
	// silenceGoals is how many goals an answer's head may take before a
	// repeatable request is sent elsewhere.
	silenceGoals = 0.4
	// plainSilenceGoals is the same for plain requests, whose goal is short.
	plainSilenceGoals = 2.5
	// gapGoals is the part of the longest pause after which a stream goes on
	// elsewhere if its engine is silent, pauseGaps how many such pauses it may
	// rest at an engine that answers others, and lastGaps how many before it leaves
	// that with its last attempt: callers leave after eight.
	gapGoals  = 0.45
	pauseGaps = 1.6
	lastGaps  = 6.0
)

// patience is how long a repeatable request waits for an answer's head.
func (t *task) patience() clock.Millis {
	goals := plainSilenceGoals
	if t.route.Stream {
		goals = silenceGoals
	}
	usual := t.endpoints.expected(delayKey{t.route.Name, t.model})
	return max(clock.Millis(goals*float64(t.route.FirstByteGoal)), 4*usual)
}

func (t *task) gap() clock.Millis {
	if t.route.GapGoal == 0 || !t.route.Resumable {
		return t.route.Timeout
	}
	return clock.Millis(gapGoals * float64(t.route.GapGoal))
}
