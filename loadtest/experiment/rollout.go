package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/evidence"
	"foxtailbridge/policy/rollout"
	"foxtailbridge/policy/ticket"
)

// RolloutPolicy names a way to guard a roll-out.
type RolloutPolicy string

// Ways to guard a roll-out.
const (
	// GuardEvidence limits exposure by evidence and stops by a sequential test.
	GuardEvidence RolloutPolicy = "evidence"
	// GuardStages gives fixed shares and looks at the pass rates after each stage.
	GuardStages RolloutPolicy = "fixed-stages"
)

// GossipMode names how instances learn of each other's evidence.
type GossipMode string

// Ways to exchange evidence.
const (
	GossipPeriodic    GossipMode = "periodic"
	GossipOnThreshold GossipMode = "threshold"
)

// RolloutLoad describes the load of a roll-out experiment.
type RolloutLoad struct {
	Seed      uint64
	Instances int
	// Interval is the mean time between requests of the whole fleet.
	Interval clock.Millis
	// QualityLoss is how much worse the new version's pass rate is, 0 to 1.
	QualityLoss      float64
	BaselinePassRate float64
	RatedShare       float64
	RatingDelay      clock.Millis
	GossipMode       GossipMode
	// GossipPeriod is the time between exchanges of one instance.
	GossipPeriod clock.Millis
	// RatingThreshold is how many new ratings make an instance tell the others.
	RatingThreshold int
	// Requests ends the experiment.
	Requests int
	Percent  int
}

// DefaultRolloutLoad is eight instances before a version that is worse by loss.
func DefaultRolloutLoad(seed uint64, loss float64) RolloutLoad {
	return RolloutLoad{
		Seed: seed, Instances: 8, Interval: 100, QualityLoss: loss, BaselinePassRate: 0.92, RatedShare: 0.8,
		RatingDelay: 20 * clock.Second, GossipMode: GossipPeriodic, GossipPeriod: 500, RatingThreshold: 1,
		Requests: 5_000, Percent: 10,
	}
}

// RolloutResult is what a guard let through.
type RolloutResult struct {
	// Exposed counts the callers that got the new version before the stop, or in all.
	Exposed int
	// Harmed counts those of them whose answer was bad.
	Harmed  int
	Stopped bool
	// Messages counts what instances sent to each other.
	Messages int
	// EndedAt is when the new version was stopped, or the experiment ended.
	EndedAt clock.Millis
}

// rolloutRun carries one experiment.
type rolloutRun struct {
	load      RolloutLoad
	random    *rand.Rand
	rollout   ticket.Rollout
	counters  []*evidence.Counters
	unrated   []rollout.UnratedAnswers
	sentTo    []map[int]evidence.Revision
	fresh     []int
	next      []clock.Millis
	stopped   []bool
	pending   []ratingDue
	now       clock.Millis
	result    RolloutResult
	stageSeen evidence.Tally
	stageBase evidence.Tally
	stage     int
}

type ratingDue struct {
	due      clock.Millis
	instance int
	arm      evidence.Arm
	good     bool
}

func newRolloutRun(load RolloutLoad) *rolloutRun {
	r := &rolloutRun{
		load:    load,
		random:  rand.New(rand.NewPCG(load.Seed, 7)),
		rollout: ticket.Rollout{Name: "r", State: ticket.RolloutRunning, Percent: load.Percent},
		stopped: make([]bool, load.Instances),
		fresh:   make([]int, load.Instances),
		unrated: make([]rollout.UnratedAnswers, load.Instances),
	}
	for i := range load.Instances {
		r.counters = append(r.counters, evidence.NewCounters(fmt.Sprint(i)))
		r.sentTo = append(r.sentTo, map[int]evidence.Revision{})
		r.next = append(r.next, clock.Millis(r.random.Int64N(int64(load.GossipPeriod))))
	}
	return r
}

// RunRollout measures one guard.
func RunRollout(load RolloutLoad, policy RolloutPolicy) RolloutResult {
	r := newRolloutRun(load)
	for request := range load.Requests {
		r.now += clock.Millis(r.random.ExpFloat64() * float64(load.Interval))
		r.deliver()
		if policy == GuardEvidence {
			r.exchange()
		}
		instance := r.random.IntN(load.Instances)
		r.serve(policy, instance, request)
		if r.over(policy) {
			break
		}
	}
	r.result.EndedAt = r.now
	return r.result
}

// over reports whether the new version gets no more callers.
func (r *rolloutRun) over(policy RolloutPolicy) bool {
	if policy == GuardStages {
		return r.result.Stopped
	}
	r.result.Stopped = !slices.Contains(r.stopped, false)
	return r.result.Stopped
}

func series(arm evidence.Arm) evidence.Series {
	return evidence.RolloutSeries("r", 1, arm)
}

func (r *rolloutRun) deliver() {
	for len(r.pending) > 0 && r.pending[0].due <= r.now {
		p := r.pending[0]
		r.pending = r.pending[1:]
		r.counters[p.instance].AddRating(series(p.arm), p.good)
		if p.arm == evidence.ArmTo {
			r.unrated[p.instance].RemoveOldest()
		}
		r.fresh[p.instance]++
		r.judge(p.instance)
	}
}

