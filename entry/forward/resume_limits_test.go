package forward

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/share"
)

// maxCallerGap is how long callers wait for the next event of the route note: the
// longest of 2 s, four goals and eight gap goals.
const maxCallerGap = 8 * clock.Second

// Guards against holding a caller past the request's deadline because of the last
// backoff.
func TestResumeWaitEndsAtDeadline(t *testing.T) {
	for _, late := range []time.Duration{0, 100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				time.Sleep(time.Second)
				h.respond = func(n int, a *Attempt) (*Response, error) {
					if n > 1 {
						return rejected(), nil
					}
					return breakAfterEvent("1", func() error {
						time.Sleep(10*time.Second + late)
						h.dead[a.Endpoint.ID] = true
						return failWith(KindBroken)
					}), nil
				}
				began := h.clock.Mono()
				c := h.serve(t.Context(), "/note/x", nil)
				if elapsed := h.clock.Mono() - began; elapsed > 15*clock.Second {
					t.Errorf("took %d ms of 15000, %+v", elapsed, c.Result)
				}
			})
		})
	}
}

// Guards against a run at a live endpoint that does not count as an attempt, because
// the probe result of an earlier timeout, which a later event disproved, is applied to
// the next timeout.
func TestStaleProbeResultIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		time.Sleep(time.Second)
		h.respond = func(n int, a *Attempt) (*Response, error) {
			response, events := streamResponse(90, io.EOF, fmt.Sprint(2*n), fmt.Sprint(2*n+1)), 0
			next := response.Next
			response.Next = func() (Event, error) {
				switch events++; events {
				case 2: // A probe is lost, and the event arrives in the meantime.
					time.Sleep(a.EventTimeout.Duration())
					h.dead[a.Endpoint.ID] = true
					a.KeepWaiting()
					delete(h.dead, a.Endpoint.ID)
				case 3: // It accepts connections and is silent for so long that a single check ends the run.
					time.Sleep(2 * time.Second)
					if !a.KeepWaiting() {
						return Event{}, failWith(KindTimeout)
					}
				}
				return next()
			}
			return response, nil
		}
		h.serve(t.Context(), "/note/x", nil)
		if len(h.sent) > 3 {
			t.Errorf("run by %d live endpoints, of 3 attempts", len(h.sent))
		}
	})
}

// Guards against a stream that stays at a dead endpoint until its deadline because the
// run counts as its last attempt. Runs at dead endpoints do not count.
func TestLastAttemptLeavesDeadEndpoint(t *testing.T) {
	rows := []struct {
		name string
		// first responds to the first sends, as many as before says; last responds to
		// the one after them, whose endpoint dies.
		before int
		first  func(n int) (*Response, error)
		last   func(h *harness, a *Attempt) (*Response, error)
	}{
		{"in the middle, after two runs that broke at live endpoints", 2, func(n int) (*Response, error) {
			return streamResponse(90, failWith(KindBroken), fmt.Sprint(n)), nil
		}, func(h *harness, a *Attempt) (*Response, error) {
			return breakAfterEvent("8", func() error {
				h.dead[a.Endpoint.ID] = true
				return untilTimeout(a)
			}), nil
		}},
		{"before the headers, after endpoints that rejected the stream", 3, func(n int) (*Response, error) {
			if n == 1 {
				return streamResponse(90, failWith(KindBroken), "1"), nil
			}
			return rejected(), nil
		}, func(h *harness, a *Attempt) (*Response, error) {
			h.dead[a.Endpoint.ID] = true
			for waited := a.HeadTimeout; waited < a.Remaining; waited += a.HeadTimeout {
				time.Sleep(a.HeadTimeout.Duration())
				if !a.KeepWaiting() {
					return nil, failWith(KindTimeout)
				}
			}
			time.Sleep(a.Remaining.Duration())
			return nil, failWith(KindTimeout)
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				time.Sleep(time.Second)
				h.respond = func(n int, a *Attempt) (*Response, error) {
					switch {
					case n <= row.before:
						return row.first(n)
					case n == row.before+1:
						return row.last(h, a)
					}
					return streamResponse(90, io.EOF, "9"), nil
				}
				began := h.clock.Mono()
				c := h.serve(t.Context(), "/note/x", nil)
				if elapsed := h.clock.Mono() - began; c.Reason != ReasonServed || c.Abort || elapsed > maxCallerGap {
					t.Errorf("events %q, %+v, after %d ms", c.events, c.Result, elapsed)
				}
			})
		})
	}
}

