package forward

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"foxtailbridge/policy/clock"
)

// callerGap is how long callers wait for the next event of the route note: the longest of
// 2 s, four goals and eight gap goals.
const callerGap = 8 * clock.Second

// Guards against a caller that is held beyond its request's time by the last wait for a
// place.
func TestWaitForAPlaceEndsWithTheTime(t *testing.T) {
	for _, late := range []time.Duration{0, 100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench()
				time.Sleep(time.Second)
				b.answer = func(n int, a *Attempt) (*Response, error) {
					if n > 1 {
						return turnedAway(), nil
					}
					return breaking("1", func() error {
						time.Sleep(10*time.Second + late)
						b.dead[a.Endpoint.ID] = true
						return failure(KindBroken)
					}), nil
				}
				began := b.clock.Mono()
				c := b.serve(t.Context(), "/note/x", nil)
				if span := b.clock.Mono() - began; span > 15*clock.Second {
					t.Errorf("held for %d ms of 15000, %+v", span, c.Result)
				}
			})
		})
	}
}

// Guards against a run that does not count for the attempts although its endpoint lives:
// a verdict of an earlier silence, which an event has refuted, is applied to a later one.
func TestRefutedVerdictDoesNotStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		time.Sleep(time.Second)
		b.answer = func(n int, a *Attempt) (*Response, error) {
			answer, events := stream(90, io.EOF, fmt.Sprint(2*n), fmt.Sprint(2*n+1)), 0
			next := answer.Next
			answer.Next = func() (Event, error) {
				switch events++; events {
				case 2: // A probe is lost, and the event comes meanwhile.
					time.Sleep(a.EventTimeout.Duration())
					b.dead[a.Endpoint.ID] = true
					a.KeepWaiting()
					delete(b.dead, a.Endpoint.ID)
				case 3: // It accepts channels and rests for too long, as is seen in one look.
					time.Sleep(2 * time.Second)
					if !a.KeepWaiting() {
						return Event{}, failure(KindTimeout)
					}
				}
				return next()
			}
			return answer, nil
		}
		b.serve(t.Context(), "/note/x", nil)
		if len(b.sent) > 3 {
			t.Errorf("run by %d endpoints that live, of 3 attempts", len(b.sent))
		}
	})
}

// Guards against a stream that waits out its time at an endpoint that died, since the
// run counts as its last one: such an endpoint does not count.
func TestDeadEndpointOfTheLastRunIsLeft(t *testing.T) {
	rows := []struct {
		name string
		// answer scripts the sends behind the first, which dies after an event; over is
		// true for the one that goes on to the end.
		before int
		first  func(n int) (*Response, error)
		last   func(b *bench, a *Attempt) (*Response, error)
	}{
		{"in the middle, after two runs that living endpoints broke off", 2, func(n int) (*Response, error) {
			return stream(90, failure(KindBroken), fmt.Sprint(n)), nil
		}, func(b *bench, a *Attempt) (*Response, error) {
			return breaking("8", func() error {
				b.dead[a.Endpoint.ID] = true
				return silent(a)
			}), nil
		}},
		{"before its head, after endpoints that turned the stream away", 3, func(n int) (*Response, error) {
			if n == 1 {
				return stream(90, failure(KindBroken), "1"), nil
			}
			return turnedAway(), nil
		}, func(b *bench, a *Attempt) (*Response, error) {
			b.dead[a.Endpoint.ID] = true
			for span := a.HeadTimeout; span < a.Remaining; span += a.HeadTimeout {
				time.Sleep(a.HeadTimeout.Duration())
				if !a.KeepWaiting() {
					return nil, failure(KindTimeout)
				}
			}
			time.Sleep(a.Remaining.Duration())
			return nil, failure(KindTimeout)
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench()
				time.Sleep(time.Second)
				b.answer = func(n int, a *Attempt) (*Response, error) {
					switch {
					case n <= row.before:
						return row.first(n)
					case n == row.before+1:
						return row.last(b, a)
					}
					return stream(90, io.EOF, "9"), nil
				}
				began := b.clock.Mono()
				c := b.serve(t.Context(), "/note/x", nil)
				if span := b.clock.Mono() - began; c.Reason != ReasonServed || c.Abort || span > callerGap {
					t.Errorf("events %q, %+v, after %d ms", c.events, c.Result, span)
				}
			})
		})
	}
}

