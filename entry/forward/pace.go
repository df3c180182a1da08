package forward

import (
	"cmp"
	"slices"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/ticket"
)

// pace is the usual time between the events of a model's streams.
type pace struct {
	mean placement.MovingAverage
	// streams are the latest of the usual release, count is how many there were.
	streams [paceStreams]loadedPace
	count   int
}

// loadedPace is a stream's time between its first compareEvents events, at an
// endpoint that had so many requests.
type loadedPace struct {
	value    float64
	occupied int
}

const (
	// paceStreams is how many streams are looked through for those that ran under
	// like load, nearStreams how many of those are compared with: with a zone lost
	// and the others crowded, so many streams set the measure anew.
	paceStreams = 40
	nearStreams = 11
	// busierFactor says how many times more requests ran beside streams that are no
	// longer like another, fewRequests beside how many a stream runs as if alone.
	busierFactor = 2
	fewRequests  = 4
	// freePart is the fastest part of the streams, beside which no prompt was read;
	// its last one is taken, as events that come late and together look fast.
	freePart = 0.1
	// slowPart is the part of the usual release's streams taken to be slower than
	// paceFactor times the median: those beside which long prompts are read.
	slowPart = 0.25
	// paceRuns is how many streams the mean looks back on.
	paceRuns = 40
)

// compare reports whether a stream is slow for the load under which it ran, once
// enough streams of the usual release are known, and takes one of that release.
func (p *pace) compare(value float64, occupied int, usual bool) (slower, known bool) {
	known = p.count >= nearStreams
	slower = known && value > paceFactor*p.usual(occupied)
	if usual {
		p.streams[p.count%paceStreams] = loadedPace{value, occupied}
		p.count++
	}
	return slower, known
}

// usual returns the pace to expect of the usual release under a load: the median of
// its streams under the load nearest to that, the latest first. If all its endpoints
// are busier, its fastest streams bound the pace above: fewer requests slow none.
func (p *pace) usual(occupied int) float64 {
	latest := make([]loadedPace, 0, paceStreams)
	for i := range min(p.count, paceStreams) {
		latest = append(latest, p.streams[(p.count-1-i)%paceStreams])
	}
	slices.SortStableFunc(latest, func(a, b loadedPace) int {
		return max(a.occupied-occupied, occupied-a.occupied) - max(b.occupied-occupied, occupied-b.occupied)
	})
	near := slices.Clone(latest[:min(nearStreams, len(latest))])
	slices.SortFunc(near, func(a, b loadedPace) int { return cmp.Compare(a.occupied, b.occupied) })
	busier := near[len(near)/2].occupied > busierFactor*max(occupied, fewRequests)
	slices.SortFunc(near, func(a, b loadedPace) int { return cmp.Compare(a.value, b.value) })
	median := near[len(near)/2].value
	if !busier {
		return median
	}
	slices.SortFunc(latest, func(a, b loadedPace) int { return cmp.Compare(a.value, b.value) })
	return min(median, latest[int(freePart*float64(len(latest)))].value)
}

func (e *endpoints) pace(model ticket.ModelName) *pace {
	p := e.paces[model]
	if p == nil {
		p = &pace{}
		e.paces[model] = p
	}
	return p
}

// paced takes the time that a number of events of the usual release took.
func (e *endpoints) paced(model ticket.ModelName, span clock.Millis, events int) {
	if events < 2 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	smooth(&e.pace(model).mean, float64(span)/float64(events-1), paceRuns)
}

// comparePace reports whether a stream's first events came slowly for the load of
// its endpoint; known is false while there are too few streams of the usual
// release to say.
func (e *endpoints) comparePace(s *placement.State, model ticket.ModelName, span clock.Millis, events int, usual bool) (slower, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pace(model).compare(float64(span)/float64(events-1), s.InFlight(e.clock.Mono()), usual)
}

const (
	// paceFactor and paceFloor say how much longer than usual the time between
	// events is, in milliseconds, that counts as slow; paceEvents is how many
	// events it takes to say so.
	paceFactor = 2.0
	paceFloor  = 6.0
	paceEvents = 3
	// movedFactor takes paceFactor's place while traffic moves: the new endpoints
	// then take a high load without kept prompts.
	movedFactor = 4.0
)

// slowPace reports whether a stream's events come so many times slower than usual.
func (e *endpoints) slowPace(model ticket.ModelName, span clock.Millis, events int, factor float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.paces[model]
	return p != nil && p.mean.Count >= usualRuns && float64(span)/float64(events-1) > factor*p.mean.Mean+paceFloor
}

// pause returns the usual time between events of a model in milliseconds.
func (e *endpoints) pause(model ticket.ModelName) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.paces[model]; p != nil {
		return p.mean.Mean
	}
	return 0
}
