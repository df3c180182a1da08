package forward

import (
	"cmp"
	"slices"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/ticket"
)

// paceBaseline is the usual time between the events of a model's streams.
type paceBaseline struct {
	mean placement.Average
	// samples are the latest of the usual release, count is how many there were.
	samples [paceHistory]paceSample
	count   int
}

// paceSample is a stream's time between its first compareEvents events, at an
// endpoint that had so many requests.
type paceSample struct {
	value    float64
	inFlight int
}

const (
	// paceHistory is how many streams are looked through for those that ran under
	// like load, nearStreams how many of those are compared with: with a zone lost
	// and the others crowded, so many streams set the measure anew.
	paceHistory     = 40
	comparedSamples = 11
	// busierFactor says how many times more requests ran beside streams that are no
	// longer like another, fewRequests beside how many a stream runs as if alone.
	busierFactor = 2
	lightLoad    = 4
	// fastestShare is the fastest part of the streams, beside which no prompt was read;
	// its last one is taken, as events that come late and together look fast.
	fastestShare = 0.1
	// slowShare is the part of the usual release's streams taken to be slower than
	// paceFactor times the median: those beside which long prompts are read.
	slowShare = 0.25
	// paceWindow is how many streams the mean looks back on.
	paceWindow = 40
)

// compare reports whether a stream is slow for the load under which it ran, once
// enough streams of the usual release are known, and takes one of that release.
func (p *paceBaseline) compare(value float64, inFlight int, baseline bool) (slower, known bool) {
	known = p.count >= comparedSamples
	slower = known && value > slowPaceFactor*p.expected(inFlight)
	if baseline {
		p.samples[p.count%paceHistory] = paceSample{value, inFlight}
		p.count++
	}
	return slower, known
}

// expected returns the pace to expect of the usual release under a load: the median of
// its streams under the load nearest to that, the latest first. If all its endpoints
// are busier, its fastest streams bound the pace above: fewer requests slow none.
func (p *paceBaseline) expected(inFlight int) float64 {
	latest := make([]paceSample, 0, paceHistory)
	for i := range min(p.count, paceHistory) {
		latest = append(latest, p.samples[(p.count-1-i)%paceHistory])
	}
	slices.SortStableFunc(latest, func(a, b paceSample) int {
		return max(a.inFlight-inFlight, inFlight-a.inFlight) - max(b.inFlight-inFlight, inFlight-b.inFlight)
	})
	closest := slices.Clone(latest[:min(comparedSamples, len(latest))])
	slices.SortFunc(closest, func(a, b paceSample) int { return cmp.Compare(a.inFlight, b.inFlight) })
	busier := closest[len(closest)/2].inFlight > busierFactor*max(inFlight, lightLoad)
	slices.SortFunc(closest, func(a, b paceSample) int { return cmp.Compare(a.value, b.value) })
	median := closest[len(closest)/2].value
	if !busier {
		return median
	}
	slices.SortFunc(latest, func(a, b paceSample) int { return cmp.Compare(a.value, b.value) })
	return min(median, latest[int(fastestShare*float64(len(latest)))].value)
}

func (e *endpointTracker) paceBaseline(model ticket.ModelName) *paceBaseline {
	p := e.paces[model]
	if p == nil {
		p = &paceBaseline{}
		e.paces[model] = p
	}
	return p
}

// recordPace takes the time that a number of events of the usual release took.
func (e *endpointTracker) recordPace(model ticket.ModelName, elapsed clock.Millis, events int) {
	if events < 2 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	updateAverage(&e.paceBaseline(model).mean, float64(elapsed)/float64(events-1), paceWindow)
}

// comparePace reports whether a stream's first events came slowly for the load of
// its endpoint; known is false while there are too few streams of the usual
// release to say.
func (e *endpointTracker) comparePace(s *placement.State, model ticket.ModelName, elapsed clock.Millis, events int, baseline bool) (slower, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.paceBaseline(model).compare(float64(elapsed)/float64(events-1), s.Occupied(e.clock.Mono()), baseline)
}

const (
	// slowPaceFactor and paceFloor say how much longer than usual the time between
	// events is, in milliseconds, that counts as slow; paceEvents is how many
	// events it takes to say so.
	slowPaceFactor = 2.0
	slowPaceMargin = 6.0
	minPaceEvents  = 3
	// pastCanaryPaceFactor takes paceFactor's place while traffic moves: the new endpoints
	// then take a high load without kept prompts.
	pastCanaryPaceFactor = 4.0
)

// isSlowPace reports whether a stream's events come so many times slower than usual.
func (e *endpointTracker) isSlowPace(model ticket.ModelName, elapsed clock.Millis, events int, factor float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.paces[model]
	return p != nil && p.mean.Count >= minBaselineRuns && float64(elapsed)/float64(events-1) > factor*p.mean.Mean+slowPaceMargin
}

// meanPace returns the usual time between events of a model in milliseconds.
func (e *endpointTracker) meanPace(model ticket.ModelName) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.paces[model]; p != nil {
		return p.mean.Mean
	}
	return 0
}
