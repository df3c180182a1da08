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

// fleet is a group of instances, each with a Controller, that share one status store.
type fleet struct {
	registries []*registry.Registry
	relays     []*relay.Relay
	order      *catalog.Order

	// mu guards the fields below, which running instances read while more are added.
	mu        sync.Mutex
	handlers  map[string]http.Handler
	dead      map[string]bool
	committed registry.Status
	writes    int
	// era is the store's era.
	era registry.Era
	// inFlight is the number of requests at each of the new release's endpoints.
	// The map is replaced, never modified.
	inFlight map[routing.EndpointID]int
	// oldInFlight is the number of requests at the old release's endpoint.
	oldInFlight int
}

type transport struct {
	fleet *fleet
	from  string
}

func (t transport) Do(r *http.Request) (*http.Response, error) {
	t.fleet.mu.Lock()
	handler := t.fleet.handlers[r.URL.Host]
	unreachable := t.fleet.dead[r.URL.Host] || t.fleet.dead[t.from] || handler == nil
	t.fleet.mu.Unlock()
	if unreachable {
		return nil, errors.New("connection refused")
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

const instanceNames = "abcd"

func newFleet(ctx context.Context) *fleet {
	f := &fleet{handlers: map[string]http.Handler{}, dead: map[string]bool{}}
	f.order = &catalog.Order{Number: 3, Service: "s", Target: "v2", Duration: 20 * clock.Second}
	for _, name := range instanceNames {
		f.addInstance(ctx, string(name))
	}
	return f
}

func (f *fleet) addInstance(ctx context.Context, name string) {
	c := clock.New()
	r := registry.New(c, hclog.NewNullLogger())
	config := catalog.NewConfig(1, []*catalog.Route{
		{Name: "r", Host: "h", Prefix: "/", Split: []catalog.WeightedService{{Service: "s"}}},
		{Name: "short", Host: "h", Prefix: "/short/", Split: []catalog.WeightedService{{Service: "s"}}},
	}, nil, nil, false, catalog.Limits{})
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
	zone := ticket.ZoneName("z" + name) // One instance per zone, so that each is its zone's reader.
	rel := relay.New(relay.Member{Name: name, Zone: zone, Address: name, RunID: "1"}, []string{"a"}, relay.Dependencies{
		Registry: r, Client: transport{f, name}, Clock: c, Random: rand.New(rand.NewPCG(1, 2)), Logger: hclog.NewNullLogger(), Scope: tally.NoopScope,
	})
	path, handler := rel.Handler()
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	f.mu.Lock()
	f.handlers[name] = mux
	f.mu.Unlock()
	f.relays = append(f.relays, rel)
	f.registries = append(f.registries, r)
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
			return registry.Status{}, errors.New("store unreachable")
		}
		if !f.committed.Outcome.Final() {
			f.committed = s
			f.writes++
		}
		r.Merge(f.listing())
		return f.committed, nil
	}
	d.OnCommitted = func(registry.Status) { rel.TriggerBroadcast() }
	d.InFlight = func(_ ticket.ServiceName, release catalog.Release) map[routing.EndpointID]int {
		f.mu.Lock()
		defer f.mu.Unlock()
		if release != f.order.Target {
			return map[routing.EndpointID]int{"old": f.oldInFlight}
		}
		return f.inFlight
	}
	go rel.Run(ctx)
	go d.Run(ctx)
}

// listing returns a listing of the store's statuses. The caller holds the lock.
func (f *fleet) listing() registry.Batch {
	b := registry.Batch{Feed: registry.FeedOutcomes, Era: f.era, Full: true, Head: registry.Offset(f.writes)}
	if f.committed.Outcome != "" {
		b.Records = []registry.Record{{Key: "status", Era: f.era, Offset: b.Head - 1, Value: []byte(f.committed.Outcome)}}
	}
	return b
}

