package rollout

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"foxtailbridge/policy/evidence"
	"foxtailbridge/policy/ticket"
)

// Verdict is the outcome of evaluating a new version's ratings.
type Verdict string

// Verdicts.
const (
	VerdictContinue Verdict = "continue"
	VerdictStop     Verdict = "stop"
)

const (
	// falseStopRate bounds the probability of stopping a version that is as good as
	// the old one.
	falseStopRate = 0.005
	// baselineWeight is the number of ratings that the operator's assumed quality
	// counts for.
	baselineWeight = 50
	// baselineErrorShare is the share of its standard error by which the old
	// version's pass rate is lowered.
	baselineErrorShare = 0.5
	// minRate and maxRate keep likelihoods finite.
	minRate = 0.02
	maxRate = 0.98
)

// alternative is an alternative hypothesis of the sequential test: a drop of the pass
// rate, with its weight in the mixture.
type alternative struct {
	drop   float64
	weight float64
}

var alternatives = []alternative{{0.03, 0.1}, {0.08, 0.2}, {0.2, 0.4}, {0.4, 0.2}, {0.8, 0.1}}

// Evaluate runs a sequential test of the new version's ratings against the old
// version's pass rate, with a mixture of likelihood ratios over the alternatives.
// prior is the assumed pass rate of the old version, 0 to 1.
func Evaluate(from, to evidence.Tally, prior float64) Verdict {
	baseline := baselineRate(from, prior)
	var likelihoodRatio float64
	for _, a := range alternatives {
		likelihoodRatio += a.weight * math.Exp(logLikelihoodRatio(to, baseline, a.drop))
	}
	if likelihoodRatio >= 1/falseStopRate {
		return VerdictStop
	}
	return VerdictContinue
}

// baselineRate estimates the old version's pass rate, lowered by a share of its
// standard error so that an overestimated rate does not stop the new version.
func baselineRate(from evidence.Tally, prior float64) float64 {
	weight := float64(from.Rated()) + baselineWeight
	mean := (float64(from.Good) + baselineWeight*prior) / weight
	rate := mean - baselineErrorShare*math.Sqrt(mean*(1-mean)/weight)
	return min(max(rate, minRate), maxRate)
}

// logLikelihoodRatio returns the log likelihood ratio of the ratings for a drop of the
// pass rate against the baseline.
func logLikelihoodRatio(to evidence.Tally, baseline, drop float64) float64 {
	worse := max(baseline-drop, minRate/2)
	good := math.Log(worse / baseline)
	bad := math.Log((1 - worse) / (1 - baseline))
	return float64(to.Good)*good + float64(to.Bad)*bad
}

const (
	// initialAllowance is the number of unrated answers of a new version that the
	// fleet allows before the first good rating.
	initialAllowance = 8
	// allowancePerGood is the increase of the allowance for each answer rated good.
	allowancePerGood = 0.25
)

// Allowance returns the number of answers of the new version that may be unrated at
// once in the whole fleet.
func Allowance(to evidence.Tally) int64 {
	return initialAllowance + int64(allowancePerGood*float64(to.Good))
}

// Quota returns an instance's share of an allowance that is divided evenly among
// the instances; rank is 0-based.
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

// Assignment is the version assigned to a request for a model under roll-out.
type Assignment string

// Assignments.
const (
	AssignFrom Assignment = "from"
	AssignTo   Assignment = "to"
	// AssignHeld means that the key is in the new version's share, but this
	// instance has no quota left for unrated answers.
	AssignHeld Assignment = "held"
)

// Position is an instance's rank among the live instances.
type Position struct {
	Rank      int
	Instances int
}

// Assign returns the assignment for one session or request key. unrated is the number
// of unrated answers of the new version on this instance, and sum the fleet's known
// tally of its ratings.
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

const bucketCount = 100

// inShare reports whether the key is in the new version's share. A key has the same
// bucket at every percentage, so that keys on the new version stay there when the
// percentage is raised.
func inShare(r *ticket.Rollout, key string) bool {
	bucket := xxhash.Sum64String(string(r.Name)+"\x00"+key) % bucketCount
	return int(bucket) < r.Percent
}
