package rollout

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"foxtailbridge/policy/evidence"
	"foxtailbridge/policy/ticket"
)

// Verdict is what the evidence says of a new version.
type Verdict string

// Verdicts.
const (
	VerdictContinue Verdict = "continue"
	VerdictStop     Verdict = "stop"
)

const (
	// falseStopRate bounds the chance to stop a version that is as good as the old one.
	falseStopRate = 0.005
	// baselineWeight is how many ratings the operator's assumed quality is worth.
	baselineWeight = 50
	// baselineDoubt is the part of its standard error by which the old
	// version's rate is lowered.
	baselineDoubt = 0.5
	// minRate and maxRate keep likelihoods finite.
	minRate = 0.02
	maxRate = 0.98
)

// loss is a drop of the pass rate against which the new version is tested, with
// its weight in the mixture.
type loss struct {
	drop   float64
	weight float64
}

var losses = []loss{{0.03, 0.1}, {0.08, 0.2}, {0.2, 0.4}, {0.4, 0.2}, {0.8, 0.1}}

// Evaluate runs a sequential test of the new version's ratings against the old
// version's pass rate: a mixture of likelihood ratios over several losses.
// prior is the assumed pass rate of the old version, 0 to 1.
func Evaluate(from, to evidence.Tally, prior float64) Verdict {
	baseline := baselineRate(from, prior)
	var ratio float64
	for _, l := range losses {
		ratio += l.weight * math.Exp(logRatio(to, baseline, l.drop))
	}
	if ratio >= 1/falseStopRate {
		return VerdictStop
	}
	return VerdictContinue
}

// baselineRate estimates the old version's pass rate and lowers it by a part of
// its standard error, so that a lucky old version does not condemn the new one.
func baselineRate(from evidence.Tally, prior float64) float64 {
	weight := float64(from.Rated()) + baselineWeight
	mean := (float64(from.Good) + baselineWeight*prior) / weight
	rate := mean - baselineDoubt*math.Sqrt(mean*(1-mean)/weight)
	return min(max(rate, minRate), maxRate)
}

func logRatio(to evidence.Tally, baseline, drop float64) float64 {
	worse := max(baseline-drop, minRate/2)
	good := math.Log(worse / baseline)
	bad := math.Log((1 - worse) / (1 - baseline))
	return float64(to.Good)*good + float64(to.Bad)*bad
}

const (
	// firstExposure is how many unrated answers of a new version the fleet risks at first.
	firstExposure = 8
	// exposurePerGood is how many more it risks for each answer rated good.
	exposurePerGood = 0.25
)

// Allowance returns how many answers of the new version may be unrated at once
// in the whole fleet.
func Allowance(to evidence.Tally) int64 {
	return firstExposure + int64(exposurePerGood*float64(to.Good))
}

// Quota splits an allowance: it returns the part of the instance with the
// given rank, 0-based, among a number of instances.
func Quota(allowance int64, rank, instances int) int64 {
	if instances <= 0 {
		return 0
	}
	quota := allowance / int64(instances)
	if int64(rank) < allowance%int64(instances) {
		quota++
	}
	return quota
}

// Assignment says which version a request of a roll-out's model gets.
type Assignment string

// Assignments.
const (
	AssignFrom Assignment = "from"
	AssignTo   Assignment = "to"
	// AssignHeld means that the share would allow the new version and the
	// unrated exposure does not.
	AssignHeld Assignment = "held"
)

// Position is an instance's place among the live instances.
type Position struct {
	Rank      int
	Instances int
}

// Assign decides for one session or request key. unrated is what this instance
// exposed and has no rating for yet, sum what the fleet is known to have counted.
func Assign(r *ticket.Rollout, key string, unrated int64, sum evidence.Tally, at Position) Assignment {
	switch r.State {
	case ticket.RolloutDone:
		return AssignTo
	case ticket.RolloutStopped:
		return AssignFrom
	}
	if !inShare(r, key) {
		return AssignFrom
	}
	if unrated >= Quota(Allowance(sum), at.Rank, at.Instances) {
		return AssignHeld
	}
	return AssignTo
}

const percentBuckets = 100

// inShare maps a key to the same bucket at every percentage, so that raising
// the percentage keeps those who have the new version.
func inShare(r *ticket.Rollout, key string) bool {
	bucket := xxhash.Sum64String(string(r.Name)+"\x00"+key) % percentBuckets
	return int(bucket) < r.Percent
}
