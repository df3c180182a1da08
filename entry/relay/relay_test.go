package relay

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/evidence"
	"foxtailbridge/policy/loadlist"
	"foxtailbridge/policy/quarantine"
	"foxtailbridge/policy/rollout"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// fleet runs relays in one process over a simulated network that can be partitioned.
type fleet struct {
	// mu guards handlers, dropped, responsesLost, storeRejects and endpoints.
	mu         sync.Mutex
	handlers   map[string]http.Handler
	relays     []*Relay
	registries []*registry.Registry
	// dropped reports whether requests from one address to another fail.
	dropped func(from, to string) bool
	// responsesLost reports whether the responses to an address are lost. Its requests arrive.
	responsesLost func(to string) bool
	// storeRejects reports whether the store rejects the reads of an instance.
	storeRejects func(name string) bool
	storeReads   atomic.Int64
	// era is the store's era; listings counts the listings served.
	era, listings atomic.Int64
	// bytes counts the bytes that each address sent and received.
	bytes map[string]int
	// ordersHead is the head of the orders feed at the store, rollout the offset of the
	// roll-out order in it, or 0.
	ordersHead, rollout atomic.Int64
	// lateConfig is the offset of a record of the configuration that was written late, or 0. Its
	// revision is two lower than its offset; that of all others is their offset.
	lateConfig atomic.Int64
	// endpoints is the endpoints feed at the store; the values are sequences of heartbeats.
	endpoints []registry.Record
	// delay is the latency of requests.
	delay time.Duration
	// runs counts the starts of each instance.
	runs map[string]int
	// configure sets a relay's callbacks before it runs.
	configure func(i int, r *Relay)
}

var errUnreachable = errors.New("unreachable")

// fleetClient is the HTTP client of one instance.
type fleetClient struct {
	fleet *fleet
	from  string
}

func (w fleetClient) Do(r *http.Request) (*http.Response, error) {
	w.fleet.mu.Lock()
	handler := w.fleet.handlers[r.URL.Host]
	off := handler == nil || w.fleet.dropped(w.from, r.URL.Host)
	w.fleet.mu.Unlock()
	if off {
		return nil, errUnreachable
	}
	time.Sleep(w.fleet.delay)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, r)
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if w.fleet.responsesLost(w.from) {
		return nil, errUnreachable
	}
	for _, address := range []string{w.from, r.URL.Host} {
		w.fleet.bytes[address] += int(r.ContentLength) + recorder.Body.Len()
	}
	return recorder.Result(), nil
}

func newFleet(ctx context.Context, zones, perZone int) *fleet {
	return newConfiguredFleet(ctx, zones, perZone, func(int, *Relay) {})
}

func newConfiguredFleet(ctx context.Context, zones, perZone int, prepare func(i int, r *Relay)) *fleet {
	f := &fleet{handlers: map[string]http.Handler{}, bytes: map[string]int{}, runs: map[string]int{}, dropped: func(string, string) bool { return false }, responsesLost: func(string) bool { return false }, storeRejects: func(string) bool { return false }, configure: prepare}
	f.ordersHead.Store(1)
	seeds := []string{"z0-0", "z1-0"}
	for z := range zones {
		for i := range perZone {
			f.add(ctx, ticket.ZoneName(fmt.Sprint("z", z)), fmt.Sprintf("z%d-%d", z, i), seeds)
		}
	}
	return f
}

