package speed

import (
	"math"

	"foxtailbridge/policy/clock"
)

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
	// minRelativeSamples is the number of recent samples below which an endpoint counts as usual.
	minRelativeSamples = 2.5
	// relativeMemory is the time constant with which samples are forgotten: an endpoint that gets
	// no requests because it was slow gives no samples either, and must be tried again.
	relativeMemory = clock.Minute
	// standardErrors is how many standard errors the mean must be away from that of the peers for
	// an endpoint to count as different. One would take 3 in 10 of endpoints that are alike for
	// different, two take 1 in 25.
	standardErrors = 2.0
	// maxRelative bounds the factor each way.
	maxRelative = 2.0
)

// Relative estimates how many times as long as at its peers work takes at one endpoint. The zero
// value has no samples.
type Relative struct {
	// mean and spread are the moving averages of the logarithm of the ratios and of its squared
	// deviation.
	mean, spread float64
	// weight is the number of samples, which decays, as of the time of the latest one.
	weight   float64
	latestAt clock.Millis
}

// samples returns the decayed number of samples.
func (r Relative) samples(now clock.Millis) float64 {
	return r.weight * math.Exp(-float64(max(0, now-r.latestAt))/float64(relativeMemory))
}

// Add adds the ratio of a delay at the endpoint to the one expected of any endpoint.
func (r *Relative) Add(ratio float64, now clock.Millis) {
	value := math.Log(math.Min(maxRelative, math.Max(1/maxRelative, ratio)))
	r.weight = math.Min(relativeWindow, r.samples(now)+1)
	r.latestAt = now
	deviation := value - r.mean
	r.mean += deviation / r.weight
	r.spread += (deviation*(value-r.mean) - r.spread) / r.weight
}

// Factor returns how many times as long as at its peers work takes: 1 while there are few recent
// samples, and while the mean is within standardErrors, so that endpoints that are alike are
// treated alike; from then on the mean, shrunk towards 1.
func (r Relative) Factor(now clock.Millis) Factor {
	if r.weight == 0 {
		return 1
	}
	n := r.samples(now)
	if n < minRelativeSamples {
		return 1
	}
	variance := (n*r.spread + shrinkSamples*usualSpread*usualSpread) / (n + shrinkSamples)
	if math.Abs(r.mean) <= standardErrors*math.Sqrt(variance/n) {
		return 1
	}
	return Factor(math.Exp(r.mean * n / (n + shrinkSamples)))
}
