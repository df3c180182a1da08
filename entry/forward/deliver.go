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
	response := r.response
	t.pinSession(r, t.deadline)
	if t.firstByteAt == 0 {
		t.firstByteAt = t.clock.Mono()
	}
	if response.Next == nil {
		r.recordOutcome(false)
		r.finish()
		if t.digest != "" {
			t.parts.Relay.Clear(t.digest)
		}
		return Result{Status: response.Status, Header: response.Header, Body: response.Body, Reason: ReasonServed}, true
	}
	err := t.streamEvents(response, r)
	t.pinSession(r, t.clock.Mono())
	if err == nil {
		r.recordOutcome(false)
		r.close()
		if t.digest != "" {
			t.parts.Relay.Clear(t.digest)
		}
		return Result{Reason: ReasonServed}, true
	}
	r.close()
	if ctx.Err() != nil || errors.Is(err, errCallerWrite) {
		return t.callerGone(), true
	}
	resumable := t.route.Resumable && fault.KindOf[Kind](err) != KindOverrun
	outcome := attempt.End{Sent: attempt.SentSome, Repeatable: t.repeatable(), Resumable: resumable, Begun: t.headSent, RanBefore: true}
	t.runs-- // broken counts it again
	t.handleError(ctx, r, &outcome, err)
	return t.handleOutcome(ctx, outcome, r)
}

// pinSession pins the request's session to the release that answers it until ends.
func (t *task) pinSession(r *run, until clock.Millis) {
	if t.request.Session == "" {
		return
	}
	p := t.releases.progressOf(t.parts.Registry.View(), t.service.Name)
	t.releases.pinSession(t.request.Session, r.endpoint.Release, until, p)
}

// errCallerWrite marks a failed write to the caller.
var errCallerWrite = errors.New("the caller does not take the answer")

// sendHead sends the head of a stream, with its first event or its end: until then the
// caller has seen nothing, and any other answer may follow. It binds what goes on with
// the stream to the release that began it.
func (t *task) sendHead(r *run) {
	if t.headSent {
		return
	}
	t.headSent = true
	t.boundRelease = r.endpoint.Release
	t.weightsVersion = r.response.WeightsVersion
	t.writer.WriteHeader(r.response.Status, r.response.Header)
}

// streamEvents passes events on as they come until the stream's proper end.
func (t *task) streamEvents(response *Response, r *run) error {
	start, events := t.clock.Mono(), 0
	last := start
	defer func() {
		t.countPace(r, t.clock.Mono()-start, events)
		if t.arm != ArmNew {
			t.endpoints.recordPace(r.key.model, t.clock.Mono()-start, events)
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
		r.lastEventAt = now
		if events == paceSampleEvents {
			t.countPace(r, now-start, events)
		}
		if !r.slow && t.isSlowStream(r, now-start, events) {
			// A long stream is counted now: its end is too late to stop a release.
			r.slow = true
			t.logger.Info("stream-slow", "request", t.request.ID, "endpoint", r.endpoint.ID, "arm", t.arm, "model", r.key.model,
				"pace-ms", int64(now-start)/int64(max(1, events-1)), "usual-ms", int64(t.endpoints.meanPace(r.key.model)), "events", events)
			r.recordOutcome(false)
			t.countPace(r, now-start, max(events, minPaceEvents))
		}
		t.endpoints.recordActivity(r.state)
		if err := t.writer.WriteEvent(event.Raw); err != nil {
			return errCallerWrite
		}
		if event.ID != "" {
			t.lastEventID = event.ID
		}
	}
}
