package fairshare

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/loadlist"
	"foxtailbridge/policy/ticket"
)

const (
	fleetSlots = 300
	slotTime   = clock.Second / 2
	// fleetRate is the number of requests that the fleet's endpoints serve in a second.
	fleetRate  = fleetSlots * float64(clock.Second) / float64(slotTime)
	fleetStep  = 10 * clock.Millis(1)
	fleetTells = 300 * clock.Millis(1)
	// recordDelay is the time until others have what an instance tells.
	recordDelay = 700 * clock.Millis(1)
)

// fleet is a number of instances with one service, whose endpoints are one queue.
type fleet struct {
	limiters []*Limiter
	random   *rand.Rand
	now      clock.Millis
	inFlight int
	// cut is true while instances learn nothing of each other.
	cut  bool
	sent []toldDemand
	// offered and admitted count requests by group since the last reset.
	offered, admitted map[Group]int
	// letIn counts the requests that the limiters admitted, total those that ran.
	letIn, total int
	// onRefusal is called for each request that doesn't run; it may be nil.
	onRefusal func(r Request, instance int)
	timeLeft  clock.Millis
}

// toldDemand is what all instances told at some time.
type toldDemand struct {
	at   clock.Millis
	each []loadlist.Sum
	sum  loadlist.Sum
}

func newFleet(instances int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(1, uint64(instances))), now: clock.Minute, timeLeft: 10 * clock.Second}
	for range instances {
		f.limiters = append(f.limiters, NewLimiter("s"))
	}
	f.reset()
	return f
}

func (f *fleet) reset() {
	f.offered, f.admitted, f.letIn, f.total = map[Group]int{}, map[Group]int{}, 0, 0
}

func (f *fleet) capacity() Capacity {
	const places = 1.3 * fleetSlots
	return Capacity{Slots: fleetSlots, Places: places, Room: max(0, places-float64(f.inFlight)), SlotTime: slotTime}
}

// offer sends a request to an instance and reports whether it runs.
func (f *fleet) offer(r Request, instance int) bool {
	c := f.capacity()
	f.offered[r.Group]++
	d := f.limiters[instance].Decide(r, c, len(f.limiters), Time{f.now, f.now})
	if d.Admitted {
		f.letIn++
	}
	// As at the endpoints, more urgent requests may queue further.
	if places := (1.3 + 0.12*float64(3-r.Rank)) * fleetSlots; !d.Admitted || float64(f.inFlight) >= places {
		if f.onRefusal != nil {
			f.onRefusal(r, instance)
		}
		return false
	}
	f.inFlight++
	f.admitted[r.Group]++
	f.total++
	return true
}

