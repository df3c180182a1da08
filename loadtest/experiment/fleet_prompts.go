package experiment

import (
	"fmt"
	"math"
	"slices"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/loadlist"
	"foxtailbridge/policy/placement"
)

// PromptPolicy selects what keeps short requests from waiting behind long prompts.
type PromptPolicy string

// Policies for long prompts.
const (
	// PromptsOwn knows the instance's own prompts only, as the product did.
	PromptsOwn PromptPolicy = "own"
	// PromptsReported adds the backlog that other instances report to the cost.
	PromptsReported PromptPolicy = "reported"
	// PromptsBound also bounds the backlog by the goal for the first event.
	PromptsBound PromptPolicy = "bound"
	// PromptsPriority is PromptsOwn before endpoints that read short prompts first, between chunks
	// of long ones.
	PromptsPriority PromptPolicy = "priority"
	// PromptsGroups also sends long prompts to a group of endpoints with a moving boundary.
	PromptsGroups PromptPolicy = "groups"
)

// FleetPrompts configures prompts of two lengths, which an endpoint reads one after the other in
// the order of their arrival.
type FleetPrompts struct {
	Policy PromptPolicy
	// Short and Long are the numbers of tokens, LongShare is the share of long prompts.
	Short, Long int
	LongShare   float64
	// ReadRate is the number of tokens that an endpoint reads in a ms; every third takes
	// Slowness times as long.
	ReadRate, Slowness float64
	// Load is the offered reading time relative to what the endpoints can read.
	Load float64
	// ShortGoal and LongGoal are the goals for the first event.
	ShortGoal, LongGoal clock.Millis
}

// PromptFleet returns a fleet of as many endpoints as instances with one prompt of 50,000 tokens in
// 20, at the given share of the capacity.
func PromptFleet(instances int, load, slowness float64, policy PromptPolicy) FleetLoad {
	duration := clock.Minute
	if instances > 50 {
		duration = 8 * clock.Second // As many requests.
	}
	return FleetLoad{
		Seed: 1, Instances: instances, Zones: 3, Endpoints: instances, Slots: 16, Queue: 33, MeanRun: 100, Duration: duration,
		Scenario: FleetSteady, Policy: FleetSpread, Parts: 1, ColdRate: 11,
		Prompts: &FleetPrompts{
			Policy: policy, Short: 800, Long: 50_000, LongShare: 0.05, ReadRate: 35, Slowness: slowness, Load: load,
			ShortGoal: 1500, LongGoal: 6 * clock.Second,
		},
	}
}

// rate returns the requests in a ms that all instances get.
func (p *FleetPrompts) rate(load FleetLoad) float64 {
	mean := p.LongShare*float64(p.Long) + (1-p.LongShare)*float64(p.Short)
	// Two thirds of the endpoints read at the full rate.
	capacity := float64(load.Endpoints) * p.ReadRate * (2 + 1/p.Slowness) / 3
	return p.Load * capacity / mean
}

// warmUp lets all instances have seen enough prompts to know their sizes.
func (f *fleet) warmUp() {
	for _, instance := range f.instances {
		for range fleetWarmUp {
			tokens := f.load.Prompts.Short
			if f.random.Float64() < f.load.Prompts.LongShare {
				tokens = f.load.Prompts.Long
			}
			instance.sizes.Add(float64(tokens))
		}
	}
}

// fleetWarmUp is the number of prompts that each instance has seen before: a minute's.
const fleetWarmUp = 2000

// drawPrompt sets the size of a request's prompt. Of as many requests in a row as there are for one
// long prompt, one is long, so that the load of a run is close to the configured one.
func (f *fleet) drawPrompt(r *fleetRequest) {
	p := f.load.Prompts
	if p == nil {
		return
	}
	r.promptTokens = p.Short
	if p.LongShare == 0 {
		return
	}
	if f.untilLong == 0 {
		f.untilLong = int(math.Round(1 / p.LongShare))
		f.nextLong = f.random.IntN(f.untilLong)
	}
	f.untilLong--
	if r.long = f.untilLong == f.nextLong; r.long {
		r.promptTokens = p.Long
	}
}

// setPrompt completes a query for a request.
func (f *fleet) setPrompt(q *placement.Query, r *fleetRequest) {
	p := f.load.Prompts
	if p == nil {
		return
	}
	q.Parts, q.RelativeCost = []placement.Part{{ID: "own", Tokens: r.promptTokens}}, 1
	q.FirstEventGoal = p.ShortGoal
	if r.long {
		q.FirstEventGoal = p.LongGoal
	}
	if p.Policy == PromptsReported {
		q.FirstEventGoal = 0
	}
	if p.Policy != PromptsOwn && p.Policy != PromptsPriority {
		q.Prompts = r.instance.sizes.Mix(r.instance.states, f.now)
	}
	if p.Policy != PromptsGroups && q.Prompts != nil {
		q.Prompts.Reading = 0
	}
}