func (f *fleet) add(ctx context.Context, zone ticket.ZoneName, name string, seeds []string) {
	c := clock.New()
	store := registry.New(c, hclog.NewNullLogger())
	store.Decode = func(r *registry.Record) (registry.Object, error) {
		if r.Key == "rollout" {
			return registry.Object{Order: &catalog.Order{Number: catalog.OrderNumber(r.Offset), Service: "s", Target: "v2", Duration: orderDuration}}, nil
		}
		revision, err := strconv.Atoi(string(r.Value))
		if err != nil {
			return registry.Object{}, err
		}
		if r.Feed == registry.FeedEndpoints {
			return registry.Object{Endpoint: &catalog.Endpoint{ID: routing.EndpointID(r.Key), StartedAt: 1, Sequence: int64(revision), Service: "s", Slots: 1}}, nil
		}
		return registry.Object{Config: catalog.NewConfig(catalog.Revision(revision), nil, nil, nil, false, catalog.Limits{})}, nil
	}
	f.runs[name]++
	relay := New(Member{Name: name, Zone: zone, Address: name, RunID: fmt.Sprint(f.runs[name])}, seeds, Dependencies{
		Registry: store, Client: fleetClient{f, name}, Clock: c, Random: rand.New(rand.NewPCG(1, 2)), Logger: hclog.NewNullLogger(), Scope: tally.NoopScope,
	})
	f.configure(len(f.relays), relay)
	path, handler := relay.Handler()
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	f.mu.Lock()
	f.handlers[name] = mux
	f.mu.Unlock()
	f.relays = append(f.relays, relay)
	f.registries = append(f.registries, store)
	follower := NewFeedReader(relay)
	follower.ReadAll = func(_ context.Context, feed registry.Feed) (registry.Batch, error) {
		return f.read(name, feed, 0, true)
	}
	follower.ReadSince = func(ctx context.Context, feed registry.Feed, position registry.Position, wait clock.Millis) (registry.Batch, bool, error) {
		from := position.Offset
		until := time.Now().Add(wait.Duration())
		for registry.Offset(f.ordersHead.Load()) <= from && time.Now().Before(until) && ctx.Err() == nil {
			time.Sleep(5 * time.Millisecond)
		}
		if position.Era != registry.Era(f.era.Load()) {
			return registry.Batch{}, true, nil
		}
		b, err := f.read(name, feed, from, false)
		return b, false, err
	}
	go relay.Run(ctx)
	for _, feed := range registry.Feeds {
		go follower.Run(ctx, feed)
	}
}

func (f *fleet) read(name string, feed registry.Feed, from registry.Offset, full bool) (registry.Batch, error) {
	f.storeReads.Add(1)
	f.mu.Lock()
	rejected, endpoints := f.storeRejects(name), f.endpoints
	f.mu.Unlock()
	if rejected {
		return registry.Batch{}, errUnreachable
	}
	if full {
		f.listings.Add(1)
	}
	b := registry.Batch{Feed: feed, Era: registry.Era(f.era.Load()), From: from, Full: full}
	if feed == registry.FeedEndpoints {
		b.Head = registry.Offset(len(endpoints))
		b.Records = slices.Clone(endpoints[from:])
		if full {
			b.Records = newestOf(endpoints)
		}
	}
	if feed == registry.FeedOrders {
		b.Head = registry.Offset(f.ordersHead.Load())
		if b.Head > from {
			revision := int64(b.Head - 1)
			if at := f.lateConfig.Load(); at > 0 && revision == at {
				revision -= 2
			}
			b.Records = []registry.Record{{Feed: feed, Key: "config", Offset: b.Head - 1, Value: []byte(strconv.FormatInt(revision, 10))}}
		}
		if at := registry.Offset(f.rollout.Load()); at > 0 && at >= from {
			b.Records = slices.Insert(b.Records, 0, registry.Record{Feed: feed, Key: "rollout", Offset: at, Value: []byte("x")})
		}
	}
	for i := range b.Records {
		b.Records[i].Era = b.Era
	}
	return b, nil
}

// writeEndpoint appends a heartbeat of an endpoint to the store; sequence 0 removes the endpoint.
func (f *fleet) writeEndpoint(id string, sequence int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := registry.Record{Feed: registry.FeedEndpoints, Key: id, Offset: registry.Offset(len(f.endpoints)), Deleted: sequence == 0}
	if sequence > 0 {
		r.Value = []byte(strconv.Itoa(sequence))
	}
	f.endpoints = append(f.endpoints, r)
}

// newestOf returns the newest records of the keys that are not deleted.
func newestOf(log []registry.Record) []registry.Record {
	var list []registry.Record
	for i, r := range log {
		superseded := slices.ContainsFunc(log[i+1:], func(later registry.Record) bool { return later.Key == r.Key })
		if !superseded && !r.Deleted {
			list = append(list, r)
		}
	}
	return list
}

func (f *fleet) countBehind(revision catalog.Revision) int {
	count := 0
	for _, s := range f.registries {
		if c := s.View().Config; c == nil || c.Revision < revision {
			count++
		}
	}
	return count
}