// restore has the store come back in a new era with the given outcome, which one instance reads.
func (f *fleet) restore(outcome registry.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era++
	f.committed = registry.Status{Service: "s", Target: "v2", Order: 3, Outcome: outcome}
	f.registries[0].Merge(f.listing())
}

// addRatings records ratings of the new release, spread over all instances and endpoints.
func (f *fleet) addRatings(count int, good bool) { f.addRatingsOn("r", count, 6, good) }

// addRatingsOn records ratings on one route, spread over the given number of endpoints.
func (f *fleet) addRatingsOn(route catalog.RouteName, count, endpoints int, good bool) {
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

// addOldGood records good ratings of the old release on one route.
func (f *fleet) addOldGood(route catalog.RouteName, count int) {
	for i := range count {
		f.relays[i%len(f.relays)].RecordRating(forward.Series(f.order, route, evidence.ArmFrom), true)
	}
}

// addRatingsAt records ratings of an endpoint of the new release before it is under high load.
func (f *fleet) addRatingsAt(endpoint string, count int, good bool) {
	series := forward.Series(f.order, forward.BeforeLoadRoute, evidence.ArmTo)
	series.Endpoint = endpoint
	for i := range count {
		f.relays[i%len(f.relays)].RecordRating(series, good)
	}
}

// setInFlight sets the number of requests at each of the new release's endpoints.
func (f *fleet) setInFlight(counts map[routing.EndpointID]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight = counts
}

func (f *fleet) outcome() (registry.Outcome, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.committed.Outcome, f.writes
}

// inBubble runs a test in a synctest bubble, with a virtual clock.
func inBubble(t *testing.T, run func(ctx context.Context)) {
	synctest.Test(t, func(_ *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		run(ctx)
		cancel()
		time.Sleep(10 * time.Second)
	})
}

func TestOutcomes(t *testing.T) {
	tests := []struct {
		name     string
		scenario func(f *fleet)
		want     registry.Outcome
		within   time.Duration
	}{
		{"a good release is completed", func(f *fleet) { f.addRatings(40, true) }, registry.OutcomeCompleted, 19 * time.Second},
		{"a bad release is rolled back well before its 50th bad answer is 5 s old", func(f *fleet) {
			for range 4 {
				time.Sleep(500 * time.Millisecond)
				f.addRatings(6, false)
			}
		}, registry.OutcomeRolledBack, 4 * time.Second},
		{"a release that turns bad late is rolled back", func(f *fleet) {
			f.addRatings(200, true)
			time.Sleep(8 * time.Second)
			for range 4 {
				time.Sleep(500 * time.Millisecond)
				f.addRatings(6, false)
			}
		}, registry.OutcomeRolledBack, 4 * time.Second},
		{"a release that fails under load is rolled back on evidence from its busiest endpoint", func(f *fleet) {
			f.addRatings(60, true)
			f.setInFlight(map[routing.EndpointID]int{"0": 40, "1": 5, "2": 4, "3": 2})
			time.Sleep(10 * time.Second)
			f.addRatingsOn(forward.HighLoadRoute, 12, 1, true)
			f.addRatingsOn(forward.HighLoadRoute, 8, 1, false)
			f.addRatingsOn("r", 12, 1, true)
			f.addRatingsOn("r", 8, 1, false)
		}, registry.OutcomeRolledBack, 2 * time.Second},
		// On a calm day no more than one endpoint is filled, and others count as busy with far
		// fewer requests.
		{"a release that fails at the one endpoint that is filled, and did not before, is rolled back", func(f *fleet) {
			f.addRatings(60, true)
			f.setInFlight(map[routing.EndpointID]int{"0": 34, "1": 18, "2": 4, "3": 2})
			time.Sleep(10 * time.Second)
			f.addOldGood(forward.HighLoadRoute, 800)
			f.addRatingsAt("0", 20, true)
			time.Sleep(time.Second)
			f.addRatingsOn(forward.HighLoadRoute, 12, 1, true)
			f.addRatingsOn(forward.HighLoadRoute, 4, 1, false)
		}, registry.OutcomeRolledBack, 2 * time.Second},
		{"a release with one filled endpoint that always failed is completed", func(f *fleet) {
			f.addRatings(60, true)
			f.setInFlight(map[routing.EndpointID]int{"0": 34, "1": 18, "2": 4, "3": 2})
			time.Sleep(10 * time.Second)
			f.addOldGood(forward.HighLoadRoute, 800)
			f.addRatingsAt("0", 15, true)
			f.addRatingsAt("0", 5, false)
			time.Sleep(time.Second)
			f.addRatingsOn(forward.HighLoadRoute, 12, 1, true)
			f.addRatingsOn(forward.HighLoadRoute, 4, 1, false)
		}, registry.OutcomeCompleted, 8 * time.Second},
		{"a release with one bad endpoint among several busy ones is completed", func(f *fleet) {
			f.addRatings(60, true)
			f.setInFlight(map[routing.EndpointID]int{"0": 40, "1": 35, "2": 34, "3": 32})
			time.Sleep(10 * time.Second)
			f.addRatingsOn(forward.HighLoadRoute, 30, 1, true)
			f.addRatingsOn(forward.HighLoadRoute, 6, 1, false)
		}, registry.OutcomeCompleted, 9 * time.Second},
		{"a release whose few streams are all slow is rolled back", func(f *fleet) {
			f.addRatings(8, true)
			for i := range f.relays {
				f.relays[i].RecordRating(forward.Series(f.order, forward.CanaryPaceRoute, evidence.ArmFrom), i > 0)
			}
			f.addRatingsOn(forward.CanaryPaceRoute, 9, 6, false)
		}, registry.OutcomeRolledBack, 4 * time.Second},
		// Guards against completing a slow release of a plain service whose few canary
		// responses prove nothing.
		{"a release whose plain responses are slow once traffic moves is rolled back", func(f *fleet) {
			f.addRatings(8, true)
			time.Sleep(11 * time.Second)
			f.addRatings(40, true)
			f.addRatingsOn(forward.DelayOn("r"), 18, 4, true)
			f.addRatingsOn(forward.DelayOn("r"), 18, 4, false)
		}, registry.OutcomeRolledBack, 2 * time.Second},
		{"a release that is slow on one route of many short responses is rolled back", func(f *fleet) {
			f.addRatings(8, true)
			time.Sleep(11 * time.Second)
			f.addRatings(40, true)
			f.addRatingsOn(forward.DelayOn("r"), 18, 4, true)
			f.addRatingsOn(forward.DelayOn("r"), 18, 4, false)
			f.addRatingsOn(forward.DelayOn("short"), 120, 4, true)
		}, registry.OutcomeRolledBack, 2 * time.Second},
		{"a release with more slow plain responses than the old one has is rolled back", func(f *fleet) {
			f.addRatings(8, true)
			for i := range 300 {
				f.relays[i%len(f.relays)].RecordRating(forward.Series(f.order, forward.DelayOn("r"), evidence.ArmFrom), i > 1)
			}
			time.Sleep(11 * time.Second)
			f.addRatings(40, true)
			f.addRatingsOn(forward.DelayOn("r"), 34, 4, true)
			f.addRatingsOn(forward.DelayOn("r"), 13, 4, false)
		}, registry.OutcomeRolledBack, 2 * time.Second},
		{"a release with some slow plain responses once traffic moves is completed", func(f *fleet) {
			f.addRatings(8, true)
			time.Sleep(11 * time.Second)
			f.addRatings(40, true)
			f.addRatingsOn(forward.DelayOn("r"), 90, 4, true)
			f.addRatingsOn(forward.DelayOn("r"), 10, 4, false)
		}, registry.OutcomeCompleted, 9 * time.Second},
		{"no outcome is decided without answers", func(*fleet) {}, registry.OutcomeRunning, 19 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(ctx context.Context) {
				f := newFleet(ctx)
				time.Sleep(2 * time.Second)
				test.scenario(f)
				time.Sleep(test.within)
				got, writes := f.outcome()
				if got != test.want {
					t.Errorf("outcome %q, want %q", got, test.want)
				}
				if writes > 2 {
					t.Errorf("%d writes, want one for running and one for the end", writes)
				}
			})
		})
	}
}

