package forward

import (
	"context"

	"foxtailbridge/policy/attempt"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/fault"
	"foxtailbridge/policy/quarantine"
)

// handleError records an attempt that failed without a complete response.
func (t *task) handleError(ctx context.Context, r *run, outcome *attempt.Outcome, err error) {
	kind := fault.KindOf[Kind](err)
	t.logger.Info("attempt-broken", "request", t.request.ID, "endpoint", r.endpoint.ID, "kind", kind,
		"ms", int64(t.clock.Mono()-r.sentAt), "error", err)
	switch kind {
	case KindNotSent, KindRefused:
		t.sends--
		t.unsent++
		outcome.Sent = attempt.SentNothing
		outcome.Result = attempt.ResultBroken
		t.markUnreachable(r.state, kind)
	case KindWithdrawn:
		t.sends--
		t.unsent++
		outcome.Sent = attempt.SentNothing
		outcome.Result = attempt.ResultBroken
	case KindTimeout:
		t.countRun()
		outcome.Result = attempt.ResultTimeout
		if r.dead || t.endpoints.LastActivity(r.state) < r.sentAt {
			t.markUnreachable(r.state, kind)
		}
		if r.dead && t.probe(context.WithoutCancel(ctx), r.endpoint) == KindNotSent {
			t.runs-- // A dead endpoint does not count; see checkAlive.
		}
		r.recordOutcome(true)
	case KindCanceled, KindNoRoom: // Neither says anything of the endpoint.
		t.countRun()
		outcome.Result = attempt.ResultTimeout
	default:
		t.countRun()
		outcome.Result = attempt.ResultBroken
		r.recordOutcome(true)
		if !t.checkAlive(ctx, r) {
			t.runs--
		}
	}
	outcome.RetryAllowed = t.canRetry(outcome)
}

// checkAlive probes whether an endpoint survived a broken attempt. If it died before the
// response's first event, the request is reported as a suspected cause of the crash: an
// endpoint sends the headers when it begins to run a request. Runs at endpoints that died
// do not count towards the route's attempts.
func (t *task) checkAlive(ctx context.Context, r *run) bool {
	e := r.endpoint
	if t.probe(context.WithoutCancel(ctx), e) == "" {
		return true
	}
	t.markUnreachable(r.state, KindBroken)
	if r.streamed {
		return false
	}
	if t.digest != "" {
		t.deps.Relay.ReportSuspicion(quarantine.Suspicion{Digest: t.digest, Crash: crashID(e)})
	}
	if r.response != nil { // Before its headers the request may merely have waited for a slot.
		t.deps.Relay.ReportPartCrash(t.sharedParts(), crashID(e))
	}
	return false
}

// crashID identifies the crash of an endpoint; the same endpoint started again has another.
func crashID(e *catalog.Endpoint) quarantine.CrashID {
	return quarantine.CrashID(string(e.ID) + "/" + e.StartedAt.Time().Format("150405.000"))
}