// Guards against a stream that stays at an endpoint that lives and never speaks again,
// with an attempt left, until its caller has given up.
func TestStuckEndpointIsLeftInTime(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		t.Run(fmt.Sprint("refuses channels: ", refuses), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench()
				time.Sleep(time.Second)
				var heard clock.Millis
				b.answer = func(n int, a *Attempt) (*Response, error) {
					switch n {
					case 1:
						return stream(90, failure(KindBroken), "1"), nil
					case 2:
						return breaking("2", func() error {
							heard = b.clock.Mono()
							b.refusing[a.Endpoint.ID] = refuses
							return silent(a)
						}), nil
					}
					return stream(90, io.EOF, "3"), nil
				}
				c := b.serve(t.Context(), "/note/x", nil)
				if span := b.clock.Mono() - heard; c.events != "1;2;3;" || span > callerGap {
					t.Errorf("events %q, %+v, %d ms after the last", c.events, c.Result, span)
				}
			})
		})
	}
}

// Guards against one stream that asks all endpoints over and over while they are full:
// what they turn away counts for the fleet's budget, and other requests need that too.
func TestTurnedAwayStreamSparesTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		time.Sleep(time.Second)
		var broke clock.Millis
		asked := 0
		b.answer = func(n int, a *Attempt) (*Response, error) {
			if n == 1 {
				return breaking("1", func() error {
					broke = b.clock.Mono()
					return failure(KindBroken)
				}), nil
			}
			if b.clock.Mono()-broke <= 4*clock.Second {
				asked++
			}
			return turnedAway(), nil
		}
		b.serve(t.Context(), "/note/x", nil)
		// As many at once as any request may be turned away, and one after each rest.
		most := routes[2].Attempts + extraSends
		for rest, span := firstRest, clock.Millis(0); span+rest <= 4*clock.Second; rest = min(longestRest, 2*rest) {
			span += rest
			most++
		}
		if asked > most {
			t.Errorf("turned away %d times in 4 s, at most %d expected", asked, most)
		}
	})
}

// Guards against a request that is run by more endpoints than its route's attempts, all
// of which live, as one lost packet of a probe lets each pass for dead.
func TestLostProbeDoesNotGrantAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		time.Sleep(time.Second)
		b.answer = func(n int, a *Attempt) (*Response, error) {
			if n > 3 {
				return stream(90, io.EOF, fmt.Sprint(n)), nil
			}
			return breaking(fmt.Sprint(n), func() error {
				time.Sleep(a.EventTimeout.Duration())
				b.dead[a.Endpoint.ID] = true
				waits := a.KeepWaiting()
				delete(b.dead, a.Endpoint.ID)
				if waits {
					return io.EOF
				}
				return failure(KindTimeout)
			}), nil
		}
		b.serve(t.Context(), "/note/x", nil)
		if len(b.sent) > 3 {
			t.Errorf("run by %d endpoints that live, of 3 attempts", len(b.sent))
		}
	})
}

// Guards against repeats that reach endpoints outside the window in which they were taken
// from the budget: those of streams that waited for room.
func TestBudgetIsTakenAsTheStreamGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		time.Sleep(time.Second)
		repeats := -1
		b.answer = func(n int, a *Attempt) (*Response, error) {
			if n > 1 {
				b.endpoints.mu.Lock()
				defer b.endpoints.mu.Unlock()
				// No request came in the window, so what is used is this repeat.
				r := b.endpoints.retries("engines")
				repeats = 0
				for q := *r; q.Available(b.clock.Mono()); repeats++ {
					q.Take(b.clock.Mono())
				}
				repeats = int(r.Slack) - repeats
				return stream(90, io.EOF, "2"), nil
			}
			return breaking("1", func() error {
				b.dead[a.Endpoint.ID] = true
				for i := range 12 {
					time.AfterFunc(time.Duration(i)*time.Second, func() { b.crowd(60, "") })
				}
				time.Sleep(time.Millisecond)
				return failure(KindBroken)
			}), nil
		}
		began := b.clock.Mono()
		c := b.serve(t.Context(), "/note/x", nil)
		if span := b.clock.Mono() - began; span < 11*clock.Second {
			t.Fatalf("found room after %d ms", span)
		}
		if repeats != 1 {
			t.Errorf("the budget of the window holds %d repeats, want 1: %q, %+v", repeats, c.events, c.Result)
		}
	})
}
