package duty

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"foxtailbridge/entry/forward"
	"foxtailbridge/entry/registry"
	"foxtailbridge/entry/relay"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/evidence"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// fleet is a few instances with duties over one topic of outcomes.
type fleet struct {
	relays []*relay.Relay
	order  *catalog.Order

	// mu guards what follows: the instances that run already read it while more are added.
	mu       sync.Mutex
	handlers map[string]http.Handler
	dead     map[string]bool
	stands   registry.Status
	writes   int
	// occupied counts the requests at the new release's endpoints; a map in it is not changed.
	occupied map[routing.EndpointID]int
	// old is the number of requests at the old release's.
	old int
}

type wire struct {
	fleet *fleet
	from  string
}

func (w wire) Do(r *http.Request) (*http.Response, error) {
	w.fleet.mu.Lock()
	handler := w.fleet.handlers[r.URL.Host]
	off := w.fleet.dead[r.URL.Host] || w.fleet.dead[w.from] || handler == nil
	w.fleet.mu.Unlock()
	if off {
		return nil, errors.New("cut off")
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

const names = "abcd"

func newFleet(ctx context.Context) *fleet {
	f := &fleet{handlers: map[string]http.Handler{}, dead: map[string]bool{}}
	f.order = &catalog.Order{Number: 3, Service: "s", Target: "v2", Duration: 20 * clock.Second}
	for _, name := range names {
		f.add(ctx, string(name))
	}
	return f
}

func (f *fleet) add(ctx context.Context, name string) {
	c := clock.New()
	r := registry.New(c, hclog.NewNullLogger())
	config := catalog.NewConfig(1, []*catalog.Route{{Name: "r", Host: "h", Prefix: "/", Split: []catalog.WeightedService{{Service: "s"}}}}, nil, nil, false, catalog.Limits{})
	r.Decode = func(record *registry.Record) (registry.Object, error) {
		switch record.Key {
		case "config":
			return registry.Object{Config: config}, nil
		case "order":
			return registry.Object{Order: f.order}, nil
		case "status":
			return registry.Object{Status: &registry.Status{Service: "s", Target: "v2", Order: 3, Outcome: registry.Outcome(record.Value)}}, nil
		}
		release := catalog.Release("v2")
		if record.Key == "old" {
			release = "v1"
		}
		return registry.Object{Endpoint: &catalog.Endpoint{ID: routing.EndpointID(record.Key), Service: "s", Release: release, Slots: 1}}, nil
	}
	zone := ticket.ZoneName("z" + name) // One instance a zone: each is its zone's reader.
	rel := relay.New(relay.Member{Name: name, Zone: zone, Address: name, RunID: "1"}, []string{"a"}, relay.Dependencies{
		Registry: r, Client: wire{f, name}, Clock: c, Random: rand.New(rand.NewPCG(1, 2)), Logger: hclog.NewNullLogger(), Scope: tally.NoopScope,
	})
	path, handler := rel.Handler()
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	f.mu.Lock()
	f.handlers[name] = mux
	f.mu.Unlock()
	f.relays = append(f.relays, rel)
	r.Merge(registry.Batch{Feed: registry.FeedOrders, Head: 2, Records: []registry.Record{{Key: "config", Value: []byte("x")}, {Key: "order", Offset: 1, Value: []byte("x")}}})
	var endpoints []registry.Record
	for i := range 6 {
		endpoints = append(endpoints, registry.Record{Key: string(rune('0' + i)), Offset: registry.Offset(i), Value: []byte("x")})
	}
	endpoints = append(endpoints, registry.Record{Key: "old", Offset: 6, Value: []byte("x")})
	r.Merge(registry.Batch{Feed: registry.FeedEndpoints, Head: 7, Records: endpoints})
	r.Merge(registry.Batch{Feed: registry.FeedOutcomes})
	d := New(r, rel, c, hclog.NewNullLogger())
	d.Commit = func(_ context.Context, s registry.Status) (registry.Status, error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.dead[name] {
			return registry.Status{}, errors.New("no store")
		}
		if !f.stands.Outcome.Final() {
			f.stands = s
			f.writes++
		}
		at := registry.Offset(f.writes)
		r.Merge(registry.Batch{Feed: registry.FeedOutcomes, Full: true, Head: at, Records: []registry.Record{{Key: "status", Offset: at - 1, Value: []byte(f.stands.Outcome)}}})
		return f.stands, nil
	}
	d.OnCommitted = func(registry.Status) { rel.TriggerBroadcast() }
	d.InFlight = func(_ ticket.ServiceName, release catalog.Release) map[routing.EndpointID]int {
		f.mu.Lock()
		defer f.mu.Unlock()
		if release != f.order.Target {
			return map[routing.EndpointID]int{"old": f.old}
		}
		return f.occupied
	}
	go rel.Run(ctx)
	go d.Run(ctx)
}

// answer counts answers of the new release at different instances and endpoints.
func (f *fleet) answer(count int, good bool) { f.answerOn("r", count, 6, good) }

// answerOn does so on a route, at the first so many endpoints.
func (f *fleet) answerOn(route catalog.RouteName, count, endpoints int, good bool) {
	series := forward.Series(f.order, route, evidence.ArmTo)
	for i := range count {
		r := f.relays[i%len(f.relays)]
		r.RecordRating(series, good)
		if !good {
			bad := series
			bad.Endpoint = string(rune('0' + i%endpoints))
			r.RecordRating(bad, false)
		}
	}
}

// occupy sets the requests at the new release's endpoints.
func (f *fleet) occupy(counts map[routing.EndpointID]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.occupied = counts
}

func (f *fleet) outcome() (registry.Outcome, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stands.Outcome, f.writes
}

func inBubble(t *testing.T, run func(ctx context.Context)) {
	synctest.Test(t, func(_ *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		run(ctx)
		cancel()
		time.Sleep(10 * time.Second)
	})
}

func TestOutcomes(t *testing.T) {
	rows := []struct {
		name   string
		play   func(f *fleet)
		want   registry.Outcome
		within time.Duration
	}{
		{"a good release is completed", func(f *fleet) { f.answer(40, true) }, registry.OutcomeCompleted, 19 * time.Second},
		{"a bad one is rolled back well before its 50th bad answer is 5 s old", func(f *fleet) {
			for range 4 {
				time.Sleep(500 * time.Millisecond)
				f.answer(6, false)
			}
		}, registry.OutcomeRolledBack, 4 * time.Second},
		{"one that turns bad late is rolled back", func(f *fleet) {
			f.answer(200, true)
			time.Sleep(8 * time.Second)
			for range 4 {
				time.Sleep(500 * time.Millisecond)
				f.answer(6, false)
			}
		}, registry.OutcomeRolledBack, 4 * time.Second},
		{"one that fails under load is rolled back by the endpoint that was filled first", func(f *fleet) {
			f.answer(60, true)
			f.occupy(map[routing.EndpointID]int{"0": 40, "1": 5, "2": 4, "3": 2})
			time.Sleep(10 * time.Second)
			f.answerOn(forward.HighLoadRoute, 12, 1, true)
			f.answerOn(forward.HighLoadRoute, 8, 1, false)
			f.answerOn("r", 12, 1, true)
			f.answerOn("r", 8, 1, false)
		}, registry.OutcomeRolledBack, 2 * time.Second},
		{"one sick endpoint of several that are filled is no bad release", func(f *fleet) {
			f.answer(60, true)
			f.occupy(map[routing.EndpointID]int{"0": 40, "1": 35, "2": 34, "3": 32})
			time.Sleep(10 * time.Second)
			f.answerOn(forward.HighLoadRoute, 30, 1, true)
			f.answerOn(forward.HighLoadRoute, 6, 1, false)
		}, registry.OutcomeCompleted, 9 * time.Second},
		{"one whose few streams are all slow is rolled back", func(f *fleet) {
			f.answer(8, true)
			for i := range f.relays {
				f.relays[i].RecordRating(forward.Series(f.order, forward.CanaryPaceRoute, evidence.ArmFrom), i > 0)
			}
			f.answerOn(forward.CanaryPaceRoute, 9, 6, false)
		}, registry.OutcomeRolledBack, 4 * time.Second},
		{"without any answer nothing is decided", func(*fleet) {}, registry.OutcomeRunning, 19 * time.Second},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			inBubble(t, func(ctx context.Context) {
				f := newFleet(ctx)
				time.Sleep(2 * time.Second)
				row.play(f)
				time.Sleep(row.within)
				got, writes := f.outcome()
				if got != row.want {
					t.Errorf("outcome %q, want %q", got, row.want)
				}
				if writes > 2 {
					t.Errorf("%d writes, want one for running and one for the end", writes)
				}
			})
		})
	}
}

