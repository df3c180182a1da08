package placement

import (
	"math"

	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/share"
	"foxtailbridge/policy/speed"
	"foxtailbridge/policy/ticket"
)

// PartID identifies one part of a prompt.
type PartID string

// Part is one part of a prompt. Its cache entry depends on all parts before it.
type Part struct {
	ID     PartID
	Tokens int
}

// Load is the load that an endpoint reports about itself.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is how many times as long as usual work takes there now, or 0 if the endpoint
	// does not report it.
	Slowdown speed.Factor
}

// highLoadUtilization is the share of busy slots from which an endpoint is under high load:
// somewhat less than half, because the load reported with a response is a little old.
const highLoadUtilization = 0.4

// High reports whether the load is high enough to expose failures that only
// occur under load.
func (l *Load) High() bool {
	return l != nil && float64(l.Running) >= highLoadUtilization*float64(l.Slots)
}

// QueueFactor is how many times as long as usual a response takes at an endpoint with
// this load, because requests wait for a slot.
func (l *Load) QueueFactor() float64 {
	if l == nil || l.Slots <= 0 {
		return 1
	}
	return 1 + float64(max(0, l.Waiting))/float64(l.Slots)
}

// State holds what one instance knows about one endpoint. It is not safe for
// concurrent use.
type State struct {
	Endpoint *catalog.Endpoint
	// OwnInFlight is the number of this instance's requests in flight at the endpoint.
	OwnInFlight int
	// PrefillTokens is the number of prompt tokens of requests at the endpoint whose
	// response has not started, weighted by the relative cost of their models.
	PrefillTokens float64
	// OwnTokens is the number of tokens of this instance's requests in flight at the endpoint.
	OwnTokens int
	// ColdUntil is when the endpoint's cold start ends.
	ColdUntil clock.Millis
	// FirstSeen is when this instance first saw the endpoint.
	FirstSeen clock.Millis
	// LastReceived is when the last byte was received from the endpoint.
	LastReceived clock.Millis
	// FailureRate is the moving average of runs that failed for reasons other
	// than the request itself.
	FailureRate MovingAverage
	// ExcessFailureRate is how far FailureRate exceeds that of the endpoint's peers.
	ExcessFailureRate float64
	// LatencyRatio is the moving average of the ratio of the endpoint's time to
	// first byte to that of its peers.
	LatencyRatio MovingAverage
	// RelativeTime compares the time until responses of an engine start with that at its peers,
	// for the same model and number of prompt tokens.
	RelativeTime speed.Relative
	// LoggedSlower is true while the log says that the endpoint is slower than its peers.
	LoggedSlower bool

	coldLimiter         share.TokenBucket
	reportedLoad        Load
	reportedAt          clock.Millis
	slowdown            speed.Slowdown
	peerLoad            int
	peerFailures        int
	peerLoadAt          clock.Millis
	peerBacklog         peerBacklog
	ownInFlightAtReport int
	leaving             bool
	heldOffUntil        clock.Millis
	backoffUntil        clock.Millis
	failedContacts      int
	failurePenalty      float64
	failurePenaltyAt    clock.Millis
	failureDecay        clock.Millis
	cachedParts         map[cachedPart]clock.Millis
}

// cachedPart identifies a prompt part in the cache of one model.
type cachedPart struct {
	id    PartID
	model ticket.ModelName
}

const (
	// loadTTL is how long a reported load or a peer load is valid.
	loadTTL = 2 * clock.Second
	// preferReportedFor is how long a reported load takes precedence over a newer
	// peer load.
	preferReportedFor = 300 * clock.Millis(1)
	// minBackoff is how long an endpoint is avoided after the first failed contact;
	// the backoff doubles with each further one, up to maxBackoff.
	minBackoff = 400 * clock.Millis(1)
	maxBackoff = 3200 * clock.Millis(1)
	// maxCachedParts bounds the cached prompt parts tracked for an endpoint.
	maxCachedParts = 256
	// cachedPartTTL is how long a part is assumed to stay cached.
	cachedPartTTL = 20 * clock.Second
	// averageWindow is the approximate number of runs that a moving average covers.
	averageWindow = 12
)

