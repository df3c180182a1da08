package forward

import (
	"context"
	"errors"
	"io"

	"foxtailbridge/policy/attempt"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
)

// deliver sends a response to the caller; a stream that breaks may resume at another
// endpoint.
func (t *task) deliver(ctx context.Context, r *run) (Result, bool) {
	response := r.response
	t.pinSession(r, t.deadline)
	if t.firstByteAt == 0 {
		t.firstByteAt = t.clock.Mono()
	}
	if response.Next == nil {
		r.recordOutcome(false)
		r.finish()
		if t.digest != "" {
			t.deps.Relay.ClearSuspicion(t.digest)
		}
		return Result{Status: response.Status, Header: response.Header, Body: response.Body, Reason: ReasonServed}, true
	}
	err := t.streamEvents(response, r)
	t.pinSession(r, t.clock.Mono())
	if err == nil {
		r.recordOutcome(false)
		r.close()
		t.deps.Relay.ClearParts(t.sharedParts())
		if t.digest != "" {
			t.deps.Relay.ClearSuspicion(t.digest)
		}
		return Result{Reason: ReasonServed}, true
	}
	r.close()
	if errors.Is(err, errCallerWrite) {
		return t.callerDisconnected(), true
	}
	if ctx.Err() != nil {
		return t.canceled(ctx), true
	}
	resumable := t.route.Resumable && fault.KindOf[Kind](err) != KindOverrun
	outcome := attempt.Outcome{Sent: attempt.SentSome, Idempotent: t.retryable(), Resumable: resumable, ResponseStarted: t.headSent, EarlierMayHaveRun: true}
	t.runs-- // handleError counts it again.
	t.handleError(ctx, r, &outcome, err)
	return t.handleOutcome(ctx, outcome, r)
}

// pinSession pins the request's session to the release that serves it. The response
// ends, or is expected to end, at until.
func (t *task) pinSession(r *run, until clock.Millis) {
	if t.request.Session == "" {
		return
	}
	p := t.releases.progressOf(t.deps.Registry.View(), t.service.Name)
	t.releases.pinSession(t.request.Session, r.endpoint.Release, until, p)
}

// errCallerWrite marks a failed write to the caller.
var errCallerWrite = errors.New("write to the caller failed")

// sendHead sends the headers of a stream, together with its first event or its end.
// Before that the caller has seen nothing, so any other response may still be sent.
// From then on the stream may only resume on the same release and weights.
func (t *task) sendHead(r *run) {
	if t.headSent {
		return
	}
	t.headSent = true
	t.boundRelease = r.endpoint.Release
	t.weightsVersion = r.response.WeightsVersion
	t.writer.WriteHeader(r.response.Status, r.response.Header)
}

// streamEvents writes events to the caller as they arrive, until the stream's regular
// end.
func (t *task) streamEvents(response *Response, r *run) error {
	start, events := t.clock.Mono(), 0
	last := start
	defer func() {
		t.countPace(r, t.clock.Mono()-start, events)
		if t.arm != ArmNew {
			t.paces.Record(r.model, t.clock.Mono()-start, events)
		}
	}()
	for {
		event, err := response.Next()
		if errors.Is(err, io.EOF) {
			t.sendHead(r)
			return nil
		}
		if err != nil {
			return err
		}
		t.sendHead(r)
		events++
		now := t.clock.Mono()
		t.longestEventGap = max(t.longestEventGap, now-last)
		last = now
		if !r.streamed {
			r.countBeforeLoad(true)
		}
		r.lastEventAt, r.streamed = now, true
		if events == paceSampleEvents {
			t.countPace(r, now-start, events)
		}
		if !r.slow && t.isSlowStream(r, now-start, events) {
			// A long stream is counted now, as its end would come too late to stop a
			// release.
			r.slow = true
			t.logger.Info("stream-slow", "request", t.request.ID, "endpoint", r.endpoint.ID, "arm", t.arm, "model", r.model,
				"pace-ms", int64(now-start)/int64(max(1, events-1)), "usual-ms", int64(t.paces.Mean(r.model)), "events", events)
			r.recordOutcome(false)
			t.countPace(r, now-start, max(events, minPaceEvents))
		}
		t.endpoints.RecordActivity(r.state)
		if err := t.writer.WriteEvent(event.Raw); err != nil {
			return errCallerWrite
		}
		if event.ID != "" {
			t.lastEventID = event.ID
		}
	}
}
