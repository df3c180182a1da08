package share

import (
	"foxtailbridge/policy/clock"
)

// TokenBucket lets through a rate of requests; it holds at most a burst. It is not
// safe for concurrent use.
type TokenBucket struct {
	// InitialFill is what the bucket holds at first, 0 to 1. Instances that share a
	// limit start at different phases, or all would send their first at once.
	InitialFill float64

	tokens float64
	at     clock.Millis
	begun  bool
}

// Take spends one token of a bucket that fills at the rate in 1/s, and reports
// whether there was one.
func (b *TokenBucket) Take(rate, burst float64, now clock.Millis) bool {
	b.fill(rate, burst, now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Available reports whether Take would succeed.
func (b *TokenBucket) Available(rate, burst float64, now clock.Millis) bool {
	b.fill(rate, burst, now)
	return b.tokens >= 1
}

func (b *TokenBucket) fill(rate, burst float64, now clock.Millis) {
	if !b.begun {
		b.begun = true
		b.tokens = min(b.InitialFill, burst)
		b.at = now
	}
	b.tokens = min(burst, b.tokens+rate*float64(now-b.at)/float64(clock.Second))
	b.at = now
}

// slices is how many parts a sliding window is counted in.
const slices = 10

// SlidingWindow counts events in a sliding span. It is not safe for concurrent use.
type SlidingWindow struct {
	counts [slices]int
	slot   int64
}

// Add counts one event.
func (w *SlidingWindow) Add(span, now clock.Millis) {
	w.advance(span, now)
	w.counts[w.slot%slices]++
}

// Sum returns the events of the last span.
func (w *SlidingWindow) Sum(span, now clock.Millis) int {
	w.advance(span, now)
	sum := 0
	for _, count := range w.counts {
		sum += count
	}
	return sum
}

func (w *SlidingWindow) advance(span, now clock.Millis) {
	slot := int64(now / max(1, span/slices))
	if slot-w.slot >= slices {
		w.counts = [slices]int{}
		w.slot = slot
		return
	}
	for w.slot < slot {
		w.slot++
		w.counts[w.slot%slices] = 0
	}
}

// RetryBudget bounds the runs beyond the first of each request to a share of the
// requests and a slack, over a sliding span. It is not safe for concurrent use.
type RetryBudget struct {
	// Ratio is the allowed repeats for each request.
	Ratio float64
	// Slack is this machine's part of what all machines may add to that.
	Slack float64
	// WindowLength is the length of the window.
	WindowLength clock.Millis

	requests SlidingWindow
	repeats  SlidingWindow
}

// AddRequest counts a request.
func (r *RetryBudget) AddRequest(now clock.Millis) {
	r.requests.Add(r.WindowLength, now)
}

// Take counts a repeat and reports whether it is within the limit.
func (r *RetryBudget) Take(now clock.Millis) bool {
	if !r.Available(now) {
		return false
	}
	r.repeats.Add(r.WindowLength, now)
	return true
}

// Remaining returns the part of the limit that is not used up.
func (r *RetryBudget) Remaining(now clock.Millis) float64 {
	allowed := r.Ratio*float64(r.requests.Sum(r.WindowLength, now)) + r.Slack
	if allowed <= 0 {
		return 0
	}
	return 1 - float64(r.repeats.Sum(r.WindowLength, now)+1)/allowed
}

// Available reports whether Take would succeed.
func (r *RetryBudget) Available(now clock.Millis) bool {
	allowed := r.Ratio*float64(r.requests.Sum(r.WindowLength, now)) + r.Slack
	return float64(r.repeats.Sum(r.WindowLength, now)+1) <= allowed
}
