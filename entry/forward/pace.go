package forward

import (
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/ticket"
)

// pace is the usual time between the events of a model's streams.
type pace struct {
	mean placement.Average
	// quartile is the time that a quarter of the streams exceed in their first
	// compareEvents events, compared the number of streams that it was set by.
	quartile float64
	compared int
}

const (
	// slowPart is the part of the usual release's streams that lie above the quartile.
	slowPart = 0.25
	// quartileStep is how far one stream moves the quartile, as a part of it: some
	// ten streams set it anew, as when a zone is lost and the others are crowded.
	quartileStep = 0.25
	// paceRuns is how many streams the mean looks back on.
	paceRuns = 40
)

// compare reports whether a stream lies above the quartile, once that is known,
// and moves it by a stream of the usual release.
func (p *pace) compare(value float64, usual bool) (slower, known bool) {
	slower, known = value > p.quartile, p.compared >= usualRuns
	if !usual {
		return slower, known
	}
	p.compared++
	switch {
	case p.compared <= usualRuns/2:
		p.quartile += (value - p.quartile) / float64(p.compared)
	case slower:
		p.quartile *= 1 + quartileStep*(1-slowPart)
	default:
		p.quartile *= 1 - quartileStep*slowPart
	}
	return slower, known
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

// comparePace reports whether a stream's first events came more slowly than in
// three quarters of the usual release's streams; known is false while there are
// too few of them.
func (e *endpoints) comparePace(model ticket.ModelName, span clock.Millis, events int, usual bool) (slower, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pace(model).compare(float64(span)/float64(events-1), usual)
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