// MovingAverage is the mean of the first averageWindow values and an exponential
// moving average from then on. The zero value has no observations.
type MovingAverage struct {
	Mean  float64
	Count int
}

// Add adds one observation.
func (a *MovingAverage) Add(value float64) {
	a.Count++
	weight := 1 / float64(min(a.Count, averageWindow))
	a.Mean += weight * (value - a.Mean)
}

// NewState returns a State for an endpoint first seen at now. phase, 0 to 1, is the
// initial fill of the token bucket for a cold endpoint; it differs between
// instances so that they do not all send their first request at once.
func NewState(e *catalog.Endpoint, now clock.Millis, phase float64) *State {
	return &State{Endpoint: e, FirstSeen: now, LastReceived: now, coldLimiter: share.TokenBucket{InitialFill: phase}, cachedParts: map[cachedPart]clock.Millis{}}
}

// Cold reports whether the endpoint is still in cold start.
func (s *State) Cold(now clock.Millis) bool {
	return now < s.ColdUntil
}

// InBackoff reports whether the endpoint is in backoff after it was unreachable.
func (s *State) InBackoff(now clock.Millis) bool {
	return now < s.backoffUntil
}

// MarkLeaving records that the endpoint will end soon and wants no more requests. It reports
// whether that is new. A new run of the endpoint has a new State.
func (s *State) MarkLeaving() bool {
	wasLeaving := s.leaving
	s.leaving = true
	return !wasLeaving
}

// Leaving reports whether the endpoint said that it will end soon.
func (s *State) Leaving() bool {
	return s.leaving
}

// Unconfirmed reports whether the endpoint was unreachable and has not responded since.
func (s *State) Unconfirmed() bool {
	return s.failedContacts > 0
}

// HoldOff records that the endpoint wants no requests until then. It reports whether the
// endpoint was not held off before.
func (s *State) HoldOff(until, now clock.Millis) bool {
	wasHeldOff := s.HeldOff(now)
	s.heldOffUntil = max(s.heldOffUntil, until)
	return !wasHeldOff
}

// HeldOff reports whether the endpoint wants no requests now.
func (s *State) HeldOff(now clock.Millis) bool {
	return now < s.heldOffUntil
}

// WantsRequests reports whether the endpoint has not said that it wants none.
func (s *State) WantsRequests(now clock.Millis) bool {
	return !s.leaving && !s.HeldOff(now)
}

// absent reports whether the endpoint may get no request at all now.
func (s *State) absent(now clock.Millis) bool {
	return !s.WantsRequests(now) || s.InBackoff(now)
}

// MarkUnreachable records that the endpoint was unreachable or timed out, and
// starts or extends its backoff.
func (s *State) MarkUnreachable(now clock.Millis) {
	backoff := min(maxBackoff, minBackoff<<min(s.failedContacts, 8))
	s.failedContacts++
	s.backoffUntil = now + backoff
}

// MarkReachable records that the endpoint responded and ends its backoff. It reports
// whether the endpoint had been unreachable.
func (s *State) MarkReachable(now clock.Millis) bool {
	wasUnreachable := s.Unconfirmed()
	s.LastReceived = now
	s.failedContacts = 0
	s.backoffUntil = 0
	return wasUnreachable
}

const (
	// A failed run counts as load for some time: an endpoint that fails immediately would
	// otherwise look idle and attract all requests. The time constant is failureDecayRuns
	// times the usual time of a run, as an endpoint whose runs are short gets many of them.
	failureDecayRuns = 20
	minFailureDecay  = 500 * clock.Millis(1)
	maxFailureDecay  = 3 * clock.Second
	// rareFailureWeight and commonFailureWeight are the utilization that a failed run
	// adds if requests of its kind rarely fail, and if they often do.
	rareFailureWeight   = 0.2
	commonFailureWeight = 0.025
)

// RecordFailure records a failed run; rare means that requests of its kind rarely fail, and
// runTime is the usual time of a run.
func (s *State) RecordFailure(rare bool, runTime, now clock.Millis) {
	weight := commonFailureWeight
	if rare {
		weight = rareFailureWeight
	}
	s.failurePenalty = s.failureUtilization(now) + weight
	s.failurePenaltyAt = now
	s.failureDecay = min(maxFailureDecay, max(minFailureDecay, failureDecayRuns*runTime))
}

