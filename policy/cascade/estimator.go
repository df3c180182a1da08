package cascade

import (
	"math"

	"foxtailbridge/policy/ticket"
)

// Key names one series of ratings.
type Key struct {
	Workspace ticket.WorkspaceName
	Class     ticket.Class
	Version   ticket.VersionRef
}

// Count is a number of ratings; old ones may count in part.
type Count struct {
	Good float64
	Bad  float64
}

func (c Count) total() float64 {
	return c.Good + c.Bad
}

const (
	// priorWeight is how many ratings the operator's assumed quality is worth.
	priorWeight = 10
	// confidenceZ is the normal quantile of the one-sided 95% confidence bound.
	confidenceZ = 1.645
)

// Estimate is a pass rate with a confidence interval, each 0 to 1.
type Estimate struct {
	Mean  float64
	Lower float64
	Upper float64
}

// NewEstimate returns the estimated pass rate from ratings and an assumed quality.
func NewEstimate(count Count, prior float64) Estimate {
	weight := count.total() + priorWeight
	mean := (count.Good + priorWeight*prior) / weight
	return wilson(mean, weight)
}

// wilson returns the Wilson score interval around a mean.
func wilson(mean, weight float64) Estimate {
	const z2 = confidenceZ * confidenceZ
	center := (mean + z2/(2*weight)) / (1 + z2/weight)
	half := confidenceZ / (1 + z2/weight) * math.Sqrt(mean*(1-mean)/weight+z2/(4*weight*weight))
	return Estimate{Mean: mean, Lower: max(0, center-half), Upper: min(1, center+half)}
}
