package fairshare

import (
	"testing"

	"foxtailbridge/policy/clock"
)

// TestReturns guards against callers that are refused in a surge and return together, when they
// displace each other and new requests, and against less urgent callers that return before more
// urgent ones (retry storm).
func TestReturns(t *testing.T) {
	for _, instances := range fleetSizes {
		f := newFleet(instances)
		const bin = clock.Second / 2
		returning := map[clock.Millis]int{}
		sum, count := map[int]clock.Millis{}, map[int]int{}
		refused := 0
		demand := Rates{workspace(0, 0): 700, workspace(1, 1): 700, workspace(2, 2): 700}
		f.onRefusal = func(r Request, instance int) {
			wait := f.limiters[instance].RetryAfter(r, f.capacity(), instances, Time{f.now, f.now}, f.random.Float64())
			if f.now < clock.Minute+clock.Second {
				return // The demand of a second is known after one.
			}
			if wait < MinReturn || wait > r.TimeLeft/3 {
				t.Fatalf("%d instances: return after %d of %d ms", instances, wait, r.TimeLeft)
			}
			refused++
			returning[(f.now+wait)/bin]++
			sum[int(r.Rank)] += wait
			count[int(r.Rank)]++
		}
		f.timeLeft = 60 * clock.Second
		f.run(2500*clock.Millis(1), demand, nil)
		peak := 0
		for _, n := range returning {
			peak = max(peak, n)
		}
		var mean []clock.Millis
		for rank := range 3 {
			mean = append(mean, sum[rank]/clock.Millis(max(1, count[rank])))
		}
		t.Logf("%d instances: %d refused, up to %d return within %d ms, mean by rank %v ms", instances, refused, peak, bin, mean)
		// Times are booked at the rate returnShare x maxGain of the endpoints' rate.
		if bound := returnShare*maxGain*fleetRate*float64(bin)/float64(clock.Second) + float64(instances); float64(peak) > bound {
			t.Errorf("%d instances: %d callers return within %d ms, bound %.0f", instances, peak, bin, bound)
		}
		if mean[0] >= mean[1] || mean[1] >= mean[2] {
			t.Errorf("%d instances: mean return by rank %v", instances, mean)
		}
	}
}

// TestImpatientReturn guards against a Retry-After that a caller ignores, as it is more than a third
// of the time that it has left, and against the same one for all.
func TestImpatientReturn(t *testing.T) {
	l := NewLimiter("s")
	seen := map[clock.Millis]bool{}
	for i := range 100 {
		r := Request{Group: workspace(1, 1), Content: uint64(i), TimeLeft: 3000}
		l.Decide(r, shortCapacity, 10, Time{1000, 1000})
		wait := l.RetryAfter(r, shortCapacity, 10, Time{1000, 1000}, float64(i)/100)
		if wait < MinReturn || wait > 1000 {
			t.Fatalf("return after %d of 3000 ms", wait)
		}
		seen[wait] = true
	}
	if len(seen) < 50 {
		t.Errorf("%d times for 100 callers", len(seen))
	}
}
