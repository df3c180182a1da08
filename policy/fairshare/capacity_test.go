package fairshare

import (
	"testing"

	"foxtailbridge/policy/clock"
)

// TestNoPlaces guards against a state that never recovers from a moment in which no endpoint takes
// requests, as after all of them asked for a pause: callers that were told to return at the same
// time from then on (retry storm), and waiting requests that were not released any more.
func TestNoPlaces(t *testing.T) {
	none := Capacity{SlotTime: 1000}
	l := NewLimiter("s")
	r := Request{Group: workspace(1, 1), TimeLeft: 30_000}
	for i := range 20 {
		r.Content = uint64(i)
		l.Decide(r, freeCapacity, 1, Time{1000, 1000})
	}
	if wait := l.RetryAfter(r, none, 1, Time{1000, 1000}, 0.5); wait < MinReturn || wait > LongestReturn(r.TimeLeft) {
		t.Errorf("return after %d ms without an endpoint", wait)
	}
	seen := map[clock.Millis]bool{}
	for range 20 {
		seen[l.RetryAfter(r, freeCapacity, 1, Time{1000, 1000}, 0)] = true
	}
	if len(seen) < 20 {
		t.Errorf("%d times for 20 callers after that", len(seen))
	}

	ticket, ok := l.Wait(r, freeCapacity, 1, Time{1000, 1000}, 100, true)
	if !ok {
		t.Fatal("the request does not wait")
	}
	capacity, end := none, WaitEnd("")
	for now := clock.Millis(1050); end == "" && now < 3000; now += PollPeriod {
		end = l.Poll(ticket, func() Capacity { return capacity }, 1, Time{now, now})
		capacity = freeCapacity
	}
	if end != WaitReleased {
		t.Errorf("the wait ended as %q after that", end)
	}
}
