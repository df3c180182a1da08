package forward

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"foxtailbridge/entry/endpoints"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/loadlist"
	"foxtailbridge/policy/ticket"
)

// TestWait guards against a request that is refused though a place comes free a moment later, or that
// waits on after its caller has disconnected or the instance stops. A request that is refused has
// not been sent.
func TestWait(t *testing.T) {
	rows := []struct {
		name string
		// inFlight is the load of each endpoint of 15.7 places for a request of this rank.
		inFlight int
		// after is what happens 120 ms after the request came.
		after  func(h *harness, cancel context.CancelCauseFunc)
		reason Reason
		status int
		// atLeast and atMost bound the time until the response.
		atLeast, atMost clock.Millis
		end             string
	}{
		{"free endpoints: not held", 10, func(*harness, context.CancelCauseFunc) {}, ReasonServed, 200, 100, 100, ""},
		{"a place comes free", 16, func(h *harness, _ context.CancelCauseFunc) { h.setPeers(10, nil) }, ReasonServed, 200, 220, 320, "released"},
		{"none comes free", 16, func(*harness, context.CancelCauseFunc) {}, ReasonEndpointsFull, 503, 300, 500, "too-late"},
		{"the caller disconnects", 16, func(_ *harness, cancel context.CancelCauseFunc) { cancel(nil) }, ReasonCallerGone, 0, 120, 120, "canceled"},
		{"the instance stops", 16, func(h *harness, _ context.CancelCauseFunc) { h.StopQueues() }, ReasonShutdown, 503, 120, 120, "stopped"},
		{"the instance answers what waits", 16, func(_ *harness, cancel context.CancelCauseFunc) { cancel(ErrShutdown) }, ReasonShutdown, 503, 120, 120, "canceled"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, log := newFairHarness(t)
				h.setPeers(row.inFlight, loadlist.Sum{})
				ctx, cancel := context.WithCancelCause(context.Background())
				defer cancel(nil)
				defer time.AfterFunc(120*time.Millisecond, func() { row.after(h, cancel) }).Stop()
				start := h.clock.Mono()
				got := h.serve(ctx, "/safe/x", nil)
				took := h.clock.Mono() - start
				if got.Status != row.status || got.Reason != row.reason || took < row.atLeast || took > row.atMost {
					t.Errorf("status %d, %s after %d ms", got.Status, got.Reason, took)
				}
				if served := got.Status == http.StatusOK; served != (len(h.sent) == 1) || !served && len(h.sent) > 0 {
					t.Errorf("%d sent", len(h.sent))
				}
				if n := h.fairness.waiting(); n > 0 {
					t.Errorf("%d still waiting", n)
				}
				if line := log.String()[strings.LastIndex(log.String(), " request:"):]; strings.Contains(line, "wait=") != (row.end != "") || !strings.Contains(line, row.end) {
					t.Errorf("log line %s", line)
				}
			})
		})
	}
}

// TestNoWaitDuringStop guards against requests that wait at an instance that stops.
func TestNoWaitDuringStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := newFairHarness(t)
		h.setPeers(16, loadlist.Sum{})
		h.StopQueues()
		start := h.clock.Mono()
		if got := h.ask(1); got.Reason != ReasonEndpointsFull || h.clock.Mono() > start {
			t.Errorf("%s after %d ms", got.Reason, h.clock.Mono()-start)
		}
	})
}

// TestWaitBesideOneInBackoff guards against requests that are refused at once while endpoints are
// full, because one endpoint, wherever in the list, is out for another reason.
func TestWaitBesideOneInBackoff(t *testing.T) {
	for i := range 4 {
		synctest.Test(t, func(t *testing.T) {
			h, _ := newFairHarness(t)
			h.setPeers(16, nil)
			out := h.endpoints.ProbeTargets(h.registry.View(), []ticket.ServiceName{"plain"}, 2*i+1)[0]
			for range 4 {
				h.endpoints.MarkUnreachable(out.State, endpoints.ContactRefused, "test")
			}
			defer time.AfterFunc(120*time.Millisecond, func() { h.setPeers(10, nil) }).Stop()
			if got := h.serve(t.Context(), "/safe/x", nil); got.Status != http.StatusOK {
				t.Errorf("%s in backoff: status %d, %s", out.Endpoint.ID, got.Status, got.Reason)
			}
		})
	}
}