func (r *rolloutRun) judge(instance int) {
	c := r.counters[instance]
	if !r.stopped[instance] && rollout.Evaluate(c.Sum(series(evidence.ArmFrom)), c.Sum(series(evidence.ArmTo)), r.load.BaselinePassRate) == rollout.VerdictStop {
		// A stop is urgent: it reaches every instance within one exchange.
		for i := range r.stopped {
			r.stopped[i] = true
		}
	}
}

// exchange lets each instance whose time or threshold has come tell another one.
func (r *rolloutRun) exchange() {
	for i := range r.counters {
		switch r.load.GossipMode {
		case GossipPeriodic:
			for r.next[i] <= r.now {
				r.next[i] += r.load.GossipPeriod
				r.tell(i)
			}
		case GossipOnThreshold:
			if r.fresh[i] >= r.load.RatingThreshold {
				r.tell(i)
			}
		}
	}
}

func (r *rolloutRun) tell(from int) {
	r.fresh[from] = 0
	to := (from + 1 + r.random.IntN(r.load.Instances-1)) % r.load.Instances
	rows, stamp := r.counters[from].RowsSince(r.sentTo[from][to])
	r.sentTo[from][to] = stamp
	r.result.Messages++
	if r.counters[to].Merge(rows) {
		r.judge(to)
	}
}

func (r *rolloutRun) serve(policy RolloutPolicy, instance, request int) {
	arm := evidence.ArmFrom
	switch policy {
	case GuardEvidence:
		c := r.counters[instance]
		at := rollout.Position{Rank: instance, Instances: r.load.Instances}
		key := fmt.Sprint(request)
		assigned := rollout.Assign(&r.rollout, key, r.unrated[instance].Count(r.now), c.Sum(series(evidence.ArmTo)), at)
		if !r.stopped[instance] && assigned == rollout.AssignTo {
			arm = evidence.ArmTo
		}
	case GuardStages:
		if r.random.IntN(100) < stagePercents[min(r.stage, len(stagePercents)-1)] {
			arm = evidence.ArmTo
		}
	}
	good := r.random.Float64() < r.rate(arm)
	r.counters[instance].AddExposure(series(arm))
	if arm == evidence.ArmTo {
		r.unrated[instance].Add(r.now)
		r.result.Exposed++
		if !good {
			r.result.Harmed++
		}
	}
	if r.random.Float64() < r.load.RatedShare {
		r.pending = append(r.pending, ratingDue{due: r.now + r.load.RatingDelay, instance: instance, arm: arm, good: good})
	}
	if policy == GuardStages {
		r.review()
	}
}

func (r *rolloutRun) rate(arm evidence.Arm) float64 {
	if arm == evidence.ArmTo {
		return max(0, r.load.BaselinePassRate-r.load.QualityLoss)
	}
	return r.load.BaselinePassRate
}

// Stages of the baseline: the share of callers, and how many rated answers of
// the new version end a stage; it stops if the pass rate is lower by stageDrop.
var stagePercents = []int{10, 25, 50, 100}

const (
	stageAnswers = 100
	stageDrop    = 0.05
)

// review compares the arms at the end of a stage.
func (r *rolloutRun) review() {
	from, to := r.fleet(evidence.ArmFrom), r.fleet(evidence.ArmTo)
	if to.Rated()-r.stageSeen.Rated() < stageAnswers {
		return
	}
	good := float64(to.Good-r.stageSeen.Good) / float64(to.Rated()-r.stageSeen.Rated())
	base := float64(from.Good-r.stageBase.Good) / max(1, float64(from.Rated()-r.stageBase.Rated()))
	r.result.Stopped = good < base-stageDrop
	r.stageSeen, r.stageBase = to, from
	r.stage++
}

func (r *rolloutRun) fleet(arm evidence.Arm) evidence.Tally {
	var sum evidence.Tally
	for _, c := range r.counters {
		own := c.Local(series(arm))
		sum.Good += own.Good
		sum.Bad += own.Bad
	}
	return sum
}

// RolloutSummary sums up several seeds.
type RolloutSummary struct {
	ExposedMedian, ExposedP95 int
	HarmedMean                float64
	StoppedShare              float64
	Messages                  int
	// ExposedMean is the mean number of exposed callers.
	ExposedMean float64
}

// String formats the summary as a row.
func (s RolloutSummary) String() string {
	return fmt.Sprintf("exposed median=%d p95=%d mean=%.1f harmed=%.1f stopped=%.4f messages=%d",
		s.ExposedMedian, s.ExposedP95, s.ExposedMean, s.HarmedMean, s.StoppedShare, s.Messages)
}

// RunRollouts measures a guard over a number of seeds.
func RunRollouts(load RolloutLoad, policy RolloutPolicy, seeds int) RolloutSummary {
	var s RolloutSummary
	exposed := make([]int, 0, seeds)
	for seed := range seeds {
		load.Seed = uint64(seed)
		got := RunRollout(load, policy)
		exposed = append(exposed, got.Exposed)
		s.HarmedMean += float64(got.Harmed) / float64(seeds)
		s.ExposedMean += float64(got.Exposed) / float64(seeds)
		s.Messages += got.Messages / seeds
		if got.Stopped {
			s.StoppedShare += 1 / float64(seeds)
		}
	}
	slices.Sort(exposed)
	s.ExposedMedian = exposed[len(exposed)/2]
	s.ExposedP95 = exposed[len(exposed)*95/100]
	return s
}
