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

// BalancingPolicy selects how requests are admitted and endpoints are chosen.
type BalancingPolicy string

// Load-balancing policies.
const (
	// BalancingRouter uses an admission.Limiter and a routing.Pool per instance, as the product does.
	BalancingRouter BalancingPolicy = "foxtailbridge"
	// BalancingRoundRobin uses the endpoints in turn, without admission control.
	BalancingRoundRobin BalancingPolicy = "round-robin"
	// BalancingLeastReported uses the endpoint with the lowest reported load, without admission control.
	BalancingLeastReported BalancingPolicy = "least-loaded-by-report"
)

// FarmLoad configures the engines, the instances and the load of a load-balancing experiment.
type FarmLoad struct {
	Seed      uint64
	Instances int
	Engines   int
	Slots     int
	// LoadFactor is the offered load relative to the capacity of the engines.
	LoadFactor float64
	// Duration is the time during which requests arrive.
	Duration clock.Millis
	// UrgentShare is the share of urgent requests (phone callers); the rest are audits.
	UrgentShare float64
	// ReportLag is the delay after which a load report reaches the instances.
	ReportLag clock.Millis
	// FirstToken is the time to the first token, CachedFirstToken the same with a cached prefix.
	FirstToken, CachedFirstToken clock.Millis
	// TokenInterval is the time between tokens, MeanTokens the mean length of an answer.
	TokenInterval clock.Millis
	MeanTokens    int
	// Prefixes is the number of distinct prompt prefixes, CacheSize how many an engine caches.
	Prefixes, CacheSize int
	// UrgentDeadline is how long a phone caller waits for the first token.
	UrgentDeadline clock.Millis
	// AuditDeadline is how long an audit waits for the first token.
	AuditDeadline clock.Millis
	// CallerRetries is how often a caller retries a request that was shed or late.
	CallerRetries int
}

// DefaultFarmLoad returns a load on twenty engines through eight instances, the setup at Kylmäkiertö.
func DefaultFarmLoad(seed uint64, capacity float64) FarmLoad {
	return FarmLoad{
		Seed: seed, Instances: 8, Engines: 20, Slots: 8, LoadFactor: capacity, Duration: 4 * clock.Minute,
		UrgentShare: 0.3, ReportLag: 500, FirstToken: 200, CachedFirstToken: 80, TokenInterval: 20, MeanTokens: 60,
		Prefixes: 2000, CacheSize: 150, UrgentDeadline: 8 * clock.Second, AuditDeadline: clock.Hour,
	}
}

// FarmResult holds the latencies and counts of a load-balancing experiment.
type FarmResult struct {
	Policy BalancingPolicy
	// UrgentFirstToken and AuditFirstToken are times to the first token, UrgentTotal
	// and AuditTotal to the last, in milliseconds.
	UrgentFirstToken, AuditFirstToken, UrgentTotal, AuditTotal *hdrhistogram.Histogram
	// Offered counts distinct requests, Answered those with a first token before their deadline.
	Offered, Answered int
	// UrgentOffered and UrgentAnswered count only the urgent requests.
	UrgentOffered, UrgentAnswered int
	// AuditsLost counts audits that were not answered in time.
	AuditsLost int
	// AnsweredDuringLoad counts the answers that were completed while requests still arrived.
	AnsweredDuringLoad int
	// Dispatched counts dispatches to engines, including retries.
	Dispatched int
	// Shed counts requests that admission control refused.
	Shed int
	// CacheHits counts dispatches whose prefix was cached.
	CacheHits int
	// LoadImbalance is the highest mean load of an engine divided by the lowest.
	LoadImbalance float64
}

// String formats the result as one line.
func (r FarmResult) String() string {
	p := func(h *hdrhistogram.Histogram, q float64) int64 { return h.ValueAtQuantile(q) }
	return fmt.Sprintf("%-22s phone first p50=%d p95=%d p99=%d total p95=%d | audit first p50=%d p95=%d | phone answered %d/%d audits lost=%d shed=%d amplification=%.3f hits=%.2f spread=%.2f",
		r.Policy, p(r.UrgentFirstToken, 50), p(r.UrgentFirstToken, 95), p(r.UrgentFirstToken, 99), p(r.UrgentTotal, 95),
		p(r.AuditFirstToken, 50), p(r.AuditFirstToken, 95), r.UrgentAnswered, r.UrgentOffered, r.AuditsLost, r.Shed,
		r.Amplification(), float64(r.CacheHits)/float64(max(1, r.Dispatched)), r.LoadImbalance)
}

