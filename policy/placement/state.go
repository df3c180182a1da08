package placement

import (
	"math"

	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/share"
	"foxtailbridge/policy/ticket"
)

// PartID identifies one part of a prompt.
type PartID string

// Part is one part of a prompt; parts before it belong to what is cached of it.
type Part struct {
	ID     PartID
	Tokens int
}

// Load is an endpoint's own word on its load.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// loadedPart is the part of its slots that run at an endpoint under high load.
const loadedPart = 0.5

// High reports whether the endpoint runs so much that failures under load show.
func (l *Load) High() bool {
	return l != nil && float64(l.Running) >= loadedPart*float64(l.Slots)
}

// State is what one machine knows of one endpoint. It is not safe for concurrent use.
type State struct {
	Endpoint *catalog.Endpoint
	// OwnInFlight is the number of this machine's requests there.
	OwnInFlight int
	// PrefillTokens is the number of prompt tokens sent there whose answer has not
	// begun, weighed by their models.
	PrefillTokens float64
	// ColdUntil is when the endpoint has warmed up.
	ColdUntil clock.Millis
	// FirstSeen is when this machine first saw the endpoint.
	FirstSeen clock.Millis
	// LastReceived is when any byte last came from the endpoint.
	LastReceived clock.Millis
	// FailureRate is the moving share of runs that failed for no fault of the request.
	FailureRate MovingAverage
	// ExcessFailureRate is how far Failures lies above what its peers show.
	ExcessFailureRate float64
	// LatencyRatio is the moving ratio of its time to the first byte to that of its peers.
	LatencyRatio MovingAverage

	cold        share.TokenBucket
	load        Load
	loadAt      clock.Millis
	others      int
	othersAt    clock.Millis
	ownAtReport int
	downUntil   clock.Millis
	misses      int
	faults      float64
	faultsAt    clock.Millis
	parts       map[keptPart]clock.Millis
}

// keptPart is a part as one model has read it.
type keptPart struct {
	id    PartID
	model ticket.ModelName
}

const (
	// loadMemory is how long a reported load counts.
	loadMemory = 2 * clock.Second
	// freshLoad is how long it goes before what other instances tell.
	freshLoad = 300 * clock.Millis(1)
	// firstPause is how long an endpoint is left alone after it could not be
	// reached; the pause doubles up to maxPause.
	firstPause = 400 * clock.Millis(1)
	maxPause   = 3200 * clock.Millis(1)
	// partsKept bounds the prompt parts remembered for an endpoint.
	partsKept = 256
	// partMemory is how long a part is taken to stay cached.
	partMemory = 20 * clock.Second
	// averageSpan is how many runs a moving average looks back on.
	averageSpan = 12
)

// MovingAverage is a moving mean; its zero value knows nothing.
type MovingAverage struct {
	Mean  float64
	Count int
}

// Add takes one observation.
func (a *MovingAverage) Add(value float64) {
	a.Count++
	weight := 1 / float64(min(a.Count, averageSpan))
	a.Mean += weight * (value - a.Mean)
}

// NewState returns a State for an endpoint first seen at the time. The phase, 0
// to 1, sets this instance apart from others that send to the endpoint while it
// is cold.
func NewState(e *catalog.Endpoint, now clock.Millis, phase float64) *State {
	return &State{Endpoint: e, FirstSeen: now, LastReceived: now, cold: share.TokenBucket{InitialFill: phase}, parts: map[keptPart]clock.Millis{}}
}

// Cold reports whether the endpoint is still warming up.
func (s *State) Cold(now clock.Millis) bool {
	return now < s.ColdUntil
}

// InBackoff reports whether the endpoint is left alone because it could not be reached.
func (s *State) InBackoff(now clock.Millis) bool {
	return now < s.downUntil
}

// MarkUnreachable notes that the endpoint could not be reached or fell silent.
func (s *State) MarkUnreachable(now clock.Millis) {
	pause := min(maxPause, firstPause<<min(s.misses, 8))
	s.misses++
	s.downUntil = now + pause
}

