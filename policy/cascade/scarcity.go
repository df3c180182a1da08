package cascade

import (
	"math"

	"foxtailbridge/policy/clock"
)

// UrgentRoute is a route of the same service that is more urgent than the request's.
type UrgentRoute struct {
	Rank int
	// Goal is the longest time to the first token that counts as in time, or 0 if there is none.
	Goal clock.Millis
	// Delay is the time to the first token of the route's latest requests; see RecentDelay.
	Delay clock.Millis
}

const (
	// scarceLoadPerRank is how much less load makes capacity scarce for each more urgent rank. The
	// floor of rank 2 ends where scarcity begins for rank 0, and the expected delay of more urgent
	// requests is then 0.3 of their goal.
	scarceLoadPerRank = 0.1
	// maxScarceRanks bounds the number of ranks, so that a light load is not taken for scarcity.
	maxScarceRanks = 2
	// waitingWeight is the load that as many waiting requests as slots stand for: endpoints are
	// filled unevenly, and requests wait at some while others have free slots.
	waitingWeight = 4.0
)

// urgentRanks returns the number of different ranks of the routes.
func urgentRanks(urgent []UrgentRoute) int {
	seen := map[int]bool{}
	for _, r := range urgent {
		seen[r.Rank] = true
	}
	return len(seen)
}

// urgentLoad returns the load on the endpoints as more urgent requests are affected by it: the
// expected delay of those that meet this run, relative to their goals. A prompt delays a request
// that is sent to the same endpoint, which is the more likely the busier the endpoints are.
func (q EscalationQuery) urgentLoad() float64 {
	load := max(q.load(), q.Utilization+waitingWeight*q.WaitingShare)
	for _, r := range q.Urgent {
		if r.Goal > 0 {
			delay := float64(r.Delay) + float64(q.ReadTime)*min(1, q.Utilization)
			load = max(load, delay/(fullLoadGoalShare*float64(r.Goal)))
		}
	}
	return load
}

// floorScarcity returns the factor on the price of a run that only the value floor justifies. It
// rises at less load the more ranks are more urgent.
func (q EscalationQuery) floorScarcity() float64 {
	return scarcity(q.urgentLoad(), scarceLoad-scarceLoadPerRank*float64(min(maxScarceRanks, urgentRanks(q.Urgent))))
}

// scarcity returns the factor on the price of a run at a load, if capacity is scarce from the load
// start.
func scarcity(load, start float64) float64 {
	return 1 + scarcityPrice*min(2, max(0, load-start)/(1-scarceLoad))
}

const (
	// retryReserve is the share of the retry budget that escalations leave to retries after
	// failures, and retryReservePerRank what they leave besides for each more urgent rank. At
	// 0.03, an instance of 140 refuses 4 % of the escalations of the most urgent rank.
	retryReserve        = 0.2
	retryReservePerRank = 0.05
	// maxRetryReserve bounds the reserve, so that a service of many ranks uses its budget.
	maxRetryReserve = 0.5
)

// RetryReserve returns the share of the retry budget that escalations must leave, given the routes
// of the service that are more urgent.
func RetryReserve(urgent []UrgentRoute) float64 {
	return min(maxRetryReserve, retryReserve+retryReservePerRank*float64(urgentRanks(urgent)))
}

const (
	// delayDecay is the time constant with which delays lose weight: bursts last 3 to 7 s.
	delayDecay = 2 * clock.Second
	// delayPrior is the weight of the assumption that there is no delay, in requests. Without it,
	// one late response would count fully until the next one.
	delayPrior = 0.5
)

// RecentDelay is the mean time to the first token of the requests of the last seconds. Unlike a
// mean over a number of requests, it falls when no more arrive. It is not safe for concurrent use.
type RecentDelay struct {
	mean decayingMean
}

// Add adds the time to the first token of a request.
func (d *RecentDelay) Add(delay, now clock.Millis) {
	d.mean.add(float64(delay), delayDecay, now)
}

// Mean returns the mean delay, or 0 if there were no requests lately.
func (d *RecentDelay) Mean(now clock.Millis) clock.Millis {
	return clock.Millis(d.mean.value(delayPrior, delayDecay, now))
}

// decayingMean is a mean whose values lose weight with time.
type decayingMean struct {
	sum, weight float64
	updatedAt   clock.Millis
}

// add adds a value; values lose weight with the time constant.
func (m *decayingMean) add(value float64, constant, now clock.Millis) {
	m.decay(constant, now)
	m.sum += value
	m.weight++
}

// value returns the mean of the values and of prior zeros.
func (m *decayingMean) value(prior float64, constant, now clock.Millis) float64 {
	m.decay(constant, now)
	return m.sum / (m.weight + prior)
}

// decay moves the weights to now.
func (m *decayingMean) decay(constant, now clock.Millis) {
	factor := decayFactor(now-m.updatedAt, constant)
	m.sum, m.weight = factor*m.sum, factor*m.weight
	m.updatedAt = max(m.updatedAt, now)
}

// decayFactor returns the part of a weight that is left after a time.
func decayFactor(elapsed, constant clock.Millis) float64 {
	return math.Exp(-float64(max(0, elapsed)) / float64(constant))
}
