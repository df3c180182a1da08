package cascade

import (
	"math"

	"foxtailbridge/policy/ticket"
)

// RatingKey identifies one series of ratings.
type RatingKey struct {
	Workspace ticket.WorkspaceName
	Class     ticket.Class
	Version   ticket.VersionRef
}

// RatingCount is a number of good and bad ratings; it may be fractional, as older
// ratings have less weight.
type RatingCount struct {
	Good float64
	Bad  float64
}

func (c RatingCount) total() float64 {
	return c.Good + c.Bad
}

const (
	// priorWeight is the number of ratings that the operator's assumed quality counts for.
	priorWeight = 10
	// lowerQuantile is the normal quantile of the lower bound: a version meets the
	// target once its pass rate does so with 84% confidence.
	lowerQuantile = 1.0
	// upperQuantile is the normal quantile of the upper bound: a version is no
	// longer explored only if it misses the target with 99% confidence, since
	// excluding a good version costs more than trying a poor one.
	upperQuantile = 2.5
)

// Estimate is a pass rate with its confidence bounds, each 0 to 1.
type Estimate struct {
	Mean  float64
	Lower float64
	Upper float64
}

// NewEstimate estimates the pass rate from ratings and an assumed quality, the prior.
func NewEstimate(count RatingCount, prior float64) Estimate {
	weight := count.total() + priorWeight
	mean := (count.Good + priorWeight*prior) / weight
	return Estimate{Mean: mean, Lower: wilsonBound(mean, weight, -lowerQuantile), Upper: wilsonBound(mean, weight, upperQuantile)}
}

// wilsonBound returns the Wilson score bound of a mean: the lower one for a negative
// z, the upper one for a positive z.
func wilsonBound(mean, weight, z float64) float64 {
	z2 := z * z
	center := (mean + z2/(2*weight)) / (1 + z2/weight)
	half := z / (1 + z2/weight) * math.Sqrt(mean*(1-mean)/weight+z2/(4*weight*weight))
	return min(max(center+half, 0), 1)
}
