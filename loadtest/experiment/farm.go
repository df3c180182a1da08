package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"foxtailbridge/policy/admission"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// BalancingPolicy names a way to choose endpoints and to admit requests.
type BalancingPolicy string

// Ways to choose endpoints.
const (
	// BalancingRouter is routing.Pool behind an admission.Limiter per instance.
	BalancingRouter BalancingPolicy = "foxtailbridge"
	// BalancingRoundRobin sends to each endpoint in turn, without admission.
	BalancingRoundRobin BalancingPolicy = "round-robin"
	// BalancingLeastReported sends to the endpoint with the least reported load, without admission.
	BalancingLeastReported BalancingPolicy = "least-loaded-by-report"
)

// FarmLoad describes engines, instances and the requests that they get.
type FarmLoad struct {
	Seed      uint64
	Instances int
	Engines   int
	Slots     int
	// LoadFactor is the offered load as a share of what the engines can carry.
	LoadFactor float64
	// Duration is how long requests arrive.
	Duration clock.Millis
	// UrgentShare is the share of phone callers; the rest are audits.
	UrgentShare float64
	// ReportLag is the age of load reports.
	ReportLag clock.Millis
	// FirstToken is the time to the first token, CachedFirst with a cached prefix.
	FirstToken, CachedFirstToken clock.Millis
	// TokenInterval is the time between tokens, Tokens the mean length of an answer.
	TokenInterval clock.Millis
	MeanTokens    int
	// Prefixes is the number of prompt prefixes, and Cache how many an engine keeps.
	Prefixes, CacheSize int
	// UrgentDeadline is when a phone caller gives up; audits wait.
	UrgentDeadline clock.Millis
	// AuditDeadline is when an audit must have begun.
	AuditDeadline clock.Millis
	// CallerRetries is how often a caller sends a refused or late request again.
	CallerRetries int
}

// DefaultFarmLoad is twenty engines before eight instances, as at Kylmäkiertö.
func DefaultFarmLoad(seed uint64, capacity float64) FarmLoad {
	return FarmLoad{
		Seed: seed, Instances: 8, Engines: 20, Slots: 8, LoadFactor: capacity, Duration: 4 * clock.Minute,
		UrgentShare: 0.3, ReportLag: 500, FirstToken: 200, CachedFirstToken: 80, TokenInterval: 20, MeanTokens: 60,
		Prefixes: 2000, CacheSize: 150, UrgentDeadline: 8 * clock.Second, AuditDeadline: clock.Hour,
	}
}

// FarmResult is what callers saw.
type FarmResult struct {
	Policy BalancingPolicy
	// UrgentFirstToken and AuditFirst are times to the first token, and UrgentTotal
	// and AuditTotal to the last, in milliseconds.
	UrgentFirstToken, AuditFirstToken, UrgentTotal, AuditTotal *hdrhistogram.Histogram
	// Offered counts distinct requests, Answered those answered in time.
	Offered, Answered int
	// UrgentOffered and UrgentAnswered count the phone callers'.
	UrgentOffered, UrgentAnswered int
	// AuditsLost counts audits that were never answered.
	AuditsLost int
	// AnsweredDuringLoad counts the answers that ended while requests still arrived.
	AnsweredDuringLoad int
	// Dispatched counts what reached engines, with retries.
	Dispatched int
	// Shed counts refusals.
	Shed int
	// CacheHits counts dispatches whose prefix was cached.
	CacheHits int
	// LoadImbalance is the highest mean load of an engine over the lowest.
	LoadImbalance float64
}

// String formats the result as a row.
func (r FarmResult) String() string {
	p := func(h *hdrhistogram.Histogram, q float64) int64 { return h.ValueAtQuantile(q) }
	return fmt.Sprintf("%-22s phone first p50=%d p95=%d p99=%d total p95=%d | audit first p50=%d p95=%d | phone answered %d/%d audits lost=%d shed=%d amplification=%.3f hits=%.2f spread=%.2f",
		r.Policy, p(r.UrgentFirstToken, 50), p(r.UrgentFirstToken, 95), p(r.UrgentFirstToken, 99), p(r.UrgentTotal, 95),
		p(r.AuditFirstToken, 50), p(r.AuditFirstToken, 95), r.UrgentAnswered, r.UrgentOffered, r.AuditsLost, r.Shed,
		r.Amplification(), float64(r.CacheHits)/float64(max(1, r.Dispatched)), r.LoadImbalance)
}

