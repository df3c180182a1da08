package cascade

import (
	"math"

	"foxtailbridge/policy/ticket"
)

// RatingKey names one series of ratings.
type RatingKey struct {
	Workspace ticket.WorkspaceName
	Class     ticket.Class
	Version   ticket.VersionRef
}

// RatingCount is a number of ratings; old ones may count in part.
type RatingCount struct {
	Good float64
	Bad  float64
}

func (c RatingCount) total() float64 {
	return c.Good + c.Bad
}

const (
	// priorWeight is how many ratings the operator's assumed quality is worth.
	priorWeight = 10
	// lowerZ is the normal quantile of the lower bound: a version is used for
	// good once it meets the target with 84% confidence.
	lowerZ = 1.0
	// upperZ is that of the upper bound: a version is given up only with 99%
	// confidence, since giving up a good one costs more than trying a poor one.
	upperZ = 2.5
)

// Estimate is a pass rate with its confidence bounds, each 0 to 1.
type Estimate struct {
	Mean  float64
	Lower float64
	Upper float64
}

// NewEstimate returns the estimated pass rate from ratings and an assumed quality.
func NewEstimate(count RatingCount, prior float64) Estimate {
	weight := count.total() + priorWeight
	mean := (count.Good + priorWeight*prior) / weight
	return Estimate{Mean: mean, Lower: wilson(mean, weight, -lowerZ), Upper: wilson(mean, weight, upperZ)}
}

// wilson returns the Wilson score bound of a mean on the side of the sign of z.
func wilson(mean, weight, z float64) float64 {
	z2 := z * z
	center := (mean + z2/(2*weight)) / (1 + z2/weight)
	half := z / (1 + z2/weight) * math.Sqrt(mean*(1-mean)/weight+z2/(4*weight*weight))
	return min(max(center+half, 0), 1)
}
