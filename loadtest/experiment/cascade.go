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

// CascadePolicy selects how model versions are chosen.
type CascadePolicy string

// Cascade policies.
const (
	PolicyLearned  CascadePolicy = "learned"
	PolicyBest     CascadePolicy = "always-best"
	PolicyCheapest CascadePolicy = "always-cheapest"
	PolicyFixed    CascadePolicy = "fixed-cascade"
	PolicyOracle   CascadePolicy = "oracle"
)

// CascadeLoad configures the load of a cascade experiment.
type CascadeLoad struct {
	Seed uint64
	Days int
	// RequestsPerHour is the number of requests per hour of the largest workspace during a peak hour of a normal day.
	RequestsPerHour float64
	// RatedShare is the share of answers that receive a rating.
	RatedShare float64
	// RatingDelay is the time from an answer to its rating.
	RatingDelay clock.Millis
	// Escalate allows the policies to try another version after a bad rating.
	Escalate bool
	// RatedInTime is the share of answers that are rated early enough to escalate.
	RatedInTime float64
}

// DefaultCascadeLoad returns a week of load from ten workspaces with ten times the load on the last day.
func DefaultCascadeLoad(seed uint64) CascadeLoad {
	return CascadeLoad{Seed: seed, Days: 7, RequestsPerHour: 1000, RatedShare: 0.7, RatingDelay: 10 * clock.Minute}
}

// CascadeResult is the cost and quality that a policy achieved.
type CascadeResult struct {
	Policy  CascadePolicy
	Answers int
	// Cost is the mean cost of an answer relative to the price of the best version.
	Cost float64
	// SecondHalfCost is Cost over the second half of the days, when the policy has mostly converged.
	SecondHalfCost float64
	// AtTarget is the share of answers given in hours in which their workspace met its quality target.
	AtTarget float64
	// WorstHourMargin is the lowest hourly mean of quality minus target over all workspaces, in percentage points.
	WorstHourMargin float64
}

// String formats the result as one line.
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

// groundTruth holds the true pass rates, which only the oracle policy sees.
type groundTruth struct {
	view       *ticket.View
	passRates  map[cascade.RatingKey]float64
	loadShares []float64
}

func newGroundTruth(random *rand.Rand, escalate bool) *groundTruth {
	g := &groundTruth{passRates: map[cascade.RatingKey]float64{}}
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
			g.drawRates(random, w.Name, class)
		}
		t.Workspaces = append(t.Workspaces, w)
		g.loadShares = append(g.loadShares, 1/math.Pow(float64(i+1), 1.2))
	}
	state.Merge(t.Entries(0))
	g.view = state.View()
	return g
}

// drawRates draws pass rates so that cheap versions are good for some classes and bad for others.
func (g *groundTruth) drawRates(random *rand.Rand, w ticket.WorkspaceName, class ticket.Class) {
	spread := []float64{0.28, 0.16, 0.03}
	top := []float64{0.98, 0.98, 0.99}
	for i, ref := range cascadeVersions {
		g.passRates[cascade.RatingKey{Workspace: w, Class: class, Version: ref}] = top[i] - spread[i]*random.Float64()
	}
}

// cheapestAtTarget returns the cheapest version whose true pass rate meets the target, or the best version.
func (g *groundTruth) cheapestAtTarget(w *ticket.Workspace, class ticket.Class) ticket.VersionRef {
	for _, ref := range cascadeVersions {
		if g.passRates[cascade.RatingKey{Workspace: w.Name, Class: class, Version: ref}] >= w.QualityTarget {
			return ref
		}
	}
	return cascadeVersions[len(cascadeVersions)-1]
}

// pendingRating is a rating that has not been delivered yet.
type pendingRating struct {
	due  clock.Millis
	key  cascade.RatingKey
	good bool
}

// cascadeRun is the state of the simulation of one policy.
type cascadeRun struct {
	load          CascadeLoad
	policy        CascadePolicy
	truth         *groundTruth
	planRandom    *rand.Rand
	outcomeRandom *rand.Rand
	counters      *evidence.Counters
	pending       []pendingRating
	now           clock.Millis
	result        CascadeResult
	cost          float64
	atTarget      int
	// firstHalfCost and firstHalfAnswers are the cost and the number of answers in the first half of the days.
	firstHalfCost    float64
	firstHalfAnswers int
}

