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

// RolloutPolicy selects how a roll-out is guarded.
type RolloutPolicy string

// Roll-out policies.
const (
	// GuardEvidence limits the exposure according to the ratings so far and stops by a sequential test.
	GuardEvidence RolloutPolicy = "evidence"
	// GuardStages uses fixed shares and compares the pass rates after each stage.
	GuardStages RolloutPolicy = "fixed-stages"
)

// GossipMode selects what triggers an instance to send its evidence to a peer.
type GossipMode string

// Gossip modes.
const (
	GossipPeriodic    GossipMode = "periodic"
	GossipOnThreshold GossipMode = "threshold"
)

// RolloutLoad configures the load of a roll-out experiment.
type RolloutLoad struct {
	Seed      uint64
	Instances int
	// Interval is the mean time between requests to the whole fleet.
	Interval clock.Millis
	// QualityLoss is how much lower the new version's pass rate is, 0 to 1.
	QualityLoss      float64
	BaselinePassRate float64
	RatedShare       float64
	RatingDelay      clock.Millis
	GossipMode       GossipMode
	// GossipPeriod is the time between two messages of an instance in mode GossipPeriodic.
	GossipPeriod clock.Millis
	// RatingThreshold is how many new ratings trigger a message in mode GossipOnThreshold.
	RatingThreshold int
	// Requests is the number of requests after which the experiment ends.
	Requests int
	Percent  int
}

// DefaultRolloutLoad returns the load of eight instances that roll out a version whose pass rate is lower by loss.
func DefaultRolloutLoad(seed uint64, loss float64) RolloutLoad {
	return RolloutLoad{
		Seed: seed, Instances: 8, Interval: 100, QualityLoss: loss, BaselinePassRate: 0.92, RatedShare: 0.8,
		RatingDelay: 20 * clock.Second, GossipMode: GossipPeriodic, GossipPeriod: 500, RatingThreshold: 1,
		Requests: 5_000, Percent: 10,
	}
}

// RolloutResult is the exposure to the new version under a policy.
type RolloutResult struct {
	// Exposed counts the requests served by the new version until it was stopped or the experiment ended.
	Exposed int
	// Harmed counts the exposed requests with a bad answer.
	Harmed  int
	Stopped bool
	// Messages counts the gossip messages between instances.
	Messages int
	// EndedAt is when the new version was stopped, or the experiment ended.
	EndedAt clock.Millis
}

// rolloutRun is the state of the simulation of one roll-out.
type rolloutRun struct {
	load           RolloutLoad
	random         *rand.Rand
	rollout        ticket.Rollout
	counters       []*evidence.Counters
	unrated        []rollout.UnratedAnswers
	sentRevisions  []map[int]evidence.Revision
	newRatings     []int
	nextGossip     []clock.Millis
	stopped        []bool
	pending        []pendingRolloutRating
	now            clock.Millis
	result         RolloutResult
	stageStartTo   evidence.Tally
	stageStartFrom evidence.Tally
	stage          int
}

type pendingRolloutRating struct {
	due      clock.Millis
	instance int
	arm      evidence.Arm
	good     bool
}

func newRolloutRun(load RolloutLoad) *rolloutRun {
	r := &rolloutRun{
		load:       load,
		random:     rand.New(rand.NewPCG(load.Seed, 7)),
		rollout:    ticket.Rollout{Name: "r", State: ticket.RolloutRunning, Percent: load.Percent},
		stopped:    make([]bool, load.Instances),
		newRatings: make([]int, load.Instances),
		unrated:    make([]rollout.UnratedAnswers, load.Instances),
	}
	for i := range load.Instances {
		r.counters = append(r.counters, evidence.NewCounters(fmt.Sprint(i)))
		r.sentRevisions = append(r.sentRevisions, map[int]evidence.Revision{})
		r.nextGossip = append(r.nextGossip, clock.Millis(r.random.Int64N(int64(load.GossipPeriod))))
	}
	return r
}

// RunRollout simulates one roll-out and returns its result.
func RunRollout(load RolloutLoad, policy RolloutPolicy) RolloutResult {
	r := newRolloutRun(load)
	for request := range load.Requests {
		r.now += clock.Millis(r.random.ExpFloat64() * float64(load.Interval))
		r.deliverRatings()
		if policy == GuardEvidence {
			r.gossip()
		}
		instance := r.random.IntN(load.Instances)
		r.serve(policy, instance, request)
		if r.ended(policy) {
			break
		}
	}
	r.result.EndedAt = r.now
	return r.result
}

// ended reports whether the new version was stopped everywhere.
func (r *rolloutRun) ended(policy RolloutPolicy) bool {
	if policy == GuardStages {
		return r.result.Stopped
	}
	r.result.Stopped = !slices.Contains(r.stopped, false)
	return r.result.Stopped
}

func series(arm evidence.Arm) evidence.Series {
	return evidence.RolloutSeries("r", 1, arm)
}

func (r *rolloutRun) deliverRatings() {
	for len(r.pending) > 0 && r.pending[0].due <= r.now {
		p := r.pending[0]
		r.pending = r.pending[1:]
		r.counters[p.instance].AddRating(series(p.arm), p.good)
		if p.arm == evidence.ArmTo {
			r.unrated[p.instance].RemoveOldest()
		}
		r.newRatings[p.instance]++
		r.evaluate(p.instance)
	}
}