// run advances the fleet, with requests of each group at random times.
func (f *fleet) run(span clock.Millis, demand Rates, each func()) {
	groups := slices.SortedFunc(maps.Keys(demand), func(a, b Group) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
	for end := f.now + span; f.now < end; f.now += fleetStep {
		for range min(f.inFlight, fleetSlots) {
			if f.random.Float64() < float64(fleetStep)/float64(slotTime) {
				f.inFlight--
			}
		}
		if f.now%fleetTells == 0 {
			f.exchange()
		}
		var list []Group
		for _, g := range groups {
			for rate := demand[g] * Rate(fleetStep) / Rate(clock.Second); rate > 0; rate-- {
				if f.random.Float64() < float64(rate) {
					list = append(list, g)
				}
			}
		}
		f.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		for _, g := range list {
			f.offer(Request{Group: g, Content: f.random.Uint64(), TimeLeft: f.timeLeft}, f.random.IntN(len(f.limiters)))
		}
		if each != nil {
			each()
		}
	}
}

func (f *fleet) exchange() {
	told := toldDemand{at: f.now, sum: loadlist.Sum{}}
	for _, l := range f.limiters {
		own := loadlist.Sum{}
		l.AddReport(own, f.now)
		told.each = append(told.each, own)
		told.sum.Add(own)
	}
	f.sent = append(f.sent, told)
	for len(f.sent) > 1 && f.sent[1].at <= f.now-recordDelay {
		f.sent = f.sent[1:]
	}
	if f.cut || f.sent[0].at > f.now-recordDelay {
		return
	}
	for i, l := range f.limiters {
		others := f.sent[0].sum.Clone()
		for key, n := range f.sent[0].each[i] {
			others[key] -= n
		}
		l.SetPeers(others, f.now)
	}
}

// served returns the part of a group's requests that ran.
func (f *fleet) served(g Group) float64 {
	return float64(f.admitted[g]) / float64(max(1, f.offered[g]))
}

func workspace(i, rank int) Group {
	return Group{ticket.WorkspaceName(fmt.Sprint("w", i)), catalog.Rank(rank)}
}

var fleetSizes = []int{18, 140}

// TestNoisyNeighbour guards against a workspace that sends 7.5 times its usual load and takes
// the capacity of others: without a limit all lose the same part. The workspaces under their
// share keep theirs; if the instances don't know each other's demand, they get a larger part than
// the noisy one.
func TestNoisyNeighbour(t *testing.T) {
	for _, instances := range fleetSizes {
		for _, cut := range []bool{false, true} {
			f := newFleet(instances)
			f.cut = cut
			demand := Rates{}
			for i := range 24 {
				demand[workspace(i, 1)] = 22
			}
			noisy := workspace(0, 1)
			f.run(2*clock.Second, demand, nil)
			demand[noisy] *= 7.5
			demand[workspace(2, 1)] *= 3
			f.run(2*clock.Second, demand, nil)
			f.reset()
			f.run(4*clock.Second, demand, nil)
			least, ran, offered := 1.0, 0, 0
			for i := 3; i < 24; i++ {
				g := workspace(i, 1)
				least, ran, offered = min(least, f.served(g)), ran+f.admitted[g], offered+f.offered[g]
			}
			mean := float64(ran) / float64(offered)
			t.Logf("%d instances, cut off %v: noisy %.2f, others %.2f, at least %.2f, %d of %.0f served", instances, cut, f.served(noisy), mean, least, f.total, 4*fleetRate)
			if !cut && least < 0.9 || mean < f.served(noisy)+0.05 || float64(f.total) < 0.85*4*fleetRate {
				t.Errorf("%d instances, cut off %v: workspaces under their share got %.2f, one %.2f, the noisy one %.2f, %d requests ran", instances, cut, mean, least, f.served(noisy), f.total)
			}
		}
	}
}

// TestPriorityInversion guards against a surge of low rank that takes the capacity of urgent
// requests, and against an urgent surge that starves the others.
func TestPriorityInversion(t *testing.T) {
	for _, instances := range fleetSizes {
		f := newFleet(instances)
		demand := Rates{}
		for i := range 12 {
			demand[workspace(i, 0)], demand[workspace(i, 2)] = 20, 65
		}
		f.run(2*clock.Second, demand, nil)
		f.reset()
		f.run(4*clock.Second, demand, nil)
		t.Logf("%d instances: urgent %.2f, others %.2f", instances, f.served(workspace(0, 0)), f.served(workspace(0, 2)))
		for i := range 12 {
			if got := f.served(workspace(i, 0)); got < 0.97 {
				t.Errorf("%d instances: %.2f of urgent requests ran in a surge of others", instances, got)
			}
		}
		for i := range 12 {
			demand[workspace(i, 0)], demand[workspace(i, 2)] = 70, 30
		}
		f.run(2*clock.Second, demand, nil)
		f.reset()
		f.run(8*clock.Second, demand, nil)
		urgent, others := 0, 0
		for i := range 12 {
			urgent, others = urgent+f.admitted[workspace(i, 0)], others+f.admitted[workspace(i, 2)]
		}
		t.Logf("%d instances: %d urgent, %d others", instances, urgent, others)
		if 4*others < urgent {
			t.Errorf("%d instances: %d requests of low rank ran beside %d urgent ones", instances, others, urgent)
		}
	}
}

// TestOvershoot checks the bound on what instances let in too much while they do not yet know of
// a surge: the surge times the age of what they know.
func TestOvershoot(t *testing.T) {
	for _, instances := range fleetSizes {
		f := newFleet(instances)
		demand := Rates{}
		for i := range 24 {
			demand[workspace(i, 1)] = 30
		}
		f.run(4*clock.Second, demand, nil) // Short of capacity before the surge.
		const factor = 2.6
		for g := range demand {
			demand[g] *= factor
		}
		f.reset()
		f.run(4*clock.Second, demand, nil)
		// The demand known is up to a record's delay, an exchange and half a window old.
		age := recordDelay + fleetTells + window/2
		bound := (maxGain*factor - 1) * fleetRate * float64(age) / float64(clock.Second)
		excess := float64(f.letIn) - 4*fleetRate
		t.Logf("%d instances: %.0f more than served, bound %.0f", instances, excess, bound)
		if excess > bound {
			t.Errorf("%d instances: %.0f requests too many, bound %.0f", instances, excess, bound)
		}
	}
}

// TestRetryStorm guards against callers that send a refused request again at once and often, and
// so displace those of their own workspace that return once, after half a second.
func TestRetryStorm(t *testing.T) {
	for _, instances := range fleetSizes {
		f := newFleet(instances)
		type caller struct {
			Request
			stormy, done bool
			tries        int
			nextAt       clock.Millis
		}
		var callers []*caller
		demand := Rates{workspace(0, 1): 1500, workspace(1, 1): 300}
		f.run(4*clock.Second, demand, func() {
			if f.now < clock.Minute+2*clock.Second {
				return
			}
			for _, stormy := range []bool{true, false, false, false, false} {
				callers = append(callers, &caller{Request: Request{Group: workspace(0, 1), Content: f.random.Uint64(), TimeLeft: 10 * clock.Second}, stormy: stormy, nextAt: f.now})
			}
			for _, c := range callers {
				if limit := map[bool]int{true: 20, false: 2}[c.stormy]; c.done || c.tries >= limit || f.now < c.nextAt {
					continue
				}
				c.done = f.offer(c.Request, f.random.IntN(instances))
				c.tries++
				c.nextAt = f.now + map[bool]clock.Millis{true: 30, false: drawPeriod + 100}[c.stormy]
			}
		})
		part := func(stormy bool) float64 {
			all, done := 0, 0
			for _, c := range callers {
				if c.stormy == stormy && f.now-c.nextAt > drawPeriod {
					all++
					if c.done {
						done++
					}
				}
			}
			return float64(done) / float64(max(1, all))
		}
		t.Logf("%d instances: %.2f of stormy callers, %.2f of patient ones", instances, part(true), part(false))
		if part(true) > 1.5*part(false) {
			t.Errorf("%d instances: %.2f of the callers that retry at once were served, %.2f of the patient ones", instances, part(true), part(false))
		}
	}
}
