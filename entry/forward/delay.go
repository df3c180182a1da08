package forward

import (
	"slices"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
)

// delayBaseline is the usual delay of one kind of work: the time to the first byte.
type delayBaseline struct {
	mean placement.MovingAverage
	// samples is a ring of the latest delays; count is how many were ever added.
	samples [delayHistory]clock.Millis
	count   int
}

const (
	// delayHistory is how many responses the median covers, and minDelayHistory how many
	// it takes to know it.
	delayHistory    = 40
	minDelayHistory = 5
	// A plain response is slow if it takes longer than plainDelayFactor times the median
	// plus plainDelayMargin. Both are small: a release that is several times slower must
	// stand out even if its usual responses take a few milliseconds. The margin covers
	// the instance's own scheduling.
	plainDelayFactor = 3
	plainDelayMargin = 10 * clock.Millis(1)
)

// add adds a response of the old release.
func (b *delayBaseline) add(delay clock.Millis) {
	updateAverage(&b.mean, float64(delay), delayWindow)
	b.samples[b.count%delayHistory] = delay
	b.count++
}

// median returns the median of the samples; known is false while there are too few.
func (b *delayBaseline) median() (median clock.Millis, known bool) {
	n := min(b.count, delayHistory)
	if n < minDelayHistory {
		return 0, false
	}
	sorted := slices.Clone(b.samples[:n])
	slices.Sort(sorted)
	return sorted[n/2], true
}

// judgePlain reports whether a plain response is slow, given the load that its endpoint
// reported with it, or nil. While the usual delay is not known, the route's goal takes its
// place; known is false if there is none either.
func (b *delayBaseline) judgePlain(delay, goal clock.Millis, load *placement.Load) (slow, known bool) {
	median, known := b.median()
	if !known {
		return goal > 0 && delay > goal, goal > 0
	}
	return float64(delay) > plainDelayFactor*float64(median)*load.QueueFactor()+float64(plainDelayMargin), true
}

// judgeStream reports whether a stream was slow to begin; known is false while the usual
// delay is not known.
func (b *delayBaseline) judgeStream(delay clock.Millis) (slow, known bool) {
	if b.mean.Count < minBaselineRuns {
		return false, false
	}
	return float64(delay) > slowDelayFactor*b.mean.Mean+slowDelayMargin, true
}
