package forward

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/routing"
)

// silent ends an answer once the pipeline no longer waits for its next event, at the
// latest with the request's time.
func silent(a *Attempt) error {
	for span := a.EventTimeout; span < a.Remaining; span += a.EventTimeout {
		time.Sleep(a.EventTimeout.Duration())
		if !a.KeepWaiting() {
			break
		}
	}
	return failure(KindTimeout)
}

// Guards against a stream that is given up as its endpoint refuses new channels, which
// finishes what it runs before it leaves, and that is then cut as the others of its
// release refuse, too: the end of a roll-out.
func TestStreamOfALeavingEndpoint(t *testing.T) {
	rows := []struct {
		name string
		rest time.Duration
	}{
		{"it rests for as long as a silence is waited for", 460 * time.Millisecond},
		{"it rests for longer than is waited for if another endpoint has room", 2 * time.Second},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench()
				time.Sleep(time.Second)
				b.answer = func(n int, a *Attempt) (*Response, error) {
					if n > 1 {
						return nil, failure(KindRefused)
					}
					for i := range 4 {
						b.refusing[routing.EndpointID(fmt.Sprint("engines", i))] = true
					}
					answer, events := stream(90, io.EOF, "1", "2"), 0
					next := answer.Next
					answer.Next = func() (Event, error) {
						if events++; events == 2 {
							for span := a.EventTimeout.Duration(); span < row.rest; span += a.EventTimeout.Duration() {
								time.Sleep(a.EventTimeout.Duration())
								if !a.KeepWaiting() {
									return Event{}, failure(KindTimeout)
								}
							}
						}
						return next()
					}
					return answer, nil
				}
				if c := b.serve(t.Context(), "/note/x", nil); c.events != "1;2;" || c.Abort {
					t.Errorf("events %q, %+v", c.events, c.Result)
				}
			})
		})
	}
}

// breaking answers with one event and ends as broken says.
func breaking(id string, broken func() error) *Response {
	answer, events := stream(90, nil, id), 0
	next := answer.Next
	answer.Next = func() (Event, error) {
		if events++; events > 1 {
			return Event{}, broken()
		}
		return next()
	}
	return answer
}

// Guards against a stream that is cut in the middle, with seconds of its time left, as
// no endpoint has room, budget or a channel for it at the moment at which it breaks.
func TestBegunStreamWaits(t *testing.T) {
	const crowded = 60
	rows := []struct {
		name string
		// broken is called as the first run breaks off, and says how.
		broken func(b *bench, a *Attempt) error
		// later answers the sends that follow, so long after the break.
		later func(span clock.Millis) (*Response, error)
		// within is how long it may take until the stream goes on.
		within clock.Millis
	}{
		{"the others are full, and a probe of the silent endpoint fails", func(b *bench, a *Attempt) error {
			b.dead[a.Endpoint.ID] = true
			time.Sleep(a.EventTimeout.Duration())
			b.crowd(crowded, "")
			if a.KeepWaiting() {
				return silent(a)
			}
			return failure(KindTimeout)
		}, nil, 4 * clock.Second},
		{"the endpoint is gone, and the others are full", func(b *bench, a *Attempt) error {
			b.dead[a.Endpoint.ID] = true
			b.crowd(crowded, a.Endpoint.ID)
			return failure(KindBroken)
		}, nil, 3 * clock.Second},
		{"the budget is used up", func(b *bench, a *Attempt) error {
			b.dead[a.Endpoint.ID] = true
			for b.endpoints.takeRetry("engines") {
			}
			return failure(KindBroken)
		}, nil, 11 * clock.Second},
		{"the others turn it away", func(b *bench, a *Attempt) error {
			b.dead[a.Endpoint.ID] = true
			return failure(KindBroken)
		}, func(span clock.Millis) (*Response, error) {
			if span < clock.Second {
				return turnedAway(), nil
			}
			return stream(90, io.EOF, "2"), nil
		}, 3 * clock.Second},
		{"the others are out of reach", func(b *bench, a *Attempt) error {
			b.dead[a.Endpoint.ID] = true
			return failure(KindBroken)
		}, func(span clock.Millis) (*Response, error) {
			if span < 2*clock.Second {
				return nil, failure(KindNotSent)
			}
			return stream(90, io.EOF, "2"), nil
		}, 7 * clock.Second},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench()
				time.Sleep(time.Second) // Loads that no endpoint told are old by now.
				var broke clock.Millis
				b.answer = func(n int, a *Attempt) (*Response, error) {
					if n == 1 {
						return breaking("1", func() error {
							broke = b.clock.Mono()
							return row.broken(b, a)
						}), nil
					}
					if row.later != nil {
						return row.later(b.clock.Mono() - broke)
					}
					return stream(90, io.EOF, "2"), nil
				}
				c := b.serve(t.Context(), "/note/x", nil)
				if span := b.clock.Mono() - broke; c.Abort || c.events != "1;2;" || span > row.within {
					t.Errorf("events %q, %+v, %d ms after the break", c.events, c.Result, span)
				}
			})
		})
	}
}

