package share

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"foxtailbridge/policy/clock"
)

// TestBucketsTogether checks the bound of a cold endpoint: what all instances
// send in any second stays within the rate and a burst each.
func TestBucketsTogether(t *testing.T) {
	t.Run("any instances, any arrivals", rapid.MakeCheck(func(t *rapid.T) {
		instances := rapid.IntRange(1, 9).Draw(t, "instances")
		const rate = 17.0
		buckets := make([]TokenBucket, instances)
		var sent []clock.Millis
		now := clock.Millis(0)
		for range 400 {
			now += clock.Millis(rapid.IntRange(0, 20).Draw(t, "gap"))
			if buckets[rapid.IntRange(0, instances-1).Draw(t, "instance")].Take(rate/float64(instances), 1, now) {
				sent = append(sent, now)
			}
		}
		for i, from := range sent {
			in := 0
			for _, at := range sent[i:] {
				if at < from+clock.Second {
					in++
				}
			}
			if in > int(rate)+instances+1 {
				t.Fatalf("%d requests in a second of %d instances", in, instances)
			}
		}
	}))
}

// TestManyBuckets has 88 instances meet an endpoint that turns cold under load:
// the bound is the users', 1.5 times the rate and 5 in any second.
func TestManyBuckets(t *testing.T) {
	const instances, rate, part = 88, 15.0, 0.8
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		buckets := make([]TokenBucket, instances)
		for i := range buckets {
			buckets[i].InitialFill = random.Float64()
		}
		var sent []clock.Millis
		for now := clock.Millis(0); now < 3*clock.Second; now++ {
			if buckets[random.IntN(instances)].Take(part*rate/instances, 1, now) {
				sent = append(sent, now)
			}
		}
		for i, from := range sent {
			in := 0
			for _, at := range sent[i:] {
				if at < from+clock.Second {
					in++
				}
			}
			if float64(in) > 1.5*rate+5 {
				t.Fatalf("seed %d: %d requests in a second", seed, in)
			}
		}
		if float64(len(sent)) < rate {
			t.Errorf("seed %d: only %d requests in three seconds", seed, len(sent))
		}
	}
}

func TestRetries(t *testing.T) {
	Convey("Repeats are a share of the requests and a slack, over a sliding span", t, func() {
		r := &RetryBudget{Ratio: 0.5, Slack: 2, WindowLength: 10 * clock.Second}
		now := clock.Millis(0)
		So(r.Take(now), ShouldBeTrue)
		So(r.Take(now), ShouldBeTrue)
		So(r.Take(now), ShouldBeFalse)
		for range 4 {
			r.AddRequest(now)
		}
		So(r.Take(now), ShouldBeTrue)
		So(r.Take(now), ShouldBeTrue)
		So(r.Take(now), ShouldBeFalse)
		now += 11 * clock.Second
		So(r.Take(now), ShouldBeTrue)
	})
}