// TestDecisionSurvivesInstanceFailures kills the two instances of the lowest ranks.
// The next one must write the outcome.
func TestDecisionSurvivesInstanceFailures(t *testing.T) {
	inBubble(t, func(ctx context.Context) {
		f := newFleet(ctx)
		time.Sleep(2 * time.Second)
		f.addRatings(40, true)
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

// TestCompletionWaitsForTheOldRelease guards against completing a roll-out, which
// shuts down the old release's endpoints, while they still have requests in flight.
func TestCompletionWaitsForTheOldRelease(t *testing.T) {
	tests := []struct {
		name string
		// oldEndsAt is when the old release's last request ends.
		oldEndsAt     time.Duration
		after, within time.Duration
	}{
		{"no request in flight", 0, 16 * time.Second, 18 * time.Second},
		{"a request ends shortly after the roll-out is due", 17500 * time.Millisecond, 17500 * time.Millisecond, 18500 * time.Millisecond},
		{"a request that does not end still leaves time to write the outcome", time.Hour, 17500 * time.Millisecond, 18500 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(ctx context.Context) {
				f := newFleet(ctx)
				start := time.Now()
				setOldInFlight := func(n int) {
					f.mu.Lock()
					defer f.mu.Unlock()
					f.oldInFlight = n
				}
				if test.oldEndsAt > 0 {
					setOldInFlight(3)
				}
				time.Sleep(2 * time.Second)
				f.addRatings(40, true)
				completed := time.Duration(0)
				for completed == 0 && time.Since(start) < 20*time.Second {
					time.Sleep(50 * time.Millisecond)
					if time.Since(start) >= test.oldEndsAt {
						setOldInFlight(0)
					}
					if got, _ := f.outcome(); got == registry.OutcomeCompleted {
						completed = time.Since(start)
					}
				}
				if completed < test.after || completed > test.within {
					t.Errorf("completed after %v, want %v to %v", completed, test.after, test.within)
				}
			})
		})
	}
}

// TestLostStatusIsWrittenAgain guards against a roll-out whose end only the system knows, after the
// store came back from a copy that lacks it.
func TestLostStatusIsWrittenAgain(t *testing.T) {
	rows := []struct {
		name string
		// inCopy is the outcome that the copy has; "" is none.
		inCopy registry.Outcome
		want   int
	}{
		{"the copy has no status", "", 1},
		{"the copy has the status before", registry.OutcomeRunning, 1},
		{"the copy has the status", registry.OutcomeCompleted, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			inBubble(t, func(ctx context.Context) {
				f := newFleet(ctx)
				time.Sleep(2 * time.Second)
				f.addRatings(40, true)
				time.Sleep(18 * time.Second)
				got, before := f.outcome()
				if got != registry.OutcomeCompleted {
					t.Fatalf("outcome %q before the restore", got)
				}
				f.restore(row.inCopy)
				time.Sleep(4 * time.Second)
				if got, writes := f.outcome(); got != registry.OutcomeCompleted || writes-before != row.want {
					t.Errorf("outcome %q after %d writes, want %q after %d", got, writes-before, registry.OutcomeCompleted, row.want)
				}
				time.Sleep(20 * time.Second)
				if _, writes := f.outcome(); writes-before != row.want {
					t.Errorf("%d writes, want %d", writes-before, row.want)
				}
				for i, r := range f.registries {
					if s := r.View().Statuses["s"]; s.Outcome != registry.OutcomeCompleted || s.Lost {
						t.Errorf("instance %d has %+v", i, s)
					}
				}
			})
		})
	}
}
