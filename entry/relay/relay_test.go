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
	"foxtailbridge/policy/quarantine"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// fleet is a number of relays in one process, over a network with cuts.
type fleet struct {
	// mu guards handlers, cut, lost and deaf.
	mu       sync.Mutex
	handlers map[string]http.Handler
	relays   []*Relay
	stores   []*registry.Registry
	// cut reports whether two addresses cannot reach each other.
	cut func(from, to string) bool
	// lost reports whether the answers to an address are lost; the questions arrive.
	lost func(to string) bool
	// deaf reports whether the store turns an instance away.
	deaf  func(name string) bool
	reads atomic.Int64
	// bytes counts what each address got and answered.
	bytes map[string]int
	// offset is the end of the orders feed at the store, rollout the offset of the order
	// of a roll-out there, or 0.
	offset, rollout atomic.Int64
	// delay is how long a question takes on its way.
	delay time.Duration
	// runs counts the starts of each instance.
	runs map[string]int
	// prepare sets a relay's functions before it runs.
	prepare func(i int, r *Relay)
}

var errCutOff = errors.New("cut off")

// wire is an http client of one instance.
type wire struct {
	fleet *fleet
	from  string
}

func (w wire) Do(r *http.Request) (*http.Response, error) {
	w.fleet.mu.Lock()
	handler := w.fleet.handlers[r.URL.Host]
	off := handler == nil || w.fleet.cut(w.from, r.URL.Host)
	w.fleet.mu.Unlock()
	if off {
		return nil, errCutOff
	}
	time.Sleep(w.fleet.delay)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, r)
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if w.fleet.lost(w.from) {
		return nil, errCutOff
	}
	for _, address := range []string{w.from, r.URL.Host} {
		w.fleet.bytes[address] += int(r.ContentLength) + recorder.Body.Len()
	}
	return recorder.Result(), nil
}

func newFleet(ctx context.Context, zones, perZone int) *fleet {
	return newPreparedFleet(ctx, zones, perZone, func(int, *Relay) {})
}

func newPreparedFleet(ctx context.Context, zones, perZone int, prepare func(i int, r *Relay)) *fleet {
	f := &fleet{handlers: map[string]http.Handler{}, bytes: map[string]int{}, runs: map[string]int{}, cut: func(string, string) bool { return false }, lost: func(string) bool { return false }, deaf: func(string) bool { return false }, prepare: prepare}
	f.offset.Store(1)
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
			return registry.Object{Order: &catalog.Order{Number: catalog.OrderNumber(r.Offset), Service: "s", Target: "v2", Duration: orderSpan}}, nil
		}
		return registry.Object{Config: catalog.NewConfig(catalog.Revision(r.Offset), nil, nil, nil, false, catalog.Limits{})}, nil
	}
	f.runs[name]++
	relay := New(Member{Name: name, Zone: zone, Address: name, RunID: fmt.Sprint(f.runs[name])}, seeds, Dependencies{
		Registry: store, Client: wire{f, name}, Clock: c, Random: rand.New(rand.NewPCG(1, 2)), Logger: hclog.NewNullLogger(), Scope: tally.NoopScope,
	})
	f.prepare(len(f.relays), relay)
	path, handler := relay.Handler()
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	f.mu.Lock()
	f.handlers[name] = mux
	f.mu.Unlock()
	f.relays = append(f.relays, relay)
	f.stores = append(f.stores, store)
	follower := NewFeedReader(relay)
	follower.ReadAll = func(_ context.Context, feed registry.Feed) (registry.Batch, error) {
		return f.read(name, feed, 0, true)
	}
	follower.ReadSince = func(ctx context.Context, feed registry.Feed, from registry.Offset, wait clock.Millis) (registry.Batch, bool, error) {
		until := time.Now().Add(wait.Duration())
		for registry.Offset(f.offset.Load()) <= from && time.Now().Before(until) && ctx.Err() == nil {
			time.Sleep(5 * time.Millisecond)
		}
		b, err := f.read(name, feed, from, false)
		return b, false, err
	}
	go relay.Run(ctx)
	for _, feed := range registry.Feeds {
		go follower.Run(ctx, feed)
	}
}