// addBacklog adds an instance's own backlog to its loads.
func (f *fleet) addBacklog(instance *fleetInstance, loads loadlist.Loads) {
	if f.load.Prompts == nil || !instance.sizes.Varied() {
		return
	}
	backlog := loadlist.Sum{}
	for _, s := range instance.states {
		if n := loadlist.PrefillUnits(s.PrefillTokens); n > 0 && s.PrefillTokens >= instance.sizes.Mean() {
			backlog[loadlist.Key(s.Endpoint.ID)] = n
		}
	}
	loads.Sums[loadlist.KindPrefill] = backlog
}

// meanRun returns the mean time of a run.
func (f *fleet) meanRun() clock.Millis {
	if f.ended == 0 {
		return f.load.MeanRun
	}
	return f.ranFor / clock.Millis(f.ended)
}

// read reads a prompt after those that the endpoint has taken before, then runs the request.
func (f *fleet) read(e *fleetEndpoint, r *fleetRequest) {
	p, i := f.load.Prompts, f.byID[e.info.ID]
	took := float64(r.promptTokens) / p.ReadRate
	if i%3 == 0 {
		took *= p.Slowness
	}
	if p.Policy == PromptsPriority {
		f.readByPriority(e, r, clock.Millis(took))
		return
	}
	e.readUntil = max(f.now, e.readUntil) + clock.Millis(took)
	f.schedule(e.readUntil, func() { f.firstEvent(e, r) })
}

// fleetChunk is the number of tokens of a long prompt that an endpoint reads before it looks for
// short ones.
const fleetChunk = 2048

// readByPriority reads a short prompt before all long ones, which it delays.
func (f *fleet) readByPriority(e *fleetEndpoint, r *fleetRequest, took clock.Millis) {
	until := &e.readUntil
	if r.long {
		until = &e.longUntil
		*until = max(*until, e.readUntil)
	}
	*until = max(f.now, *until) + took
	r.readAt = *until
	if r.long {
		e.long = append(e.long, r)
	} else if len(e.long) > 0 {
		r.readAt += clock.Millis(fleetChunk / f.load.Prompts.ReadRate)
		e.longUntil += took
		for _, long := range e.long {
			long.readAt += took
		}
	}
	var check func()
	check = func() {
		if f.now < r.readAt { // Short ones came first.
			f.schedule(r.readAt, check)
			return
		}
		e.long = slices.DeleteFunc(e.long, func(long *fleetRequest) bool { return long == r })
		f.firstEvent(e, r)
	}
	f.schedule(r.readAt, check)
}

// firstEvent sends the first event of a response, and later the last.
func (f *fleet) firstEvent(e *fleetEndpoint, r *fleetRequest) {
	r.state.PrefillTokens -= float64(r.promptTokens)
	histogram := f.result.ShortFirst
	if r.long {
		histogram = f.result.LongFirst
	}
	if r.arrived >= f.load.Duration/4 { // Instances know nothing of the prompts at first.
		_ = histogram.RecordValue(int64(f.now - r.arrived))
	}
	f.schedule(f.now+clock.Millis(f.random.ExpFloat64()*float64(f.load.MeanRun)), func() {
		e.running--
		f.ended++
		f.ranFor += f.now - r.arrived
		r.instance.sizes.AddRun(float64(r.promptTokens), f.now-r.arrived)
		r.state.OwnInFlight--
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			f.run(e, next)
		}
	})
}

// PromptLine formats the times to the first event as one line.
func (r FleetResult) PromptLine() string {
	p := r.Load.Prompts
	return fmt.Sprintf("%3d instances load %.1f slowness %.1f %-9s short p50=%d p99=%d long p50=%d p90=%d p99=%d refused=%d no-room=%d changes/s/instance=%.1f",
		r.Load.Instances, p.Load, p.Slowness, p.Policy, r.ShortFirst.ValueAtQuantile(50), r.ShortFirst.ValueAtQuantile(99),
		r.LongFirst.ValueAtQuantile(50), r.LongFirst.ValueAtQuantile(90), r.LongFirst.ValueAtQuantile(99), r.Refused, r.NoRoom,
		float64(r.PrefillChanges)/float64(r.Load.Instances)/(float64(r.Load.Duration)/1000))
}
