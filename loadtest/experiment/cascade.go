package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"

	"foxtailbridge/policy/cascade"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/evidence"
	"foxtailbridge/policy/ticket"
)

// CascadePolicy names a way to pick versions.
type CascadePolicy string

// Ways to pick versions.
const (
	PolicyLearned  CascadePolicy = "learned"
	PolicyBest     CascadePolicy = "always-best"
	PolicyCheapest CascadePolicy = "always-cheapest"
	PolicyFixed    CascadePolicy = "fixed-cascade"
	PolicyOracle   CascadePolicy = "oracle"
)

// CascadeLoad describes the load of a cascade experiment.
type CascadeLoad struct {
	Seed uint64
	Days int
	// RequestsPerHour is the mean number of requests an hour of the largest workspace.
	RequestsPerHour float64
	// RatedShare is the share of answers that are rated at all.
	RatedShare float64
	// RatingDelay is how late ratings come.
	RatingDelay clock.Millis
	// Escalate lets the policies try a second version after a bad rating.
	Escalate bool
	// RatedInTime is the share of ratings that come soon enough to escalate.
	RatedInTime float64
}

// DefaultCascadeLoad is ten workspaces over a week with a tenfold last day.
func DefaultCascadeLoad(seed uint64) CascadeLoad {
	return CascadeLoad{Seed: seed, Days: 7, RequestsPerHour: 1000, RatedShare: 0.7, RatingDelay: 10 * clock.Minute}
}

// CascadeResult is what a policy cost and achieved.
type CascadeResult struct {
	Policy  CascadePolicy
	Answers int
	// Cost is the mean cost of an answer, in prices of the best version.
	Cost float64
	// SecondHalfCost is the same over the second half of the days, when most is learned.
	SecondHalfCost float64
	// AtTarget is the share of answers of workspace hours that met their target.
	AtTarget float64
	// WorstHourMargin is the lowest quality above the target over any hour of all load, in points.
	WorstHourMargin float64
}

// String formats the result as a row.
func (r CascadeResult) String() string {
	return fmt.Sprintf("%-16s answers=%d cost=%.4f late=%.4f at-target=%.4f worst-hour=%+.2f points", r.Policy, r.Answers, r.Cost, r.SecondHalfCost, r.AtTarget, r.WorstHourMargin)
}

const (
	cascadeWorkspaces = 10
	monthEndFactor    = 10
	hoursPerDay       = 24
)

var (
	cascadeVersions = []ticket.VersionRef{"cheap@1", "middle@1", "best@1"}
	cascadeCosts    = []int64{100, 300, 1000}
	cascadeClasses  = []ticket.Class{"triage", "note", "audit"}
)

// market is the truth that the policies do not know.
type market struct {
	view  *ticket.View
	rates map[cascade.RatingKey]float64
	sizes []float64
}

func newMarket(random *rand.Rand, escalate bool) *market {
	m := &market{rates: map[cascade.RatingKey]float64{}}
	state := ticket.NewState()
	t := &ticket.Ticket{Number: 1, Author: "experiment"}
	for i, ref := range cascadeVersions {
		quality := []float64{0.8, 0.9, 0.97}[i]
		t.Versions = append(t.Versions, ticket.ModelVersion{Ref: ref, State: ticket.VersionActive, Cost: cascadeCosts[i], Quality: quality})
	}
	for i := range cascadeWorkspaces {
		w := ticket.Workspace{
			Name: ticket.WorkspaceName(fmt.Sprintf("workspace-%d", i)), State: ticket.LifecycleActive, Allowed: cascadeVersions,
			QualityTarget: 0.86 + 0.06*random.Float64(), Priority: ticket.PriorityNormal,
			Share: 1, MaxInFlight: 1, Deadline: clock.Second, Escalate: escalate,
		}
		for _, class := range cascadeClasses {
			w.Classes = append(w.Classes, ticket.ClassRule{Name: class, Cheaper: cascadeVersions[:2]})
			m.drawRates(random, w.Name, class)
		}
		t.Workspaces = append(t.Workspaces, w)
		m.sizes = append(m.sizes, 1/math.Pow(float64(i+1), 1.2))
	}
	state.Merge(t.Entries(0))
	m.view = state.View()
	return m
}

// drawRates makes cheap versions good for some classes and poor for others.
func (m *market) drawRates(random *rand.Rand, w ticket.WorkspaceName, class ticket.Class) {
	spread := []float64{0.28, 0.16, 0.03}
	top := []float64{0.98, 0.98, 0.99}
	for i, ref := range cascadeVersions {
		m.rates[cascade.RatingKey{Workspace: w, Class: class, Version: ref}] = top[i] - spread[i]*random.Float64()
	}
}

// oracle returns the cheapest version whose true rate meets the target.
func (m *market) oracle(w *ticket.Workspace, class ticket.Class) ticket.VersionRef {
	for _, ref := range cascadeVersions {
		if m.rates[cascade.RatingKey{Workspace: w.Name, Class: class, Version: ref}] >= w.QualityTarget {
			return ref
		}
	}
	return cascadeVersions[len(cascadeVersions)-1]
}

// pendingRating is a rating on its way.
type pendingRating struct {
	due  clock.Millis
	key  cascade.RatingKey
	good bool
}

