package share

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"foxtailbridge/policy/clock"
)

// TestSharedColdRate checks the rate limit of a cold endpoint: in any second, all
// instances together send no more than the rate plus one burst per instance.
func TestSharedColdRate(t *testing.T) {
	t.Run("random instance counts and arrivals", rapid.MakeCheck(func(t *rapid.T) {
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
				t.Fatalf("%d requests in one second from %d instances", in, instances)
			}
		}
	}))
}

// TestColdRateWithManyInstances checks that 88 instances do not overload an endpoint
// that becomes cold under load. The users' limit in any second is 1.5 times the rate
// plus 5 requests.
func TestColdRateWithManyInstances(t *testing.T) {
	const instances, rate, coldShare = 88, 15.0, 0.8
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		buckets := make([]TokenBucket, instances)
		for i := range buckets {
			buckets[i].InitialFill = random.Float64()
		}
		var sent []clock.Millis
		for now := clock.Millis(0); now < 3*clock.Second; now++ {
			if buckets[random.IntN(instances)].Take(coldShare*rate/instances, 1, now) {
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
				t.Fatalf("seed %d: %d requests in one second", seed, in)
			}
		}
		if float64(len(sent)) < rate {
			t.Errorf("seed %d: only %d requests in three seconds", seed, len(sent))
		}
	}
}

func TestRetries(t *testing.T) {
	Convey("Retries are limited to a share of the requests plus a slack, in a sliding window", t, func() {
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

// TestSharedRetryBudget checks that the retries of all instances together stay within the
// fleet's limit, and use a third of it or more, also where an instance's share is a fraction of a
// retry.
func TestSharedRetryBudget(t *testing.T) {
	const window, ratioShare = 10 * clock.Second, 0.9
	tests := []struct {
		name             string
		instances        int
		ratio, slack     float64
		requestsInWindow int
	}{
		{"a share of many retries", 9, 0.5, 60, 900},
		{"a share of few", 295, 0.5, 100, 600},
		{"a share below one", 1000, 0.5, 100, 600},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(3, 4))
			budgets := make([]RetryBudget, tt.instances)
			for i := range budgets {
				budgets[i] = RetryBudget{Ratio: ratioShare * tt.ratio, Slack: FleetShare * tt.slack / float64(tt.instances), WindowLength: window, Rounding: random.Float64()}
			}
			var sent []clock.Millis
			const step = clock.Millis(10)
			for now := clock.Millis(0); now < 4*window; now += step {
				for range tt.requestsInWindow / int(window/step) {
					budgets[random.IntN(tt.instances)].AddRequest(now)
				}
				if random.IntN(int(window/step)) < tt.requestsInWindow%int(window/step) {
					budgets[random.IntN(tt.instances)].AddRequest(now)
				}
				for range 20 { // Every instance wants far more retries than it may send.
					if budgets[random.IntN(tt.instances)].Take(now) {
						sent = append(sent, now)
					}
				}
			}
			most := 0
			for i, from := range sent {
				count := 0
				for _, at := range sent[i:] {
					if at < from+window {
						count++
					}
				}
				most = max(most, count)
			}
			limit := tt.ratio*float64(tt.requestsInWindow) + tt.slack
			if float64(most) > limit {
				t.Errorf("%d retries in a window, limit %.0f", most, limit)
			}
			if float64(most) < limit/3 {
				t.Errorf("only %d retries in a window, limit %.0f", most, limit)
			}
		})
	}
}