// TestDutyRanks checks that the readers have the lowest ranks for each duty, because only
// readers have the evidence for it.
func TestDutyRanks(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context) {
		f := newFleet(ctx, 4, 5)
		time.Sleep(10 * time.Second)
		for _, duty := range []string{"a", "b", "c"} {
			seen := map[int]bool{}
			for _, r := range f.relays {
				if r.Rank() == 0 {
					seen[r.DutyRank(duty)] = true
				}
			}
			for rank := range 4 {
				if !seen[rank] {
					t.Errorf("duty %s: no reader has rank %d: %v", duty, rank, seen)
				}
			}
		}
	})
}

// TestHolds checks that session holds added at the same time on instances of all zones reach
// all instances before a canary begins.
func TestHolds(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context) {
		f := newFleet(ctx, 4, 5)
		time.Sleep(10 * time.Second)
		for i, r := range f.relays {
			r.HoldSession(SessionHold{Order: 3, Session: uint64(i)})
		}
		time.Sleep(1300 * time.Millisecond)
		for i, r := range f.relays {
			for session := range f.relays {
				if !r.SessionHeld(SessionHold{Order: 3, Session: uint64(session)}) {
					t.Errorf("instance %d lacks the hold of instance %d", i, session)
				}
			}
		}
		for _, r := range f.relays {
			r.ForgetOrder(3)
		}
		time.Sleep(2 * time.Second)
		for _, r := range f.relays {
			if len(r.holds.entries)+len(r.holds.knownSince) > 0 {
				t.Error("holds remain after the order was forgotten")
			}
		}
	})
}

// TestTwoReadersMerge starts a zone as two groups, each with its own reader. Only the
// highest-ranked reader has ever seen the other, and no member list connects the groups.
func TestTwoReadersMerge(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context) {
		ranked := []Member{}
		for i := range 4 {
			name := fmt.Sprint("z0-", i)
			ranked = append(ranked, Member{Name: name, Zone: "z0", Address: name, RunID: "1"})
		}
		key := xxhash.Sum64String("z0")
		slices.SortFunc(ranked, func(a, b Member) int {
			if a.outranks(b, key) {
				return -1
			}
			return 1
		})
		f := newFleet(ctx, 0, 0)
		f.add(ctx, "z0", ranked[0].Name, []string{"z1-0"})
		f.add(ctx, "z1", "z1-0", []string{ranked[0].Name})
		for _, member := range ranked[1:] {
			f.add(ctx, "z0", member.Name, []string{ranked[1].Name, "z1-1"})
		}
		f.add(ctx, "z1", "z1-1", []string{ranked[1].Name})
		time.Sleep(3 * time.Second) // All broadcasts of the start are done.
		first := f.relays[0]
		first.members.mu.Lock()
		first.members.observe(MemberEntry{Member: ranked[1]}, first.deps.Clock.Mono())
		first.members.mu.Unlock()
		// The same times as in TestHolds.
		time.Sleep(10 * time.Second)
		for i, r := range f.relays {
			r.HoldSession(SessionHold{Order: 3, Session: uint64(i)})
		}
		time.Sleep(1300 * time.Millisecond)
		for _, r := range f.relays {
			for session, from := range f.relays {
				if !r.SessionHeld(SessionHold{Order: 3, Session: uint64(session)}) {
					t.Errorf("%s lacks the hold of %s", r.Self().Name, from.Self().Name)
				}
			}
		}
	})
}