// cascadeRun carries one policy over the load.
type cascadeRun struct {
	load     CascadeLoad
	policy   CascadePolicy
	market   *market
	random   *rand.Rand
	truth    *rand.Rand
	counters *evidence.Counters
	pending  []pendingRating
	now      clock.Millis
	result   CascadeResult
	cost     float64
	atTarget int
	// early and earlyAnswers are cost and answers of the first half.
	early        float64
	earlyAnswers int
}

// RunCascade measures one policy.
func RunCascade(load CascadeLoad, policy CascadePolicy) CascadeResult {
	r := &cascadeRun{
		load:     load,
		policy:   policy,
		market:   newMarket(rand.New(rand.NewPCG(load.Seed, 1)), load.Escalate),
		random:   rand.New(rand.NewPCG(load.Seed, 2)),
		truth:    rand.New(rand.NewPCG(load.Seed, 3)),
		counters: evidence.NewCounters("one"),
	}
	r.result = CascadeResult{Policy: policy, WorstHourMargin: math.Inf(1)}
	half := load.Days * hoursPerDay / 2
	for hour := range load.Days * hoursPerDay {
		if hour == half {
			r.early, r.earlyAnswers = r.cost, r.result.Answers
		}
		r.hour(hour)
	}
	r.result.SecondHalfCost = (r.cost - r.early) / float64(r.result.Answers-r.earlyAnswers)
	r.result.Cost = r.cost / float64(r.result.Answers)
	r.result.AtTarget = float64(r.atTarget) / float64(r.result.Answers)
	return r.result
}

// intensity shapes the day: a morning and an afternoon shift, little at night,
// ten times as much on the last day.
func (r *cascadeRun) intensity(hour int) float64 {
	of := hour % hoursPerDay
	shape := 0.1
	switch {
	case of >= 8 && of < 12:
		shape = 1
	case of >= 13 && of < 18:
		shape = 0.8
	}
	if hour/hoursPerDay == r.load.Days-1 {
		shape *= monthEndFactor
	}
	return shape
}

func (r *cascadeRun) hour(hour int) {
	begin := clock.Millis(hour) * clock.Hour
	var above float64
	answers := 0
	for i := range cascadeWorkspaces {
		w := r.market.view.Workspaces[ticket.WorkspaceName(fmt.Sprintf("workspace-%d", i))]
		count := int(r.load.RequestsPerHour * r.market.sizes[i] * r.intensity(hour))
		var quality float64
		for k := range count {
			r.now = begin + clock.Hour*clock.Millis(k)/clock.Millis(count)
			r.deliver()
			quality += r.answer(w, cascadeClasses[r.truth.IntN(len(cascadeClasses))])
		}
		if count == 0 {
			continue
		}
		answers += count
		above += quality - float64(count)*w.QualityTarget
		if quality/float64(count) >= w.QualityTarget-0.01 {
			r.atTarget += count
		}
	}
	r.result.Answers += answers
	if answers > 0 {
		r.result.WorstHourMargin = min(r.result.WorstHourMargin, 100*above/float64(answers))
	}
}

// deliver counts the ratings that have come by now.
func (r *cascadeRun) deliver() {
	ready := 0
	for ready < len(r.pending) && r.pending[ready].due <= r.now {
		p := r.pending[ready]
		r.counters.AddRating(evidence.RatingSeries(p.key.Workspace, p.key.Class, p.key.Version, evidence.EpochAt(r.now)), p.good)
		ready++
	}
	r.pending = r.pending[ready:]
}

// answer serves one request and returns the expected quality of its answer.
func (r *cascadeRun) answer(w *ticket.Workspace, class ticket.Class) float64 {
	steps := r.plan(w, class)
	quality := 0.0
	for i, ref := range steps {
		key := cascade.RatingKey{Workspace: w.Name, Class: class, Version: ref}
		rate := r.market.rates[key]
		good := r.truth.Float64() < rate
		inTime := r.truth.Float64() < r.load.RatedInTime
		r.cost += float64(r.market.view.Versions[ref].Cost) / float64(cascadeCosts[len(cascadeCosts)-1])
		if r.truth.Float64() < r.load.RatedShare || inTime {
			r.pending = append(r.pending, pendingRating{due: r.now + r.load.RatingDelay, key: key, good: good})
		}
		quality = rate
		if i+1 < len(steps) && inTime {
			// The answer is kept if it is rated good, else the next version's is given.
			if good {
				return 1
			}
			continue
		}
		break
	}
	return quality
}

func (r *cascadeRun) plan(w *ticket.Workspace, class ticket.Class) []ticket.VersionRef {
	best := cascadeVersions[len(cascadeVersions)-1]
	switch r.policy {
	case PolicyBest:
		return []ticket.VersionRef{best}
	case PolicyCheapest:
		return cascadeVersions[:1]
	case PolicyFixed:
		return []ticket.VersionRef{cascadeVersions[0], best}
	case PolicyOracle:
		return []ticket.VersionRef{r.market.oracle(w, class)}
	}
	query := cascade.Query{
		View:        r.market.view,
		Workspace:   w,
		Class:       class,
		Usable:      func(ticket.VersionRef) bool { return true },
		Ratings:     r.count,
		RatedInTime: r.load.RatedInTime,
	}
	return query.Plan(r.random).Steps
}

func (r *cascadeRun) count(key cascade.RatingKey) cascade.RatingCount {
	return cascade.DecayedRatings(r.counters, key, evidence.EpochAt(r.now))
}
