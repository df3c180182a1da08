package forward

import (
	"context"
	"errors"
	"io"

	"foxtailbridge/policy/attempt"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
)

// deliver hands an answer to the caller; a stream that breaks may go on elsewhere.
func (t *task) deliver(ctx context.Context, r *run) (Result, bool) {
	answer := r.answer
	t.remember(r, t.deadline)
	if t.firstAt == 0 {
		t.firstAt = t.clock.Mono()
	}
	if answer.Next == nil {
		r.rate(false)
		r.end()
		if t.digest != "" {
			t.parts.Relay.ClearSuspicion(t.digest)
		}
		return Result{Status: answer.Status, Header: answer.Header, Body: answer.Body, Reason: ReasonServed}, true
	}
	err := t.pump(answer, r)
	t.remember(r, t.clock.Mono())
	if err == nil {
		r.rate(false)
		r.close()
		if t.digest != "" {
			t.parts.Relay.ClearSuspicion(t.digest)
		}
		return Result{Reason: ReasonServed}, true
	}
	r.close()
	if ctx.Err() != nil || errors.Is(err, errCaller) {
		return t.gone(), true
	}
	resumable := t.route.Resumable && fault.KindOf[Kind](err) != KindOverrun
	end := attempt.Outcome{Sent: attempt.SentSome, Idempotent: t.repeatable(), Resumable: resumable, ResponseStarted: t.begun, EarlierMayHaveRun: true}
	t.runs-- // broken counts it again
	t.broken(ctx, r, &end, err)
	return t.follow(ctx, end, r)
}

// remember pins the request's session to the release that answers it until ends.
func (t *task) remember(r *run, ends clock.Millis) {
	if t.request.Session == "" {
		return
	}
	p := t.releases.orderOf(t.parts.Registry.View(), t.service.Name)
	t.releases.remember(t.request.Session, r.endpoint.Release, ends, p)
}

// errCaller marks a failed write to the caller.
var errCaller = errors.New("the caller does not take the answer")

// begin sends the head of a stream, with its first event or its end: until then the
// caller has seen nothing, and any other answer may follow. It binds what goes on with
// the stream to the release that began it.
func (t *task) begin(r *run) {
	if t.begun {
		return
	}
	t.begun = true
	t.release = r.endpoint.Release
	t.weights = r.answer.WeightsVersion
	t.reply.WriteHeader(r.answer.Status, r.answer.Header)
}

// pump passes events on as they come until the stream's proper end.
func (t *task) pump(answer *Response, r *run) error {
	began, events := t.clock.Mono(), 0
	last := began
	defer func() {
		t.comparePace(r, t.clock.Mono()-began, events)
		if t.arm != ArmNew {
			t.endpoints.paced(r.key.model, t.clock.Mono()-began, events)
		}
	}()
	for {
		event, err := answer.Next()
		if errors.Is(err, io.EOF) {
			t.begin(r)
			return nil
		}
		if err != nil {
			return err
		}
		t.begin(r)
		events++
		now := t.clock.Mono()
		t.pause = max(t.pause, now-last)
		last = now
		r.eventAt = now
		if events == compareEvents {
			t.comparePace(r, now-began, events)
		}
		if !r.slow && t.slowStream(r, now-began, events) {
			// A long stream is counted now: its end is too late to stop a release.
			r.slow = true
			t.logger.Info("stream-slow", "request", t.request.ID, "endpoint", r.endpoint.ID, "arm", t.arm, "model", r.key.model,
				"pace-ms", int64(now-began)/int64(max(1, events-1)), "usual-ms", int64(t.endpoints.pause(r.key.model)), "events", events)
			r.rate(false)
			t.comparePace(r, now-began, max(events, paceEvents))
		}
		t.endpoints.touched(r.state)
		if err := t.reply.WriteEvent(event.Raw); err != nil {
			return errCaller
		}
		if event.ID != "" {
			t.after = event.ID
		}
	}
}