// Guards against updates that an instance never receives because the response that carried
// them was lost: they counted as sent once they were added to the message.
func TestUpdatesInLostResponse(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context) {
		f := newFleet(ctx, 1, 3)
		time.Sleep(10 * time.Second)
		var reader, member *Relay
		for _, r := range f.relays {
			if r.Rank() == 0 {
				reader = r
			} else {
				member = r
			}
		}
		to := member.Self().Name
		f.mu.Lock()
		// The member receives nothing, but its own requests arrive.
		f.dropped = func(_, address string) bool { return address == to }
		f.responsesLost = func(address string) bool { return address == to }
		f.mu.Unlock()
		hold := SessionHold{Order: 3, Session: 1}
		reader.HoldSession(hold)
		for i := range 3 {
			reader.ReportSuspicion(quarantine.Suspicion{Digest: "d", Crash: quarantine.CrashID(fmt.Sprint("e", i))})
		}
		time.Sleep(3 * time.Second)
		f.mu.Lock()
		f.dropped = func(string, string) bool { return false }
		f.responsesLost = func(string) bool { return false }
		f.mu.Unlock()
		time.Sleep(3 * time.Second)
		if !member.SessionHeld(hold) {
			t.Error("the member lacks the session hold")
		}
		if member.Verdict("d") != quarantine.VerdictQuarantined {
			t.Error("the member has not quarantined the request that crashes endpoints")
		}
	})
}

// TestForgetOrderDuringMessage checks that ForgetOrder does not change a message that was built
// before but is not yet encoded.
func TestForgetOrderDuringMessage(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context) {
		f := newFleet(ctx, 1, 2)
		time.Sleep(10 * time.Second)
		r := f.relays[0]
		for i := range 6 {
			r.HoldSession(SessionHold{Order: catalog.OrderNumber(1 + i%2), Session: uint64(i)})
		}
		m := r.newMessage(f.relays[1].Self().Name, r.deps.Clock.Mono(), false)
		r.ForgetOrder(1)
		if len(m.Holds) != 6 {
			t.Fatalf("%d holds in the message, want 6", len(m.Holds))
		}
		for i, h := range m.Holds {
			if h.Session != uint64(i) {
				t.Errorf("hold %d became %+v", i, h)
			}
		}
	})
}

// inVirtualTime runs a test in virtual time and stops the fleet afterwards.
func inVirtualTime(t *testing.T, run func(ctx context.Context)) {
	synctest.Test(t, func(_ *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		run(ctx)
		cancel()
		time.Sleep(10 * time.Second)
	})
}

func TestNewestConfiguration(t *testing.T) {
	rows := []struct {
		name         string
		dropped      func(from, to string) bool
		storeRejects func(name string) bool
		within       time.Duration
		left         int
	}{
		{"no faults", nil, nil, 700 * time.Millisecond, 0},
		{"the store rejects almost half of the instances", nil, func(n string) bool { return n[3] == '0' || n == "z0-1" }, 1900 * time.Millisecond, 0},
		{"the store rejects all instances of a zone", nil, func(n string) bool { return n[:2] == "z1" }, 1900 * time.Millisecond, 0},
		{"two zones are partitioned and the store rejects one of them", func(from, to string) bool {
			return from[:2] != to[:2] && from[:2] != "z2" && to[:2] != "z2"
		}, func(n string) bool { return n[:2] == "z1" }, 1900 * time.Millisecond, 0},
		{"one instance is cut off from its peers, not from the store", func(from, to string) bool { return from == "z0-2" || to == "z0-2" }, nil, 1900 * time.Millisecond, 0},
		{"one instance is cut off from its peers and the store", func(from, to string) bool { return from == "z0-2" || to == "z0-2" }, func(n string) bool { return n == "z0-2" }, 1900 * time.Millisecond, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			inVirtualTime(t, func(ctx context.Context) {
				f := newFleet(ctx, 3, 3)
				time.Sleep(4 * time.Second)
				f.mu.Lock()
				if row.dropped != nil {
					f.dropped = row.dropped
				}
				if row.storeRejects != nil {
					f.storeRejects = row.storeRejects
				}
				f.mu.Unlock()
				time.Sleep(5 * time.Second)
				f.ordersHead.Add(1)
				time.Sleep(row.within)
				if n := f.countBehind(1); n != row.left {
					t.Errorf("%d instances lack the newest configuration after %v", n, row.within)
				}
			})
		})
	}
}

// TestStoreCallRate checks that only the zone readers call the store, whatever the number of
// instances in a zone.
func TestStoreCallRate(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context) {
		f := newFleet(ctx, 3, 12)
		time.Sleep(5 * time.Second)
		before := f.storeReads.Load()
		time.Sleep(20 * time.Second)
		calls := float64(f.storeReads.Load()-before) / 20
		// A zone's reader reads endpoints every 0.8 s and orders every 1.5 s.
		if calls > 3*2.2 {
			t.Errorf("%.1f calls a second for three zones", calls)
		}
	})
}

