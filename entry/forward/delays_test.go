package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"foxtailbridge/entry/endpoints"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/evidence"
	"foxtailbridge/policy/placement"
)

// startPlainOrder runs enough plain requests on the old release to know their usual delay,
// and starts an order of 24 s.
func (h *harness) startPlainOrder(ctx context.Context) *catalog.Order {
	h.serve(ctx, "/once/x", nil) // The endpoints are first seen here.
	time.Sleep(warmupSpan.Duration())
	for range 2 * endpoints.MinBaselineRuns {
		h.serve(ctx, "/once/x", nil)
	}
	order := h.orderOf("plain", 5, 24*clock.Second)
	h.serve(ctx, "/once/x", nil) // Starts the order's time.
	return order
}

// Guards against a release that takes several times as long for short plain responses
// and is never found slow, because a fixed margin exceeds all that it adds.
func TestSlowPlainReleaseIsCounted(t *testing.T) {
	rows := []struct {
		name         string
		usual, delay time.Duration
		load         *placement.Load
		wantBad      int64
	}{
		{"eight times as long, just above the goal", 15 * time.Millisecond, 120 * time.Millisecond, nil, 1},
		{"eight times as long, within the goal", 8 * time.Millisecond, 64 * time.Millisecond, nil, 1},
		{"four times as long", 20 * time.Millisecond, 80 * time.Millisecond, nil, 1},
		{"twice as long", 15 * time.Millisecond, 30 * time.Millisecond, nil, 0},
		{"a few milliseconds more", 2 * time.Millisecond, 12 * time.Millisecond, nil, 0},
		{"waited for a slot as long as twelve requests before it take", 15 * time.Millisecond, 100 * time.Millisecond, &placement.Load{Running: 6, Waiting: 12, Slots: 6}, 0},
		{"eight times as long behind such a queue", 15 * time.Millisecond, 360 * time.Millisecond, &placement.Load{Running: 6, Waiting: 12, Slots: 6}, 1},
		{"an odd load report", 15 * time.Millisecond, 120 * time.Millisecond, &placement.Load{Running: 6, Waiting: -4, Slots: 0}, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				delay, load := row.usual, (*placement.Load)(nil)
				h.respond = func(int, *Attempt) (*Response, error) {
					time.Sleep(delay)
					r := plainResponse(200)
					r.Load = load
					return r, nil
				}
				order := h.startPlainOrder(t.Context())
				time.Sleep(12 * time.Second)
				delay, load = row.delay, row.load
				h.serve(t.Context(), "/once/x", func(r *Request) { r.Session = canarySession(order) })
				got := h.relay.Sum(Series(order, DelayOn("once"), evidence.ArmTo))
				if got.Rated() != 1 || got.Bad != row.wantBad {
					t.Errorf("%+v counted, want %d bad of 1", got, row.wantBad)
				}
				if old := h.relay.Sum(Series(order, DelayOn("once"), evidence.ArmFrom)); old.Good != 1 {
					t.Errorf("%+v counted for the old release, want 1 good to compare with", old)
				}
			})
		})
	}
}

// Guards against a slow release of a plain service whose responses are dropped as evidence
// once the canary is over, when nearly all of them are given.
func TestSlowPlainReleaseIsCountedPastCanary(t *testing.T) {
	rows := []struct {
		name      string
		delay     time.Duration
		good, bad int64
	}{
		{"usual", 15 * time.Millisecond, 1, 0},
		{"eight times as long", 120 * time.Millisecond, 0, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				delay := 15 * time.Millisecond
				h.respond = func(int, *Attempt) (*Response, error) { time.Sleep(delay); return plainResponse(200), nil }
				order := h.startPlainOrder(t.Context())
				time.Sleep(19 * time.Second)
				delay = row.delay
				h.serve(t.Context(), "/once/x", nil)
				got := h.relay.Sum(Series(order, DelayOn("once"), evidence.ArmTo))
				if got.Good != row.good || got.Bad != row.bad {
					t.Errorf("%+v counted, want %d good and %d bad", got, row.good, row.bad)
				}
			})
		})
	}
}