// failureUtilization returns the utilization added by recent failed runs.
func (s *State) failureUtilization(now clock.Millis) float64 {
	if s.failurePenalty == 0 {
		return 0
	}
	return s.failurePenalty * math.Exp(-float64(now-s.failurePenaltyAt)/float64(s.failureDecay))
}

// AdvertisedFailures returns recent failures as a number of requests, for other instances.
func (s *State) AdvertisedFailures(now clock.Millis) int {
	return int(math.Round(s.failureUtilization(now) * float64(s.Endpoint.Slots)))
}

// SetReportedLoad records the load that the endpoint reported.
func (s *State) SetReportedLoad(load Load, now clock.Millis) {
	s.reportedLoad = load
	s.reportedAt = now
	s.ownInFlightAtReport = s.OwnInFlight
	if load.Slowdown > 0 {
		s.slowdown.Report(load.Slowdown, now)
	}
}

// SetPeerLoad records the requests in flight and the failures that all other instances
// advertise for the endpoint.
func (s *State) SetPeerLoad(inFlight, failures int, now clock.Millis) {
	s.peerLoad, s.peerFailures = inFlight, failures
	s.peerLoadAt = now
}

// InFlight estimates the running and waiting requests at the endpoint: from its
// reported load while that is fresh, else from the load that other instances
// advertise.
func (s *State) InFlight(now clock.Millis) int {
	if now-s.reportedAt > preferReportedFor && s.peerLoadAt > s.reportedAt && now-s.peerLoadAt <= loadTTL {
		return s.OwnInFlight + s.peerLoad
	}
	if now-s.reportedAt > loadTTL {
		return s.OwnInFlight
	}
	others := max(0, s.reportedLoad.Running+s.reportedLoad.Waiting-s.ownInFlightAtReport)
	return s.OwnInFlight + others
}

// Waiting returns the number of waiting requests that the endpoint last reported.
func (s *State) Waiting(now clock.Millis) int {
	if now-s.reportedAt > loadTTL {
		return 0
	}
	return s.reportedLoad.Waiting
}

// Fullness returns the requests in flight as a share of the slots; it may exceed 1.
func (s *State) Fullness(now clock.Millis) float64 {
	return float64(s.InFlight(now)) / float64(max(1, s.Endpoint.Slots))
}

// Utilization returns Fullness plus the utilization added by recent failures. It says which
// endpoints to prefer; an endpoint without requests is not full, however many failed there.
func (s *State) Utilization(now clock.Millis) float64 {
	utilization := s.Fullness(now) + s.failureUtilization(now)
	if now-s.peerLoadAt <= loadTTL {
		utilization += float64(s.peerFailures) / float64(max(1, s.Endpoint.Slots))
	}
	return utilization
}

// RecordCached records that a model at the endpoint has the parts in its cache.
func (s *State) RecordCached(parts []Part, model ticket.ModelName, now clock.Millis) {
	for _, p := range parts {
		s.cachedParts[cachedPart{p.ID, model}] = now
	}
	if len(s.cachedParts) > maxCachedParts {
		for id, at := range s.cachedParts {
			if now-at > cachedPartTTL/2 {
				delete(s.cachedParts, id)
			}
		}
	}
	for id := range s.cachedParts {
		if len(s.cachedParts) <= maxCachedParts {
			break
		}
		delete(s.cachedParts, id)
	}
}

// ClearCached forgets all cached parts, after a restart of the endpoint.
func (s *State) ClearCached() {
	clear(s.cachedParts)
}

// cachedTokens returns the number of tokens of the leading parts that the model at
// the endpoint is expected to have cached.
func (s *State) cachedTokens(parts []Part, model ticket.ModelName, now clock.Millis) int {
	tokens := 0
	for _, p := range parts {
		at, ok := s.cachedParts[cachedPart{p.ID, model}]
		if !ok || now-at > cachedPartTTL {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}