func TestEvidence(t *testing.T) {
	Convey("Readers aggregate their zones, and a new reader counts nothing twice", t, func() {
		inVirtualTime(t, func(ctx context.Context) {
			f := newFleet(ctx, 2, 3)
			time.Sleep(4 * time.Second)
			series := evidence.RolloutSeries("s", 7, evidence.ArmTo)
			for _, r := range f.relays {
				r.RecordRating(series, false)
				r.RecordRating(series, true)
			}
			time.Sleep(2 * time.Second)
			check := func(want int64) {
				for _, r := range f.relays {
					f.mu.Lock()
					running := f.handlers[r.Self().Name] != nil
					f.mu.Unlock()
					if r.Rank() == 0 && running {
						if got := r.Sum(series); got.Bad != want || got.Good != want {
							t.Errorf("%s counts %+v, want %d", r.Self().Name, got, want)
						}
					}
				}
			}
			check(6)
			for _, r := range f.relays {
				if r.Rank() == 0 && r.Self().Zone == "z0" {
					dead := r.Self().Name
					f.mu.Lock()
					delete(f.handlers, dead)
					f.dropped = func(from, to string) bool { return from == dead || to == dead }
					f.mu.Unlock()
				}
			}
			time.Sleep(8 * time.Second)
			check(6)
		})
	})
}

func TestSuspicions(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context) {
		var heard [9]atomic.Int64
		f := newFleet(ctx, 3, 3)
		time.Sleep(4 * time.Second)
		for i := range 3 {
			f.relays[i*3].ReportSuspicion(quarantine.Suspicion{Digest: "d", Crash: quarantine.CrashID(fmt.Sprint("e", i))})
		}
		for i := range 3 {
			crash := quarantine.CrashID(fmt.Sprint("e", i))
			f.relays[i*3].ReportPartCrash([]quarantine.Part{"deadly", "system"}, crash)
		}
		f.relays[7].ClearParts([]quarantine.Part{"system"}) // It may not have heard of the part yet.
		f.relays[4].StopRelease(9, "evidence")
		for i, r := range f.relays {
			r.OnLeaving = func(LeavingEndpoint, string) { heard[i].Add(1) }
		}
		f.relays[5].ReportLeaving(LeavingEndpoint{ID: "e", StartedAt: 7})
		f.relays[0].PlanLightLoad(9, &rollout.LightLoad{Routes: []catalog.RouteName{"r"}, Start: 0.6, By: "b"})
		f.relays[8].PlanLightLoad(9, &rollout.LightLoad{Routes: []catalog.RouteName{"r"}, Start: 0.6, By: "a"})
		time.Sleep(1500 * time.Millisecond)
		for i, r := range f.relays {
			if n := heard[i].Load(); n != 1 && i != 5 {
				t.Errorf("%s heard %d times that an endpoint is leaving", r.Self().Name, n)
			}
			if !r.PartQuarantined("deadly") || r.PartQuarantined("system") {
				t.Errorf("%s: deadly %v, system %v", r.Self().Name, r.PartQuarantined("deadly"), r.PartQuarantined("system"))
			}
			if r.Verdict("d") != quarantine.VerdictQuarantined || !r.ReleaseStopped(9) {
				t.Errorf("%s has not received the suspicions or the stop", r.Self().Name)
			}
			if plan := r.LightLoad(9); plan == nil || plan.By != "a" {
				t.Errorf("%s has the plan %+v", r.Self().Name, plan)
			}
		}
	})
}