// Amplification returns the dispatches for each answer in time.
func (r FarmResult) Amplification() float64 {
	return float64(r.Dispatched) / float64(max(1, r.Answered))
}

// Goodput returns the answers in time a second, while requests arrived.
func (r FarmResult) Goodput(span clock.Millis) float64 {
	return float64(r.AnsweredDuringLoad) / (float64(span) / float64(clock.Second))
}

// farmRequest is one request of a caller.
type farmRequest struct {
	urgent   bool
	prefix   uint64
	arrived  clock.Millis
	deadline clock.Millis
	tokens   int
	retries  int
	instance int
	item     admission.RequestID
	started  clock.Millis
	counted  bool
}

// farmEngine is an engine with slots, a queue by priority and a cache of prefixes.
type farmEngine struct {
	endpoints []*routing.Endpoint
	running   int
	waiting   []*farmRequest
	cache     []uint64
	busy      float64
}

func (e *farmEngine) cached(prefix uint64, size int) bool {
	at := slices.Index(e.cache, prefix)
	if at >= 0 {
		e.cache = slices.Delete(e.cache, at, at+1)
	} else if len(e.cache) >= size {
		e.cache = e.cache[1:]
	}
	e.cache = append(e.cache, prefix)
	return at >= 0
}

// farmEvent is something that happens at a time.
type farmEvent struct {
	at  clock.Millis
	seq int
	run func()
}

type farmEvents []farmEvent

func (h farmEvents) Len() int { return len(h) }
func (h farmEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h farmEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *farmEvents) Push(x any)   { *h = append(*h, x.(farmEvent)) }
func (h *farmEvents) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// farm carries one policy over the load.
type farm struct {
	load    FarmLoad
	policy  BalancingPolicy
	random  *rand.Rand
	choices *rand.Rand
	now     clock.Millis
	events  farmEvents
	seq     int
	engines []*farmEngine
	pools   []*routing.Pool
	views   [][]*routing.Endpoint
	limits  []*admission.Limiter
	waiting []map[admission.RequestID]*farmRequest
	turn    int
	items   admission.RequestID
	view    *ticket.View
	result  FarmResult
}

const (
	farmVersion   = ticket.VersionRef("m@1")
	farmWorkspace = ticket.WorkspaceName("w")
	farmZone      = ticket.ZoneName("a")
	// farmHeadroom is the admission headroom of an instance over its part of the slots.
	farmHeadroom   = 1.25
	maxRecorded    = int64(clock.Hour)
	drainAfter     = 20 * clock.Minute
	limiterTick    = 50 * clock.Millis(1)
	callerBackoff  = clock.Second
	significantFig = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecorded, significantFig)
}

func farmView() *ticket.View {
	s := ticket.NewState()
	t := &ticket.Ticket{
		Number: 1, Author: "experiment",
		Versions:   []ticket.ModelVersion{{Ref: farmVersion, State: ticket.VersionActive}},
		Workspaces: []ticket.Workspace{{Name: farmWorkspace, State: ticket.LifecycleActive, Allowed: []ticket.VersionRef{farmVersion}}},
	}
	s.Merge(t.Entries(0))
	return s.View()
}

func newFarm(load FarmLoad, policy BalancingPolicy) *farm {
	f := &farm{
		load: load, policy: policy, view: farmView(),
		random:  rand.New(rand.NewPCG(load.Seed, 11)),
		choices: rand.New(rand.NewPCG(load.Seed, 12)),
		result: FarmResult{
			Policy:           policy,
			UrgentFirstToken: newHistogram(), AuditFirstToken: newHistogram(), UrgentTotal: newHistogram(), AuditTotal: newHistogram(),
		},
	}
	for range load.Engines {
		f.engines = append(f.engines, &farmEngine{endpoints: make([]*routing.Endpoint, load.Instances)})
	}
	limit := max(1, int(farmHeadroom*float64(load.Engines*load.Slots)/float64(load.Instances)))
	for i := range load.Instances {
		var view []*routing.Endpoint
		for k, e := range f.engines {
			e.endpoints[i] = &routing.Endpoint{
				ID: routing.EndpointID(fmt.Sprintf("engine-%03d", k)), Zone: farmZone,
				Serves: routing.ServedName(farmVersion), Warm: true, Slots: load.Slots,
			}
			view = append(view, e.endpoints[i])
		}
		f.views = append(f.views, view)
		pool := routing.NewPool(view)
		pool.AssignHomes(farmZone, i, load.Instances)
		f.pools = append(f.pools, pool)
		f.limits = append(f.limits, admission.New(admission.WithLimit(limit), admission.WithQueueSize(1<<20)))
		f.waiting = append(f.waiting, map[admission.RequestID]*farmRequest{})
	}
	return f
}