func (f *fleet) read(name string, feed registry.Feed, from registry.Offset, whole bool) (registry.Batch, error) {
	f.reads.Add(1)
	f.mu.Lock()
	deaf := f.deaf(name)
	f.mu.Unlock()
	if deaf {
		return registry.Batch{}, errCutOff
	}
	b := registry.Batch{Feed: feed, From: from, Full: whole}
	if feed == registry.FeedOrders {
		b.Head = registry.Offset(f.offset.Load())
		if b.Head > from {
			b.Records = []registry.Record{{Feed: feed, Key: "config", Offset: b.Head - 1, Value: []byte("x")}}
		}
		if at := registry.Offset(f.rollout.Load()); at > 0 && at >= from {
			b.Records = slices.Insert(b.Records, 0, registry.Record{Feed: feed, Key: "rollout", Offset: at, Value: []byte("x")})
		}
	}
	return b, nil
}

func (f *fleet) behind(revision catalog.Revision) int {
	count := 0
	for _, s := range f.stores {
		if c := s.View().Config; c == nil || c.Revision < revision {
			count++
		}
	}
	return count
}

// TestDutyRanks: only readers have the evidence for a duty, so the first in line
// is a reader, and no place before the last reader is another's.
func TestDutyRanks(t *testing.T) {
	inBubble(t, func(ctx context.Context) {
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
					t.Errorf("duty %s: no reader has place %d: %v", duty, rank, seen)
				}
			}
		}
	})
}

// TestHolds has instances of all zones tell of sessions at the same time: all
// know of all before a canary begins.
func TestHolds(t *testing.T) {
	inBubble(t, func(ctx context.Context) {
		f := newFleet(ctx, 4, 5)
		time.Sleep(10 * time.Second)
		for i, r := range f.relays {
			r.HoldSession(SessionHold{Order: 3, Session: uint64(i)})
		}
		time.Sleep(1300 * time.Millisecond)
		for i, r := range f.relays {
			for session := range f.relays {
				if !r.SessionHeld(SessionHold{Order: 3, Session: uint64(session)}) {
					t.Errorf("instance %d does not know what instance %d told", i, session)
				}
			}
		}
		for _, r := range f.relays {
			r.ForgetOrder(3)
		}
		time.Sleep(2 * time.Second)
		for _, r := range f.relays {
			if len(r.holds)+len(r.held) > 0 {
				t.Error("holds of an order that is over are kept")
			}
		}
	})
}

// TestTwoReadersMeet has a zone in two parts with a reader each, of which only the
// first in line has once heard of the other: no member list takes them to each other.
func TestTwoReadersMeet(t *testing.T) {
	inBubble(t, func(ctx context.Context) {
		line := []Member{}
		for i := range 4 {
			name := fmt.Sprint("z0-", i)
			line = append(line, Member{Name: name, Zone: "z0", Address: name, RunID: "1"})
		}
		key := xxhash.Sum64String("z0")
		slices.SortFunc(line, func(a, b Member) int {
			if a.before(b, key) {
				return -1
			}
			return 1
		})
		f := newFleet(ctx, 0, 0)
		f.add(ctx, "z0", line[0].Name, []string{"z1-0"})
		f.add(ctx, "z1", "z1-0", []string{line[0].Name})
		for _, member := range line[1:] {
			f.add(ctx, "z0", member.Name, []string{line[1].Name, "z1-1"})
		}
		f.add(ctx, "z1", "z1-1", []string{line[1].Name})
		time.Sleep(3 * time.Second) // Nothing that is new at the start is left to be spread.
		first := f.relays[0]
		first.members.mu.Lock()
		first.members.learn(MemberEntry{Member: line[1]}, first.parts.Clock.Mono())
		first.members.mu.Unlock()
		// As long as in TestHolds.
		time.Sleep(10 * time.Second)
		for i, r := range f.relays {
			r.HoldSession(SessionHold{Order: 3, Session: uint64(i)})
		}
		time.Sleep(1300 * time.Millisecond)
		for _, r := range f.relays {
			for session, from := range f.relays {
				if !r.SessionHeld(SessionHold{Order: 3, Session: uint64(session)}) {
					t.Errorf("%s does not know what %s told", r.Self().Name, from.Self().Name)
				}
			}
		}
	})
}