// Guards against a stream that is cut although only endpoints that died have run it:
// those found dead in a silence counted for its route's attempts.
func TestSilentDeadEndpointsDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		time.Sleep(time.Second)
		b.answer = func(n int, a *Attempt) (*Response, error) {
			if n < 4 {
				return breaking(fmt.Sprint(n), func() error {
					b.dead[a.Endpoint.ID] = true
					return silent(a)
				}), nil
			}
			return stream(90, io.EOF, "4"), nil
		}
		if c := b.serve(t.Context(), "/note/x", nil); c.events != "1;2;3;4;" || c.Abort {
			t.Errorf("events %q, %+v", c.events, c.Result)
		}
	})
}

// Guards against a stream whose last attempt is spent on leaving a living endpoint for
// its silence, so that it is cut if the next endpoint breaks.
func TestLastAttemptIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		time.Sleep(time.Second)
		rest := false
		b.answer = func(n int, a *Attempt) (*Response, error) {
			if n < 3 { // Two of three attempts: the first endpoint is left for its silence.
				return breaking(fmt.Sprint(n), func() error {
					if n == 2 {
						time.Sleep(5 * time.Second)
						rest = a.KeepWaiting()
					}
					return silent(a)
				}), nil
			}
			return stream(90, io.EOF, "3"), nil
		}
		b.serve(t.Context(), "/note/x", nil)
		if !rest {
			t.Error("the second endpoint lives and is given up with the last attempt")
		}
	})
}

// Guards against an answer that is dropped for a larger model's, and no endpoint has
// room for that any more: the caller gets neither.
func TestUnsureAnswerIsKeptUntilThereIsAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		time.Sleep(time.Second) // Loads that no endpoint told are old by now.
		b.answer = func(_ int, a *Attempt) (*Response, error) {
			answer := stream(10, io.EOF, "small")
			answer.Close = func() { b.crowd(60, "") } // Others take the room at the same moment.
			if a.Model == large {
				answer = stream(90, io.EOF, "large")
			}
			return answer, nil
		}
		if c := b.serve(t.Context(), "/note/x", nil); c.Reason != ReasonServed {
			t.Errorf("events %q, %+v", c.events, c.Result)
		}
	})
}

// Guards against a zone that is left alone, its new endpoints and plain ones with it, as
// endpoints there that leave refuse channels.
func TestRefusalsDoNotCutAZone(t *testing.T) {
	rows := []struct {
		why Kind
		cut bool
	}{
		{KindRefused, false},
		{KindNotSent, true},
	}
	for _, row := range rows {
		t.Run(string(row.why), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench()
				b.endpoints.peek(b.registry.View(), &catalog.Service{Name: "engines"}, &placement.Query{Accept: func(*catalog.Endpoint) bool { return true }})
				for _, s := range b.endpoints.pools["engines"].states[:cutMisses] {
					b.endpoints.lost(s, row.why)
				}
				q := &placement.Query{Zone: "b"}
				b.endpoints.mu.Lock()
				defer b.endpoints.mu.Unlock()
				b.endpoints.prepare(b.registry.View(), &catalog.Service{Name: "engines"}, q)
				if cut := q.ZoneUnreachable("a"); cut != row.cut {
					t.Errorf("zone cut off: %v, want %v", cut, row.cut)
				}
			})
		})
	}
}

// Guards against a caller that is kept waiting for endpoints that never come back: those
// of a release that a roll-out has replaced.
func TestStreamOfAnEndedReleaseIsCut(t *testing.T) {
	rows := []struct {
		outcome registry.Outcome
		within  clock.Millis
		cut     bool
	}{
		{registry.OutcomeCompleted, clock.Second, true},
		{registry.OutcomeRunning, 4 * clock.Second, false},
	}
	for _, row := range rows {
		t.Run(string(row.outcome), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench()
				order := b.order(5, 40*clock.Second)
				b.facts["statusx"] = registry.Object{Status: &registry.Status{Service: "engines", Target: order.Target, Order: 5, Outcome: row.outcome}}
				b.facts["backx"] = registry.Object{Endpoint: &catalog.Endpoint{ID: "back", StartedAt: 2, Service: "engines", Zone: "a", Release: "v1", Slots: 6}}
				time.Sleep(time.Second)
				b.answer = func(n int, a *Attempt) (*Response, error) {
					if n > 1 {
						return stream(90, io.EOF, "2"), nil
					}
					answer := breaking("1", func() error {
						b.dead[a.Endpoint.ID] = true
						b.registry.Merge(registry.Batch{Feed: registry.FeedOutcomes, Records: []registry.Record{{Key: "status", Value: []byte("x")}}, Head: 1})
						var gone []registry.Record
						for i := range 4 {
							gone = append(gone, registry.Record{Key: fmt.Sprint("engines", i), Deleted: true, Offset: registry.Offset(9 + i)})
						}
						b.registry.Merge(registry.Batch{Feed: registry.FeedEndpoints, Records: gone, From: 9, Head: 13})
						time.AfterFunc(2*time.Second, func() {
							b.registry.Merge(registry.Batch{Feed: registry.FeedEndpoints, Records: []registry.Record{{Key: "back", Value: []byte("x"), Offset: 13}}, From: 13, Head: 14})
						})
						return failure(KindBroken)
					})
					return answer, nil
				}
				began := b.clock.Mono()
				c := b.serve(t.Context(), "/note/x", nil)
				if span := b.clock.Mono() - began; c.Abort != row.cut || span > row.within {
					t.Errorf("events %q, %+v, after %d ms", c.events, c.Result, span)
				}
			})
		})
	}
}