// RunFarm measures one policy.
func RunFarm(load FarmLoad, policy BalancingPolicy) FarmResult {
	f := newFarm(load, policy)
	f.arrivals()
	f.every(load.ReportLag/2, f.report)
	f.every(limiterTick, f.tick)
	for f.events.Len() > 0 {
		e := heap.Pop(&f.events).(farmEvent)
		f.now = e.at
		e.run()
	}
	f.result.AuditsLost = f.result.Offered - f.result.UrgentOffered - (f.result.Answered - f.result.UrgentAnswered)
	lowest, highest := f.engines[0].busy, f.engines[0].busy
	for _, e := range f.engines {
		lowest, highest = min(lowest, e.busy), max(highest, e.busy)
	}
	f.result.LoadImbalance = highest / max(1, lowest)
	return f.result
}

func (f *farm) at(at clock.Millis, run func()) {
	f.seq++
	heap.Push(&f.events, farmEvent{at: at, seq: f.seq, run: run})
}

func (f *farm) every(period clock.Millis, run func()) {
	var step func()
	step = func() {
		run()
		if f.now < f.load.Duration+drainAfter {
			f.at(f.now+period, step)
		}
	}
	f.at(0, step)
}

// arrivals schedules the callers' requests.
func (f *farm) arrivals() {
	service := float64(f.load.FirstToken) + float64(f.load.MeanTokens)*float64(f.load.TokenInterval)
	capacity := float64(f.load.Engines*f.load.Slots) / service
	var at float64
	for {
		at += f.random.ExpFloat64() / (capacity * f.load.LoadFactor)
		if clock.Millis(at) >= f.load.Duration {
			return
		}
		r := &farmRequest{
			urgent:   f.random.Float64() < f.load.UrgentShare,
			prefix:   1 + uint64(f.random.IntN(f.load.Prefixes)),
			tokens:   1 + int(f.random.ExpFloat64()*float64(f.load.MeanTokens)),
			instance: f.random.IntN(f.load.Instances),
		}
		f.result.Offered++
		if r.urgent {
			f.result.UrgentOffered++
		}
		f.at(clock.Millis(at), func() { f.arrive(r) })
	}
}

func (f *farm) priority(r *farmRequest) ticket.Priority {
	if r.urgent {
		return ticket.PriorityUrgent
	}
	return ticket.PriorityDeferrable
}

func (f *farm) arrive(r *farmRequest) {
	if r.arrived == 0 {
		r.arrived = f.now
	}
	r.deadline = f.now + f.load.AuditDeadline
	if r.urgent {
		r.deadline = f.now + f.load.UrgentDeadline
	}
	if f.policy != BalancingRouter {
		f.dispatch(r)
		return
	}
	f.items++
	r.item = f.items
	decision := f.limits[r.instance].Offer(admission.Request{
		ID: r.item, Workspace: ticket.WorkspaceName(f.priority(r)), Priority: f.priority(r),
		Share: 1, MaxInFlight: 1 << 20, Deadline: r.deadline,
	}, f.now)
	f.waiting[r.instance][r.item] = r
	for _, shed := range decision.Shed {
		f.shed(r.instance, shed)
	}
	if decision.Verdict == admission.VerdictStart {
		delete(f.waiting[r.instance], r.item)
		f.dispatch(r)
	}
}

// shed refuses a request; its caller may send it again.
func (f *farm) shed(instance int, s admission.Shed) {
	r := f.waiting[instance][s.ID]
	delete(f.waiting[instance], s.ID)
	f.result.Shed++
	f.retry(r, max(s.RetryAfter, callerBackoff))
}