// Guards against news that an instance never hears of because the answer with them was
// lost on its way: they counted as told once they were written down.
func TestNewsInALostAnswer(t *testing.T) {
	inBubble(t, func(ctx context.Context) {
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
		// Nothing reaches the member, whose own questions arrive.
		f.cut = func(_, address string) bool { return address == to }
		f.lost = func(address string) bool { return address == to }
		f.mu.Unlock()
		hold := SessionHold{Order: 3, Session: 1}
		reader.HoldSession(hold)
		for i := range 3 {
			reader.ReportSuspicion(quarantine.Suspicion{Digest: "d", Crash: quarantine.CrashID(fmt.Sprint("e", i))})
		}
		time.Sleep(3 * time.Second)
		f.mu.Lock()
		f.cut = func(string, string) bool { return false }
		f.lost = func(string) bool { return false }
		f.mu.Unlock()
		time.Sleep(3 * time.Second)
		if !member.SessionHeld(hold) {
			t.Error("the member does not know of the session")
		}
		if member.Verdict("d") != quarantine.VerdictQuarantined {
			t.Error("the member does not know of the request that crashes endpoints")
		}
	})
}

// TestForgetDuringAMessage has an order end while a message with its holds waits to
// be encoded.
func TestForgetDuringAMessage(t *testing.T) {
	inBubble(t, func(ctx context.Context) {
		f := newFleet(ctx, 1, 2)
		time.Sleep(10 * time.Second)
		r := f.relays[0]
		for i := range 6 {
			r.HoldSession(SessionHold{Order: catalog.OrderNumber(1 + i%2), Session: uint64(i)})
		}
		m := r.message(f.relays[1].Self().Name, r.parts.Clock.Mono(), false)
		r.ForgetOrder(1)
		if len(m.Holds) != 6 {
			t.Fatalf("%d holds told, want 6", len(m.Holds))
		}
		for i, h := range m.Holds {
			if h.Session != uint64(i) {
				t.Errorf("hold %d became %+v", i, h)
			}
		}
	})
}

// inBubble runs a test in virtual time and ends the fleet with it.
func inBubble(t *testing.T, run func(ctx context.Context)) {
	synctest.Test(t, func(_ *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		run(ctx)
		cancel()
		time.Sleep(10 * time.Second)
	})
}

func TestNewestConfiguration(t *testing.T) {
	rows := []struct {
		name   string
		cut    func(from, to string) bool
		deaf   func(name string) bool
		within time.Duration
		left   int
	}{
		{"calm", nil, nil, 700 * time.Millisecond, 0},
		{"the store turns a third of the machines away", nil, func(n string) bool { return n[3] == '0' || n == "z0-1" }, 1900 * time.Millisecond, 0},
		{"a whole zone is turned away", nil, func(n string) bool { return n[:2] == "z1" }, 1900 * time.Millisecond, 0},
		{"two zones cannot reach each other and one has no store", func(from, to string) bool {
			return from[:2] != to[:2] && from[:2] != "z2" && to[:2] != "z2"
		}, func(n string) bool { return n[:2] == "z1" }, 1900 * time.Millisecond, 0},
		{"one machine is cut from the others, not from the store", func(from, to string) bool { return from == "z0-2" || to == "z0-2" }, nil, 1900 * time.Millisecond, 0},
		{"one machine is cut from all", func(from, to string) bool { return from == "z0-2" || to == "z0-2" }, func(n string) bool { return n == "z0-2" }, 1900 * time.Millisecond, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			inBubble(t, func(ctx context.Context) {
				f := newFleet(ctx, 3, 3)
				time.Sleep(4 * time.Second)
				f.mu.Lock()
				if row.cut != nil {
					f.cut = row.cut
				}
				if row.deaf != nil {
					f.deaf = row.deaf
				}
				f.mu.Unlock()
				time.Sleep(5 * time.Second)
				f.offset.Add(1)
				time.Sleep(row.within)
				if n := f.behind(1); n != row.left {
					t.Errorf("%d instances lack the newest configuration after %v", n, row.within)
				}
			})
		})
	}
}

// TestCallsToTheStore bounds what the fleet asks the store for: the readers' calls,
// whatever the number of machines in a zone.
func TestCallsToTheStore(t *testing.T) {
	inBubble(t, func(ctx context.Context) {
		f := newFleet(ctx, 3, 12)
		time.Sleep(5 * time.Second)
		before := f.reads.Load()
		time.Sleep(20 * time.Second)
		calls := float64(f.reads.Load()-before) / 20
		// A zone's reader reads endpoints each 0.8 s and orders each 1.5 s.
		if calls > 3*2.2 {
			t.Errorf("%.1f calls a second for three zones", calls)
		}
	})
}