// Guards against a stream that has an attempt left and stays at an endpoint that is
// alive but stuck until its caller gives up.
func TestStuckEndpointIsLeftBeforeCallerGivesUp(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		t.Run(fmt.Sprint("refuses connections: ", refuses), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				time.Sleep(time.Second)
				var lastEvent clock.Millis
				h.respond = func(n int, a *Attempt) (*Response, error) {
					switch n {
					case 1:
						return streamResponse(90, failWith(KindBroken), "1"), nil
					case 2:
						return breakAfterEvent("2", func() error {
							lastEvent = h.clock.Mono()
							h.refusing[a.Endpoint.ID] = refuses
							return untilTimeout(a)
						}), nil
					}
					return streamResponse(90, io.EOF, "3"), nil
				}
				c := h.serve(t.Context(), "/note/x", nil)
				if elapsed := h.clock.Mono() - lastEvent; c.events != "1;2;3;" || elapsed > maxCallerGap {
					t.Errorf("events %q, %+v, %d ms after the last event", c.events, c.Result, elapsed)
				}
			})
		})
	}
}

// Guards against a stream that sends to all endpoints over and over while they are
// full. Rejected attempts count against the fleet's retry budget, which other requests
// need.
func TestRejectedStreamBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		time.Sleep(time.Second)
		var brokeAt clock.Millis
		sends := 0
		h.respond = func(n int, a *Attempt) (*Response, error) {
			if n == 1 {
				return breakAfterEvent("1", func() error {
					brokeAt = h.clock.Mono()
					return failWith(KindBroken)
				}), nil
			}
			if h.clock.Mono()-brokeAt <= 4*clock.Second {
				sends++
			}
			return rejected(), nil
		}
		h.serve(t.Context(), "/note/x", nil)
		// The sends that any request may make without a backoff, and one after each
		// backoff.
		maxSends := routes[2].Attempts + extraSends
		for backoff, elapsed := minResumeBackoff, clock.Millis(0); elapsed+backoff <= 4*clock.Second; backoff = min(maxResumeBackoff, 2*backoff) {
			elapsed += backoff
			maxSends++
		}
		if sends > maxSends {
			t.Errorf("rejected %d times in 4 s, want at most %d", sends, maxSends)
		}
	})
}

// Guards against a request that runs at more live endpoints than its route's attempts
// allow, because the loss of one probe packet makes each of them pass for dead.
func TestLostProbeDoesNotGrantExtraAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		time.Sleep(time.Second)
		h.respond = func(n int, a *Attempt) (*Response, error) {
			if n > 3 {
				return streamResponse(90, io.EOF, fmt.Sprint(n)), nil
			}
			return breakAfterEvent(fmt.Sprint(n), func() error {
				time.Sleep(a.EventTimeout.Duration())
				h.dead[a.Endpoint.ID] = true
				keepWaiting := a.KeepWaiting()
				delete(h.dead, a.Endpoint.ID)
				if keepWaiting {
					return io.EOF
				}
				return failWith(KindTimeout)
			}), nil
		}
		h.serve(t.Context(), "/note/x", nil)
		if len(h.sent) > 3 {
			t.Errorf("run by %d live endpoints, of 3 attempts", len(h.sent))
		}
	})
}

// Guards against retries that are charged to the budget while their stream waits for
// room, and reach endpoints in a later window.
func TestRetryIsChargedWhenStreamResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		time.Sleep(time.Second)
		retries := -1
		h.respond = func(n int, a *Attempt) (*Response, error) {
			if n > 1 {
				// No request arrived in the window, so only this retry is charged.
				left := 0
				for h.endpoints.TakeRetry("engines") {
					left++
				}
				retries = int(h.limits.Load().RetrySlack*share.FleetShare) - left
				return streamResponse(90, io.EOF, "2"), nil
			}
			return breakAfterEvent("1", func() error {
				h.dead[a.Endpoint.ID] = true
				for i := range 12 {
					time.AfterFunc(time.Duration(i)*time.Second, func() { h.fillEndpoints(60, "") })
				}
				time.Sleep(time.Millisecond)
				return failWith(KindBroken)
			}), nil
		}
		began := h.clock.Mono()
		c := h.serve(t.Context(), "/note/x", nil)
		if elapsed := h.clock.Mono() - began; elapsed < 11*clock.Second {
			t.Fatalf("found room after %d ms", elapsed)
		}
		if retries != 1 {
			t.Errorf("%d retries charged in the window, want 1: %q, %+v", retries, c.events, c.Result)
		}
	})
}