// MarkReachable notes that the endpoint answered; it reports whether it had been out of reach.
func (s *State) MarkReachable(now clock.Millis) bool {
	was := s.misses > 0
	s.LastReceived = now
	s.misses = 0
	s.downUntil = 0
	return was
}

const (
	// faultMemory is how long a failed run goes on to count as load: an endpoint
	// that fails at once would otherwise look free and draw all requests.
	faultMemory = 3 * clock.Second
	// rareFault and commonFault are the parts of an endpoint's slots that a failed run
	// counts for, if requests of its kind hardly ever fail, and if they often do.
	rareFault   = 0.2
	commonFault = 0.025
)

// RecordFailure notes a failed run; rare means that requests of its kind hardly ever fail.
func (s *State) RecordFailure(rare bool, now clock.Millis) {
	weight := commonFault
	if rare {
		weight = rareFault
	}
	s.faults = s.faulty(now) + weight
	s.faultsAt = now
}

// faulty returns the part of the slots that failed runs count for.
func (s *State) faulty(now clock.Millis) float64 {
	if s.faults == 0 {
		return 0
	}
	return s.faults * math.Exp(-float64(now-s.faultsAt)/float64(faultMemory))
}

// AdvertisedLoad returns the requests that other instances are told of.
func (s *State) AdvertisedLoad(now clock.Millis) int {
	return s.OwnInFlight + int(math.Round(s.faulty(now)*float64(s.Endpoint.Slots)))
}

// SetReportedLoad takes the endpoint's word on its load.
func (s *State) SetReportedLoad(load Load, now clock.Millis) {
	s.load = load
	s.loadAt = now
	s.ownAtReport = s.OwnInFlight
}

// SetPeerLoad takes the requests that all other instances have at the endpoint.
func (s *State) SetPeerLoad(count int, now clock.Millis) {
	s.others = count
	s.othersAt = now
}

// InFlight estimates the running and waiting requests at the endpoint: by its
// own word while that is fresh, else by what the other instances have there.
func (s *State) InFlight(now clock.Millis) int {
	if now-s.loadAt > freshLoad && s.othersAt > s.loadAt && now-s.othersAt <= loadMemory {
		return s.OwnInFlight + s.others
	}
	if now-s.loadAt > loadMemory {
		return s.OwnInFlight
	}
	others := max(0, s.load.Running+s.load.Waiting-s.ownAtReport)
	return s.OwnInFlight + others
}

// Waiting returns the waiting requests that the endpoint last told of.
func (s *State) Waiting(now clock.Millis) int {
	if now-s.loadAt > loadMemory {
		return 0
	}
	return s.load.Waiting
}

// Utilization returns the occupied share of slots; it may exceed 1.
func (s *State) Utilization(now clock.Millis) float64 {
	return float64(s.InFlight(now))/float64(max(1, s.Endpoint.Slots)) + s.faulty(now)
}

// RecordCached remembers that a model at the endpoint has read the parts.
func (s *State) RecordCached(parts []Part, model ticket.ModelName, now clock.Millis) {
	for _, p := range parts {
		s.parts[keptPart{p.ID, model}] = now
	}
	if len(s.parts) > partsKept {
		for id, at := range s.parts {
			if now-at > partMemory/2 {
				delete(s.parts, id)
			}
		}
	}
	for id := range s.parts {
		if len(s.parts) <= partsKept {
			break
		}
		delete(s.parts, id)
	}
}

// ClearCached drops all remembered parts, after a restart of the endpoint.
func (s *State) ClearCached() {
	clear(s.parts)
}

// kept returns the tokens of the leading parts that the model at the endpoint
// is known to have read.
func (s *State) kept(parts []Part, model ticket.ModelName, now clock.Millis) int {
	tokens := 0
	for _, p := range parts {
		at, ok := s.parts[keptPart{p.ID, model}]
		if !ok || now-at > partMemory {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}
