package share

import (
	"math"

	"foxtailbridge/policy/clock"
)

// FleetShare is the share of a fleet-wide limit that is used. The instances' windows are not
// aligned, so their sum could otherwise exceed the limit.
const FleetShare = 0.8

// TokenBucket limits the rate of requests. It is not safe for concurrent use.
type TokenBucket struct {
	// InitialFill is the initial number of tokens, 0 to 1. Instances that share a
	// limit use different values, so that they do not all send their first request
	// at the same time.
	InitialFill float64

	tokens      float64
	updatedAt   clock.Millis
	initialized bool
}

// Take takes one token and reports whether one was available. The bucket is refilled
// at rate tokens per second and holds at most burst tokens.
func (b *TokenBucket) Take(rate, burst float64, now clock.Millis) bool {
	b.refill(rate, burst, now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Available reports whether Take would succeed.
func (b *TokenBucket) Available(rate, burst float64, now clock.Millis) bool {
	b.refill(rate, burst, now)
	return b.tokens >= 1
}

func (b *TokenBucket) refill(rate, burst float64, now clock.Millis) {
	if !b.initialized {
		b.initialized = true
		b.tokens = min(b.InitialFill, burst)
		b.updatedAt = now
	}
	b.tokens = min(burst, b.tokens+rate*float64(now-b.updatedAt)/float64(clock.Second))
	b.updatedAt = now
}

// slotCount is the number of slots of a sliding window.
const slotCount = 10

// SlidingWindow counts events in a sliding time window. It is not safe for concurrent
// use.
type SlidingWindow struct {
	counts [slotCount]int
	slot   int64
}

// Add counts one event in a window of the given length.
func (w *SlidingWindow) Add(length, now clock.Millis) {
	w.advance(length, now)
	w.counts[w.slot%slotCount]++
}

// Sum returns the number of events in a window of the given length that ends now.
func (w *SlidingWindow) Sum(length, now clock.Millis) int {
	w.advance(length, now)
	sum := 0
	for _, count := range w.counts {
		sum += count
	}
	return sum
}

// advance moves the window to now and clears the slots that it passes.
func (w *SlidingWindow) advance(length, now clock.Millis) {
	slot := int64(now / max(1, length/slotCount))
	if slot-w.slot >= slotCount {
		w.counts = [slotCount]int{}
		w.slot = slot
		return
	}
	for w.slot < slot {
		w.slot++
		w.counts[w.slot%slotCount] = 0
	}
}

// RetryBudget limits the retries in a sliding window to a share of the requests plus
// a fixed slack. It is not safe for concurrent use.
type RetryBudget struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries allowed on top of that; it is this instance's
	// share of the slack of all instances.
	Slack float64
	// WindowLength is the length of the sliding window.
	WindowLength clock.Millis
	// Rounding, 0 to 1, is added to a limit below one retry before it is rounded down. It
	// differs at random between instances: otherwise such shares would add up to nothing. It
	// must not change, or an instance that had a retry in a window would be followed by
	// another one in the same window.
	Rounding float64

	requests SlidingWindow
	retries  SlidingWindow
}

// allowed returns the number of retries allowed in the window that ends now.
func (r *RetryBudget) allowed(now clock.Millis) float64 {
	limit := r.Ratio*float64(r.requests.Sum(r.WindowLength, now)) + r.Slack
	if limit < 1 {
		limit += r.Rounding
	}
	return math.Floor(limit)
}

// AddRequest counts a request.
func (r *RetryBudget) AddRequest(now clock.Millis) {
	r.requests.Add(r.WindowLength, now)
}

// Take reports whether a retry is within the limit, and counts it if so.
func (r *RetryBudget) Take(now clock.Millis) bool {
	if !r.Available(now) {
		return false
	}
	r.retries.Add(r.WindowLength, now)
	return true
}

// Remaining returns the share of the limit that would be left after one more retry;
// it may be negative.
func (r *RetryBudget) Remaining(now clock.Millis) float64 {
	allowed := r.allowed(now)
	if allowed <= 0 {
		return 0
	}
	return 1 - float64(r.retries.Sum(r.WindowLength, now)+1)/allowed
}

// Available reports whether Take would succeed.
func (r *RetryBudget) Available(now clock.Millis) bool {
	return float64(r.retries.Sum(r.WindowLength, now)+1) <= r.allowed(now)
}
