package speed

import "math"

const (
	// relativeWindow is about how many samples a relative speed covers. An instance of a large
	// fleet gets a few a minute from one endpoint.
	relativeWindow = 20.0
	// shrinkSamples is the weight, in samples, of the assumption that an endpoint is as fast as
	// its peers.
	shrinkSamples = 5.0
	// usualSpread is the assumed standard deviation of the logarithm of delays at one endpoint
	// before samples say more.
	usualSpread = 0.3
	// minRelativeSamples is the number of samples below which an endpoint counts as usual.
	minRelativeSamples = 3
	// maxRelative bounds the factor each way.
	maxRelative = 2.0
)

// Relative estimates how many times as long as at its peers work takes at one endpoint. The zero
// value has no samples.
type Relative struct {
	// mean and spread are the moving averages of the logarithm of the ratios and of its squared
	// deviation.
	mean, spread float64
	count        int
}

// Add adds the ratio of a delay at the endpoint to the one expected of any endpoint.
func (r *Relative) Add(ratio float64) {
	value := math.Log(math.Min(maxRelative, math.Max(1/maxRelative, ratio)))
	r.count++
	step := 1 / math.Min(relativeWindow, float64(r.count))
	deviation := value - r.mean
	r.mean += step * deviation
	r.spread += step * (deviation*(value-r.mean) - r.spread)
}

// Factor returns how many times as long as at its peers work takes: 1 until there are a few
// samples, and while the mean is within its standard error, so that endpoints that are alike are
// treated alike; from then on the mean, shrunk towards 1.
func (r Relative) Factor() Factor {
	if r.count < minRelativeSamples {
		return 1
	}
	n := math.Min(relativeWindow, float64(r.count))
	variance := (n*r.spread + shrinkSamples*usualSpread*usualSpread) / (n + shrinkSamples)
	if math.Abs(r.mean) <= math.Sqrt(variance/n) {
		return 1
	}
	return Factor(math.Exp(r.mean * n / (n + shrinkSamples)))
}