// Amplification returns the number of dispatches per request answered in time.
func (r FarmResult) Amplification() float64 {
	return float64(r.Dispatched) / float64(max(1, r.Answered))
}

// Goodput returns the requests answered in time per second while requests arrived.
func (r FarmResult) Goodput(duration clock.Millis) float64 {
	return float64(r.AnsweredDuringLoad) / (float64(duration) / float64(clock.Second))
}

// farmRequest is one request of a caller.
type farmRequest struct {
	urgent      bool
	prefix      uint64
	arrived     clock.Millis
	deadline    clock.Millis
	tokens      int
	retries     int
	instance    int
	admissionID admission.RequestID
	started     clock.Millis
	answered    bool
}

// farmEngine is an engine with slots, a queue (urgent requests first under BalancingRouter) and an
// LRU prefix cache.
type farmEngine struct {
	endpoints []*routing.Endpoint
	running   int
	waiting   []*farmRequest
	cache     []uint64
	busySlots float64
}

func (e *farmEngine) lookupPrefix(prefix uint64, size int) bool {
	at := slices.Index(e.cache, prefix)
	if at >= 0 {
		e.cache = slices.Delete(e.cache, at, at+1)
	} else if len(e.cache) >= size {
		e.cache = e.cache[1:]
	}
	e.cache = append(e.cache, prefix)
	return at >= 0
}

// farmEvent is a callback scheduled at a point in virtual time.
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

// farm is the state of a discrete-event simulation of one policy.
type farm struct {
	load            FarmLoad
	policy          BalancingPolicy
	random          *rand.Rand
	choiceRandom    *rand.Rand
	now             clock.Millis
	events          farmEvents
	seq             int
	engines         []*farmEngine
	pools           []*routing.Pool
	endpoints       [][]*routing.Endpoint
	limiters        []*admission.Limiter
	waiting         []map[admission.RequestID]*farmRequest
	nextEndpoint    int
	lastAdmissionID admission.RequestID
	view            *ticket.View
	result          FarmResult
}

const (
	farmVersion   = ticket.VersionRef("m@1")
	farmWorkspace = ticket.WorkspaceName("w")
	farmZone      = ticket.ZoneName("a")
	// farmHeadroom is the admission limit of an instance relative to its share of the slots.
	farmHeadroom      = 1.25
	maxRecorded       = int64(clock.Hour)
	drainTime         = 20 * clock.Minute
	limiterTick       = 50 * clock.Millis(1)
	callerBackoff     = clock.Second
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecorded, significantDigits)
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
		random:       rand.New(rand.NewPCG(load.Seed, 11)),
		choiceRandom: rand.New(rand.NewPCG(load.Seed, 12)),
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
		var endpoints []*routing.Endpoint
		for k, e := range f.engines {
			e.endpoints[i] = &routing.Endpoint{
				ID: routing.EndpointID(fmt.Sprintf("engine-%03d", k)), Zone: farmZone,
				Serves: routing.ServedName(farmVersion), Warm: true, Slots: load.Slots,
			}
			endpoints = append(endpoints, e.endpoints[i])
		}
		f.endpoints = append(f.endpoints, endpoints)
		pool := routing.NewPool(endpoints)
		pool.AssignHomes(farmZone, i, load.Instances)
		f.pools = append(f.pools, pool)
		f.limiters = append(f.limiters, admission.New(admission.WithLimit(limit), admission.WithQueueSize(1<<20)))
		f.waiting = append(f.waiting, map[admission.RequestID]*farmRequest{})
	}
	return f
}

// RunFarm simulates one policy and returns its result.
func RunFarm(load FarmLoad, policy BalancingPolicy) FarmResult {
	f := newFarm(load, policy)
	f.scheduleArrivals()
	f.scheduleEvery(load.ReportLag/2, f.reportLoads)
	f.scheduleEvery(limiterTick, f.tick)
	for f.events.Len() > 0 {
		e := heap.Pop(&f.events).(farmEvent)
		f.now = e.at
		e.run()
	}
	f.result.AuditsLost = f.result.Offered - f.result.UrgentOffered - (f.result.Answered - f.result.UrgentAnswered)
	lowest, highest := f.engines[0].busySlots, f.engines[0].busySlots
	for _, e := range f.engines {
		lowest, highest = min(lowest, e.busySlots), max(highest, e.busySlots)
	}
	f.result.LoadImbalance = highest / max(1, lowest)
	return f.result
}

func (f *farm) schedule(at clock.Millis, run func()) {
	f.seq++
	heap.Push(&f.events, farmEvent{at: at, seq: f.seq, run: run})
}

