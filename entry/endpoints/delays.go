package endpoints

import (
	"slices"
	"sync"

	"foxtailbridge/policy/cascade"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/ticket"
)

// MinBaselineRuns is how many runs it takes to know the usual delay or pace.
const MinBaselineRuns = 10

// delayKey identifies a kind of work with its own usual delay.
type delayKey struct {
	route catalog.RouteName
	model ticket.ModelName
}

// Delays holds the usual delay of each kind of work. Its methods may be called concurrently.
type Delays struct {
	mu    sync.Mutex
	byKey map[delayKey]*delayBaseline
	// recent holds the delay of each route in the last seconds.
	recent map[catalog.RouteName]*cascade.RecentDelay
}

// NewDelays returns a table that knows no delays.
func NewDelays() *Delays {
	return &Delays{byKey: map[delayKey]*delayBaseline{}, recent: map[catalog.RouteName]*cascade.RecentDelay{}}
}

// RecordRecent adds a run's time to the first byte to the route's delay in the last seconds.
func (d *Delays) RecordRecent(route catalog.RouteName, delay, now clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.recent[route] == nil {
		d.recent[route] = &cascade.RecentDelay{}
	}
	d.recent[route].Add(delay, now)
}

// Recent returns the mean time to the first byte on a route in the last seconds, or 0.
func (d *Delays) Recent(route catalog.RouteName, now clock.Millis) clock.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.recent[route]; r != nil {
		return r.Mean(now)
	}
	return 0
}

// DelayJudgement says how a delay compares with the usual one.
type DelayJudgement struct {
	// Slow is true if the delay is slow for its kind of work; Known is false if that cannot
	// be told.
	Slow, Known bool
	// Ratio is the delay relative to the mean. It is valid if MeanKnown is true.
	Ratio     float64
	MeanKnown bool
}

// Judge compares a run's time to the first byte with the usual one for its kind of work on a
// route. The load is what the endpoint reported with the response, or nil. Only runs with
// baseline set update the usual delay.
func (d *Delays) Judge(route *catalog.Route, model ticket.ModelName, delay clock.Millis, load *placement.Load, baseline bool) DelayJudgement {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := delayKey{route.Name, model}
	b := d.byKey[key]
	if b == nil {
		b = &delayBaseline{}
		d.byKey[key] = b
	}
	var j DelayJudgement
	if route.Stream {
		j.Slow, j.Known = b.judgeStream(delay)
	} else {
		j.Slow, j.Known = b.judgePlain(delay, route.FirstByteGoal, load)
	}
	if b.mean.Count >= MinBaselineRuns {
		j.MeanKnown, j.Ratio = true, float64(delay)/max(1, b.mean.Mean)
	}
	if baseline {
		b.add(delay)
	}
	return j
}

// Expected returns the usual time to the first byte, or 0 if it is not known.
func (d *Delays) Expected(route catalog.RouteName, model ticket.ModelName) clock.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b := d.byKey[delayKey{route, model}]; b != nil && b.mean.Count >= MinBaselineRuns {
		return clock.Millis(b.mean.Mean)
	}
	return 0
}

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
	// A stream is slow to begin if it takes longer than slowDelayFactor times the usual
	// delay plus slowDelayMargin milliseconds, as prompts differ in length.
	slowDelayFactor = 3.5
	slowDelayMargin = 150.0
	// delayWindow is how many responses the mean covers.
	delayWindow = 16
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
	if b.mean.Count < MinBaselineRuns {
		return false, false
	}
	return float64(delay) > slowDelayFactor*b.mean.Mean+slowDelayMargin, true
}
