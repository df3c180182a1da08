package cascade

import "math"

// RouteRequests is what an instance knows of the requests on a route.
type RouteRequests struct {
	// Count is the number of requests seen.
	Count int
	// MeanPrice is the price of a request of mean size at the largest model.
	MeanPrice float64
}

const (
	// floorProbability is the probability of a poor answer from which a second run on the largest
	// model pays at the value floor: an operator who gives a route several models wants an answer
	// of a larger one rather than one that is about as likely poor as good.
	floorProbability = 0.4
	// matchedProbability is the probability of a poor answer at which a second run must pay for a
	// rank to count as matching the worth of the route's answers. It is that of an answer of
	// confidence 40, below which most poor answers lie.
	matchedProbability = 0.65
	// matchedMargin is added to matchedProbability, divided by the root of the number of requests
	// seen, as the mean price of few requests may be far off.
	matchedMargin = 0.35
)

// ValueFloor returns the least value of a good answer to a request of this price at the largest
// model, or 0 if the rank of the route matches the worth of its answers, so that the rank alone
// decides. A rank says who goes first; it does not match if it pays for no second run of the
// route's requests even where the answer is likely poor.
func ValueFloor(rank int, price float64, route RouteRequests) float64 {
	matched := matchedProbability + matchedMargin/math.Sqrt(float64(max(1, route.Count)))
	if route.MeanPrice <= poorAnswerLoss*rankValue(rank)*matched {
		return 0
	}
	return price / (poorAnswerLoss * floorProbability)
}

// rankValue is the value of an answer of mean size by the rank of its route.
func rankValue(rank int) float64 {
	return topRankValue * math.Pow(rankDecay, float64(max(0, rank)))
}