// TestLoads checks that every instance learns the in-flight requests of all others, each
// counted once, whichever instance is the zone's reader.
func TestLoads(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context) {
		var mu sync.Mutex
		remote := map[string]int{}
		f := newConfiguredFleet(ctx, 3, 4, func(i int, r *Relay) {
			r.LocalLoads = func() loadlist.Loads {
				r.InstanceCount() // The endpoint tracker calls this while it holds its lock.
				return loadlist.Loads{InFlight: loadlist.Counts{"e": i + 1}, Failures: loadlist.Counts{"e": 100 * (i + 1)}}
			}
			r.OnRemoteLoads = func(others loadlist.Loads) {
				mu.Lock()
				defer mu.Unlock()
				remote[r.Self().Name] = others.InFlight["e"]
				if others.Failures["e"] != 100*others.InFlight["e"] {
					t.Errorf("%s: %+v", r.Self().Name, others)
				}
			}
		})
		time.Sleep(6 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		for i, r := range f.relays {
			if want := 12*13/2 - (i + 1); remote[r.Self().Name] != want {
				t.Errorf("%s (rank %d) counts %d requests of the others, want %d", r.Self().Name, r.Rank(), remote[r.Self().Name], want)
			}
		}
	})
}

// TestLoadsBandwidth checks that load lists for many endpoints stay within the bandwidth
// target and that the loads known to each instance still are roughly right.
func TestLoadsBandwidth(t *testing.T) {
	const endpoints, instances, target = 600, 12, 24_000 // bytes a second for one instance
	inVirtualTime(t, func(ctx context.Context) {
		random := rand.New(rand.NewPCG(1, 2))
		var mu sync.Mutex
		counts := make([]map[routing.EndpointID]int, instances)
		remote := make([]map[routing.EndpointID]int, instances)
		f := newConfiguredFleet(ctx, 2, instances/2, func(i int, r *Relay) {
			counts[i] = map[routing.EndpointID]int{}
			r.LocalLoads = func() loadlist.Loads {
				mu.Lock()
				defer mu.Unlock()
				return loadlist.Loads{InFlight: maps.Clone(counts[i])}
			}
			r.OnRemoteLoads = func(others loadlist.Loads) {
				mu.Lock()
				defer mu.Unlock()
				remote[i] = others.InFlight
			}
		})
		// 2,400 requests a second of two seconds each: eight in flight per endpoint.
		go func() {
			for ctx.Err() == nil {
				for range 24 {
					i, id := random.IntN(instances), routing.EndpointID(fmt.Sprintf("i-%010d", random.IntN(endpoints)))
					mu.Lock()
					counts[i][id]++
					mu.Unlock()
					time.AfterFunc(2*time.Second, func() {
						mu.Lock()
						defer mu.Unlock()
						if counts[i][id]--; counts[i][id] == 0 {
							delete(counts[i], id)
						}
					})
				}
				time.Sleep(10 * time.Millisecond)
			}
		}()
		time.Sleep(10 * time.Second)
		f.mu.Lock()
		clear(f.bytes)
		f.mu.Unlock()
		time.Sleep(10 * time.Second)
		f.mu.Lock()
		for i, r := range f.relays {
			if sent := f.bytes[r.Self().Address] / 10; r.Rank() > 0 && sent > target {
				t.Errorf("instance %d: %d bytes a second, target %d", i, sent, target)
			}
		}
		f.mu.Unlock()
		mu.Lock()
		defer mu.Unlock()
		for i := range remote {
			deviation, sum := 0, 0
			for e := range endpoints {
				id, others := routing.EndpointID(fmt.Sprintf("i-%010d", e)), 0
				for j := range counts {
					if j != i {
						others += counts[j][id]
					}
				}
				deviation += max(others-remote[i][id], remote[i][id]-others)
				sum += others
			}
			if deviation*3 > sum {
				t.Errorf("instance %d deviates by %d of %d requests", i, deviation, sum)
			}
		}
	})
}

// TestPeersReconnect cuts the members of a zone off from each other for a while, so that each
// considers the others lost. Afterwards only one member per zone must be the reader.
func TestPeersReconnect(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context) {
		f := newFleet(ctx, 2, 3)
		time.Sleep(4 * time.Second)
		f.mu.Lock()
		f.dropped = func(from, to string) bool { return from[:2] == to[:2] }
		f.mu.Unlock()
		time.Sleep(3 * time.Second)
		f.mu.Lock()
		f.dropped = func(string, string) bool { return false }
		f.mu.Unlock()
		time.Sleep(6 * time.Second)
		readers := 0
		for _, r := range f.relays {
			if r.Rank() == 0 {
				readers++
			}
		}
		if readers != 2 {
			t.Errorf("%d readers in two zones", readers)
		}
	})
}