func TestEvidence(t *testing.T) {
	Convey("Readers sum their zones, and a new reader does not count twice", t, func() {
		inBubble(t, func(ctx context.Context) {
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
					lives := f.handlers[r.Self().Name] != nil
					f.mu.Unlock()
					if r.Rank() == 0 && lives {
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
					f.cut = func(from, to string) bool { return from == dead || to == dead }
					f.mu.Unlock()
				}
			}
			time.Sleep(8 * time.Second)
			check(6)
		})
	})
}

func TestSuspicions(t *testing.T) {
	inBubble(t, func(ctx context.Context) {
		f := newFleet(ctx, 3, 3)
		time.Sleep(4 * time.Second)
		for i := range 3 {
			f.relays[i*3].ReportSuspicion(quarantine.Suspicion{Digest: "d", Crash: quarantine.CrashID(fmt.Sprint("e", i))})
		}
		f.relays[4].StopRelease(9, "evidence")
		time.Sleep(1500 * time.Millisecond)
		for _, r := range f.relays {
			if r.Verdict("d") != quarantine.VerdictQuarantined || !r.ReleaseStopped(9) {
				t.Errorf("%s has not heard", r.Self().Name)
			}
		}
	})
}

// TestLoads checks that every instance learns what all others have at endpoints,
// each request counted once, whoever reads for a zone.
func TestLoads(t *testing.T) {
	inBubble(t, func(ctx context.Context) {
		var mu sync.Mutex
		heard := map[string]int{}
		f := newPreparedFleet(ctx, 3, 4, func(i int, r *Relay) {
			r.LocalLoads = func() map[routing.EndpointID]int {
				r.InstanceCount() // The pool asks this while it holds its lock.
				return map[routing.EndpointID]int{"e": i + 1}
			}
			r.OnRemoteLoads = func(others map[routing.EndpointID]int) {
				mu.Lock()
				defer mu.Unlock()
				heard[r.Self().Name] = others["e"]
			}
		})
		time.Sleep(6 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		for i, r := range f.relays {
			if want := 12*13/2 - (i + 1); heard[r.Self().Name] != want {
				t.Errorf("%s (rank %d) takes the others for %d, want %d", r.Self().Name, r.Rank(), heard[r.Self().Name], want)
			}
		}
	})
}

// TestPeersMeetAgain cuts the members of a zone from each other for a while, so
// that each takes the others for lost: afterwards one of them reads again.
func TestLoadsInFewBytes(t *testing.T) {
	const endpoints, instances, target = 600, 12, 24_000 // bytes a second for one instance
	inBubble(t, func(ctx context.Context) {
		random := rand.New(rand.NewPCG(1, 2))
		var mu sync.Mutex
		counts := make([]map[routing.EndpointID]int, instances)
		heard := make([]map[routing.EndpointID]int, instances)
		f := newPreparedFleet(ctx, 2, instances/2, func(i int, r *Relay) {
			counts[i] = map[routing.EndpointID]int{}
			r.LocalLoads = func() map[routing.EndpointID]int {
				mu.Lock()
				defer mu.Unlock()
				return maps.Clone(counts[i])
			}
			r.OnRemoteLoads = func(others map[routing.EndpointID]int) {
				mu.Lock()
				defer mu.Unlock()
				heard[i] = others
			}
		})
		// 2,400 requests a second of two seconds each: eight at an endpoint.
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
		for i := range heard {
			off, sum := 0, 0
			for e := range endpoints {
				id, others := routing.EndpointID(fmt.Sprintf("i-%010d", e)), 0
				for j := range counts {
					if j != i {
						others += counts[j][id]
					}
				}
				off += max(others-heard[i][id], heard[i][id]-others)
				sum += others
			}
			if off*3 > sum {
				t.Errorf("instance %d is off by %d of %d requests", i, off, sum)
			}
		}
	})
}

func TestPeersMeetAgain(t *testing.T) {
	inBubble(t, func(ctx context.Context) {
		f := newFleet(ctx, 2, 3)
		time.Sleep(4 * time.Second)
		f.mu.Lock()
		f.cut = func(from, to string) bool { return from[:2] == to[:2] }
		f.mu.Unlock()
		time.Sleep(3 * time.Second)
		f.mu.Lock()
		f.cut = func(string, string) bool { return false }
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