func (f *farm) scheduleEvery(period clock.Millis, run func()) {
	var step func()
	step = func() {
		run()
		if f.now < f.load.Duration+drainTime {
			f.schedule(f.now+period, step)
		}
	}
	f.schedule(0, step)
}

// scheduleArrivals schedules all requests as a Poisson process.
func (f *farm) scheduleArrivals() {
	serviceTime := float64(f.load.FirstToken) + float64(f.load.MeanTokens)*float64(f.load.TokenInterval)
	maxRate := float64(f.load.Engines*f.load.Slots) / serviceTime
	var at float64
	for {
		at += f.random.ExpFloat64() / (maxRate * f.load.LoadFactor)
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
		f.schedule(clock.Millis(at), func() { f.arrive(r) })
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
	f.lastAdmissionID++
	r.admissionID = f.lastAdmissionID
	decision := f.limiters[r.instance].Offer(admission.Request{
		ID: r.admissionID, Workspace: ticket.WorkspaceName(f.priority(r)), Priority: f.priority(r),
		Share: 1, MaxInFlight: 1 << 20, Deadline: r.deadline,
	}, f.now)
	f.waiting[r.instance][r.admissionID] = r
	for _, shed := range decision.Shed {
		f.shed(r.instance, shed)
	}
	if decision.Verdict == admission.VerdictStart {
		delete(f.waiting[r.instance], r.admissionID)
		f.dispatch(r)
	}
}

// shed counts a refused request and schedules its caller's retry.
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
	f.schedule(f.now+wait, func() { f.arrive(r) })
}

// tick starts the queued requests that the instances' limiters allow.
func (f *farm) tick() {
	for i := range f.limiters {
		f.startWaiting(i)
	}
}

func (f *farm) startWaiting(instance int) {
	started, dropped := f.limiters[instance].StartWaiting(f.now)
	for _, s := range dropped {
		f.shed(instance, s)
	}
	for _, id := range started {
		r := f.waiting[instance][id]
		delete(f.waiting[instance], id)
		f.dispatch(r)
	}
}

// reportLoads samples the engines' loads and delivers them to every instance after ReportLag.
func (f *farm) reportLoads() {
	for _, e := range f.engines {
		reported := e.running + len(e.waiting)
		e.busySlots += float64(min(e.running, f.load.Slots))
		for _, endpoint := range e.endpoints {
			own := endpoint.OwnInFlight
			f.schedule(f.now+f.load.ReportLag, func() {
				endpoint.ReportedInFlight = reported
				endpoint.OwnAtReport = own
			})
		}
	}
}

func (f *farm) chooseEngine(r *farmRequest) int {
	endpoints := f.endpoints[r.instance]
	switch f.policy {
	case BalancingRoundRobin:
		f.nextEndpoint++
		return f.nextEndpoint % len(endpoints)
	case BalancingLeastReported:
		best := 0
		for k, e := range endpoints {
			if e.ReportedInFlight < endpoints[best].ReportedInFlight {
				best = k
			}
		}
		return best
	}
	choice := f.pools[r.instance].Choose(&routing.Query{
		View: f.view, Freshness: &routing.Freshness{Zone: farmZone, ConfigFresh: true},
		Workspace: farmWorkspace, Target: routing.Target{Version: farmVersion}, Prefix: r.prefix,
	}, f.choiceRandom)
	return slices.Index(endpoints, choice.Endpoint)
}

func (f *farm) dispatch(r *farmRequest) {
	k := f.chooseEngine(r)
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
	if e.lookupPrefix(r.prefix, f.load.CacheSize) {
		first = f.load.CachedFirstToken
		f.result.CacheHits++
	}
	firstAt := f.now + first
	lastAt := firstAt + clock.Millis(r.tokens)*f.load.TokenInterval
	f.schedule(lastAt, func() { f.finish(e, r, firstAt) })
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
		f.limiters[r.instance].RecordFirstToken(firstAt - r.started)
		f.limiters[r.instance].Finish(ticket.WorkspaceName(f.priority(r)), f.now-r.started)
		f.startWaiting(r.instance)
	}
}

// record counts an answer. A request whose first token came after its deadline isn't answered,
// and its caller retries if it has retries left.
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
	if r.answered {
		return
	}
	r.answered = true
	f.result.Answered++
	if f.now <= f.load.Duration {
		f.result.AnsweredDuringLoad++
	}
	if r.urgent {
		f.result.UrgentAnswered++
	}
}