// RunCascade simulates one policy and returns its result.
func RunCascade(load CascadeLoad, policy CascadePolicy) CascadeResult {
	r := &cascadeRun{
		load:          load,
		policy:        policy,
		truth:         newGroundTruth(rand.New(rand.NewPCG(load.Seed, 1)), load.Escalate),
		planRandom:    rand.New(rand.NewPCG(load.Seed, 2)),
		outcomeRandom: rand.New(rand.NewPCG(load.Seed, 3)),
		counters:      evidence.NewCounters("one"),
	}
	r.result = CascadeResult{Policy: policy, WorstHourMargin: math.Inf(1)}
	half := load.Days * hoursPerDay / 2
	for hour := range load.Days * hoursPerDay {
		if hour == half {
			r.firstHalfCost, r.firstHalfAnswers = r.cost, r.result.Answers
		}
		r.runHour(hour)
	}
	r.result.SecondHalfCost = (r.cost - r.firstHalfCost) / float64(r.result.Answers-r.firstHalfAnswers)
	r.result.Cost = r.cost / float64(r.result.Answers)
	r.result.AtTarget = float64(r.atTarget) / float64(r.result.Answers)
	return r.result
}

// intensity returns the load factor of an hour: a morning and an afternoon peak, low load
// otherwise, and ten times as much on the last day.
func (r *cascadeRun) intensity(hour int) float64 {
	hourOfDay := hour % hoursPerDay
	factor := 0.1
	switch {
	case hourOfDay >= 8 && hourOfDay < 12:
		factor = 1
	case hourOfDay >= 13 && hourOfDay < 18:
		factor = 0.8
	}
	if hour/hoursPerDay == r.load.Days-1 {
		factor *= monthEndFactor
	}
	return factor
}

func (r *cascadeRun) runHour(hour int) {
	start := clock.Millis(hour) * clock.Hour
	var margin float64
	answers := 0
	for i := range cascadeWorkspaces {
		w := r.truth.view.Workspaces[ticket.WorkspaceName(fmt.Sprintf("workspace-%d", i))]
		count := int(r.load.RequestsPerHour * r.truth.loadShares[i] * r.intensity(hour))
		var quality float64
		for k := range count {
			r.now = start + clock.Hour*clock.Millis(k)/clock.Millis(count)
			r.deliverRatings()
			quality += r.serve(w, cascadeClasses[r.outcomeRandom.IntN(len(cascadeClasses))])
		}
		if count == 0 {
			continue
		}
		answers += count
		margin += quality - float64(count)*w.QualityTarget
		if quality/float64(count) >= w.QualityTarget-0.01 {
			r.atTarget += count
		}
	}
	r.result.Answers += answers
	if answers > 0 {
		r.result.WorstHourMargin = min(r.result.WorstHourMargin, 100*margin/float64(answers))
	}
}

// deliverRatings adds the ratings that are due to the counters.
func (r *cascadeRun) deliverRatings() {
	ready := 0
	for ready < len(r.pending) && r.pending[ready].due <= r.now {
		p := r.pending[ready]
		r.counters.AddRating(evidence.RatingSeries(p.key.Workspace, p.key.Class, p.key.Version, evidence.EpochAt(r.now)), p.good)
		ready++
	}
	r.pending = r.pending[ready:]
}

// serve simulates one request and returns the expected quality of its answer.
func (r *cascadeRun) serve(w *ticket.Workspace, class ticket.Class) float64 {
	steps := r.plan(w, class)
	quality := 0.0
	for i, ref := range steps {
		key := cascade.RatingKey{Workspace: w.Name, Class: class, Version: ref}
		rate := r.truth.passRates[key]
		good := r.outcomeRandom.Float64() < rate
		inTime := r.outcomeRandom.Float64() < r.load.RatedInTime
		r.cost += float64(r.truth.view.Versions[ref].Cost) / float64(cascadeCosts[len(cascadeCosts)-1])
		if r.outcomeRandom.Float64() < r.load.RatedShare || inTime {
			r.pending = append(r.pending, pendingRating{due: r.now + r.load.RatingDelay, key: key, good: good})
		}
		quality = rate
		if i+1 < len(steps) && inTime {
			// An answer rated good is kept; otherwise the request escalates to the next version.
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
		return []ticket.VersionRef{r.truth.cheapestAtTarget(w, class)}
	}
	query := cascade.Query{
		View:        r.truth.view,
		Workspace:   w,
		Class:       class,
		Usable:      func(ticket.VersionRef) bool { return true },
		Ratings:     r.ratingCount,
		RatedInTime: r.load.RatedInTime,
	}
	return query.Plan(r.planRandom).Steps
}

func (r *cascadeRun) ratingCount(key cascade.RatingKey) cascade.RatingCount {
	return cascade.DecayedRatings(r.counters, key, evidence.EpochAt(r.now))
}