// TestTheOneOnDutyDies kills the first instances in line for the duty.
func TestTheOneOnDutyDies(t *testing.T) {
	inBubble(t, func(ctx context.Context) {
		f := newFleet(ctx)
		time.Sleep(2 * time.Second)
		f.answer(40, true)
		time.Sleep(2 * time.Second)
		for _, r := range f.relays {
			if r.DutyRank("s") < 2 {
				f.mu.Lock()
				f.dead[r.Self().Name] = true
				f.mu.Unlock()
			}
		}
		time.Sleep(16 * time.Second)
		if got, _ := f.outcome(); got != registry.OutcomeCompleted {
			t.Errorf("outcome %q", got)
		}
	})
}

// Guards against a roll-out that is completed, which ends the old release's endpoints,
// while answers still come from them.
func TestCompletionWaitsForTheOldRelease(t *testing.T) {
	rows := []struct {
		name string
		// ends is when the old release's last request ends.
		ends          time.Duration
		after, within time.Duration
	}{
		{"nothing runs there", 0, 16 * time.Second, 18 * time.Second},
		{"an answer ends a moment later", 17500 * time.Millisecond, 17500 * time.Millisecond, 18500 * time.Millisecond},
		{"one that does not end leaves time to write the outcome", time.Hour, 17500 * time.Millisecond, 18500 * time.Millisecond},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			inBubble(t, func(ctx context.Context) {
				f := newFleet(ctx)
				began := time.Now()
				set := func(n int) {
					f.mu.Lock()
					defer f.mu.Unlock()
					f.old = n
				}
				if row.ends > 0 {
					set(3)
				}
				time.Sleep(2 * time.Second)
				f.answer(40, true)
				completed := time.Duration(0)
				for completed == 0 && time.Since(began) < 20*time.Second {
					time.Sleep(50 * time.Millisecond)
					if time.Since(began) >= row.ends {
						set(0)
					}
					if got, _ := f.outcome(); got == registry.OutcomeCompleted {
						completed = time.Since(began)
					}
				}
				if completed < row.after || completed > row.within {
					t.Errorf("completed after %v, want %v to %v", completed, row.after, row.within)
				}
			})
		})
	}
}