func (f *farm) retry(r *farmRequest, wait clock.Millis) {
	if r.retries >= f.load.CallerRetries {
		return
	}
	r.retries++
	f.at(f.now+wait, func() { f.arrive(r) })
}

// tick starts what the instances' limits allow.
func (f *farm) tick() {
	for i := range f.limits {
		f.next(i)
	}
}

func (f *farm) next(instance int) {
	started, dropped := f.limits[instance].StartWaiting(f.now)
	for _, s := range dropped {
		f.shed(instance, s)
	}
	for _, id := range started {
		r := f.waiting[instance][id]
		delete(f.waiting[instance], id)
		f.dispatch(r)
	}
}

// report brings the lagged reports to every instance.
func (f *farm) report() {
	for _, e := range f.engines {
		reported := e.running + len(e.waiting)
		e.busy += float64(min(e.running, f.load.Slots))
		for _, endpoint := range e.endpoints {
			own := endpoint.OwnInFlight
			f.at(f.now+f.load.ReportLag, func() {
				endpoint.ReportedInFlight = reported
				endpoint.OwnAtReport = own
			})
		}
	}
}

func (f *farm) choose(r *farmRequest) int {
	view := f.views[r.instance]
	switch f.policy {
	case BalancingRoundRobin:
		f.turn++
		return f.turn % len(view)
	case BalancingLeastReported:
		best := 0
		for k, e := range view {
			if e.ReportedInFlight < view[best].ReportedInFlight {
				best = k
			}
		}
		return best
	}
	choice := f.pools[r.instance].Choose(&routing.Query{
		View: f.view, Freshness: &routing.Freshness{Zone: farmZone, ConfigFresh: true},
		Workspace: farmWorkspace, Target: routing.Target{Version: farmVersion}, Prefix: r.prefix,
	}, f.choices)
	return slices.Index(view, choice.Endpoint)
}

func (f *farm) dispatch(r *farmRequest) {
	k := f.choose(r)
	e := f.engines[k]
	f.result.Dispatched++
	r.started = f.now
	e.endpoints[r.instance].OwnInFlight++
	if e.running < f.load.Slots {
		f.serve(e, r)
		return
	}
	at := len(e.waiting)
	if f.policy == BalancingRouter && r.urgent {
		for at > 0 && !e.waiting[at-1].urgent {
			at--
		}
	}
	e.waiting = slices.Insert(e.waiting, at, r)
}

func (f *farm) serve(e *farmEngine, r *farmRequest) {
	e.running++
	first := f.load.FirstToken
	if e.cached(r.prefix, f.load.CacheSize) {
		first = f.load.CachedFirstToken
		f.result.CacheHits++
	}
	firstAt := f.now + first
	lastAt := firstAt + clock.Millis(r.tokens)*f.load.TokenInterval
	f.at(lastAt, func() { f.finish(e, r, firstAt) })
}

func (f *farm) finish(e *farmEngine, r *farmRequest, firstAt clock.Millis) {
	e.running--
	e.endpoints[r.instance].OwnInFlight--
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		f.serve(e, next)
	}
	f.record(r, firstAt)
	if f.policy == BalancingRouter {
		f.limits[r.instance].RecordFirstToken(firstAt - r.started)
		f.limits[r.instance].Finish(ticket.WorkspaceName(f.priority(r)), f.now-r.started)
		f.next(r.instance)
	}
}

// record counts an answer; a phone caller that waited too long is not served,
// and tries again if its retries are not used up.
func (f *farm) record(r *farmRequest, firstAt clock.Millis) {
	first, total := f.result.AuditFirstToken, f.result.AuditTotal
	if r.urgent {
		first, total = f.result.UrgentFirstToken, f.result.UrgentTotal
	}
	_ = first.RecordValue(min(int64(firstAt-r.arrived), maxRecorded))
	_ = total.RecordValue(min(int64(f.now-r.arrived), maxRecorded))
	if firstAt > r.deadline {
		f.retry(r, callerBackoff)
		return
	}
	if r.counted {
		return
	}
	r.counted = true
	f.result.Answered++
	if f.now <= f.load.Duration {
		f.result.AnsweredDuringLoad++
	}
	if r.urgent {
		f.result.UrgentAnswered++
	}
}