func (r *rolloutRun) evaluate(instance int) {
	c := r.counters[instance]
	if !r.stopped[instance] && rollout.Evaluate(c.Sum(series(evidence.ArmFrom)), c.Sum(series(evidence.ArmTo)), r.load.BaselinePassRate) == rollout.VerdictStop {
		// A stop is broadcast at once and reaches every instance within one exchange;
		// that delay isn't simulated.
		for i := range r.stopped {
			r.stopped[i] = true
		}
	}
}

// gossip sends the evidence of each instance whose period or threshold was reached to a random peer.
func (r *rolloutRun) gossip() {
	for i := range r.counters {
		switch r.load.GossipMode {
		case GossipPeriodic:
			for r.nextGossip[i] <= r.now {
				r.nextGossip[i] += r.load.GossipPeriod
				r.gossipFrom(i)
			}
		case GossipOnThreshold:
			if r.newRatings[i] >= r.load.RatingThreshold {
				r.gossipFrom(i)
			}
		}
	}
}

func (r *rolloutRun) gossipFrom(from int) {
	r.newRatings[from] = 0
	to := (from + 1 + r.random.IntN(r.load.Instances-1)) % r.load.Instances
	rows, revision := r.counters[from].RowsSince(r.sentRevisions[from][to])
	r.sentRevisions[from][to] = revision
	r.result.Messages++
	if r.counters[to].Merge(rows) {
		r.evaluate(to)
	}
}

func (r *rolloutRun) serve(policy RolloutPolicy, instance, request int) {
	arm := evidence.ArmFrom
	switch policy {
	case GuardEvidence:
		c := r.counters[instance]
		position := rollout.Position{Rank: instance, Instances: r.load.Instances}
		key := fmt.Sprint(request)
		assigned := rollout.Assign(&r.rollout, key, r.unrated[instance].Count(r.now), c.Sum(series(evidence.ArmTo)), position)
		if !r.stopped[instance] && assigned == rollout.AssignTo {
			arm = evidence.ArmTo
		}
	case GuardStages:
		if r.random.IntN(100) < stagePercents[min(r.stage, len(stagePercents)-1)] {
			arm = evidence.ArmTo
		}
	}
	good := r.random.Float64() < r.passRate(arm)
	r.counters[instance].AddExposure(series(arm))
	if arm == evidence.ArmTo {
		r.unrated[instance].Add(r.now)
		r.result.Exposed++
		if !good {
			r.result.Harmed++
		}
	}
	if r.random.Float64() < r.load.RatedShare {
		r.pending = append(r.pending, pendingRolloutRating{due: r.now + r.load.RatingDelay, instance: instance, arm: arm, good: good})
	}
	if policy == GuardStages {
		r.evaluateStage()
	}
}

func (r *rolloutRun) passRate(arm evidence.Arm) float64 {
	if arm == evidence.ArmTo {
		return max(0, r.load.BaselinePassRate-r.load.QualityLoss)
	}
	return r.load.BaselinePassRate
}

// Stages of GuardStages: the share of requests in percent, and how many rated answers of
// the new version end a stage. The roll-out stops if the pass rate is lower by stageDrop.
var stagePercents = []int{10, 25, 50, 100}

const (
	stageAnswers = 100
	stageDrop    = 0.05
)

// evaluateStage compares the pass rates of both versions at the end of a stage.
func (r *rolloutRun) evaluateStage() {
	from, to := r.fleetTally(evidence.ArmFrom), r.fleetTally(evidence.ArmTo)
	if to.Rated()-r.stageStartTo.Rated() < stageAnswers {
		return
	}
	good := float64(to.Good-r.stageStartTo.Good) / float64(to.Rated()-r.stageStartTo.Rated())
	base := float64(from.Good-r.stageStartFrom.Good) / max(1, float64(from.Rated()-r.stageStartFrom.Rated()))
	r.result.Stopped = good < base-stageDrop
	r.stageStartTo, r.stageStartFrom = to, from
	r.stage++
}

func (r *rolloutRun) fleetTally(arm evidence.Arm) evidence.Tally {
	var sum evidence.Tally
	for _, c := range r.counters {
		local := c.Local(series(arm))
		sum.Good += local.Good
		sum.Bad += local.Bad
	}
	return sum
}

// RolloutSummary aggregates the results of several seeds.
type RolloutSummary struct {
	ExposedMedian, ExposedP95 int
	HarmedMean                float64
	StoppedShare              float64
	Messages                  int
	// ExposedMean is the mean number of exposed requests.
	ExposedMean float64
}

// String formats the summary as one line.
func (s RolloutSummary) String() string {
	return fmt.Sprintf("exposed median=%d p95=%d mean=%.1f harmed=%.1f stopped=%.4f messages=%d",
		s.ExposedMedian, s.ExposedP95, s.ExposedMean, s.HarmedMean, s.StoppedShare, s.Messages)
}

// RunRollouts runs a roll-out with each of the given number of seeds and aggregates the results.
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
