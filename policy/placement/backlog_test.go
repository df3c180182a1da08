package placement

import (
	"math"
	"math/rand/v2"
	"testing"

	"foxtailbridge/policy/clock"
)

// longPrompt is the size of the long prompts of the tests, and shortPrompt that of all others.
const (
	longPrompt  = 50_000
	shortPrompt = 800
	meanPrompt  = 0.05*longPrompt + 0.95*shortPrompt
)

// TestPeerBacklog guards against head-of-line blocking by long prompts of other instances: an
// instance of a large deployment knows one hundredth of them itself.
func TestPeerBacklog(t *testing.T) {
	const endpoints, busy = 20, 8
	tests := []struct {
		name  string
		mean  float64
		age   clock.Millis
		share [2]float64
	}{
		{"fresh", meanPrompt, 300, [2]float64{0, 0.02}},
		{"the backlog is too old", meanPrompt, backlogTTL + 1, [2]float64{0.3, 0.5}},
		{"prompts are alike", 0, 300, [2]float64{0.3, 0.5}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			const told, draws = 1000, 2000
			blocked := 0
			for range draws {
				states := newStates(endpoints, 16)
				for i, s := range states {
					s.Endpoint.Zone = "a"
					if i < busy {
						s.SetPeerBacklog(longPrompt, told)
					}
				}
				q := newQuery(told, Part{"own", shortPrompt})
				q.Now += tt.age
				q.Arrivals, q.MeanPrompt = 2, tt.mean
				if c := Choose(states, q, random); c.State.peerBacklog.tokens > 0 {
					blocked++
				}
			}
			if share := float64(blocked) / draws; share < tt.share[0] || share > tt.share[1] {
				t.Errorf("%.3f of the requests are placed behind long prompts, want %v", share, tt.share)
			}
		})
	}
}

// TestPeerBacklogHerd guards against herding on stale load data: the only endpoint that was
// without long prompts when the loads were told must not get the requests of all instances. Twice
// as many as read its share of the backlog may reach it, see spreadDraws.
func TestPeerBacklogHerd(t *testing.T) {
	for _, instances := range []int{18, 140} {
		const slots, backlog = 16, 4
		random := rand.New(rand.NewPCG(1, 2))
		got := 0
		for range instances { // Each sends one request by the same loads.
			states := newStates(instances, slots)
			for i, s := range states {
				s.Endpoint.Zone = "a"
				s.SetPeerLoad(slots/4, 0, 1000)
				if i > 0 {
					s.SetPeerBacklog(backlog*meanPrompt, 1000)
				}
			}
			q := newQuery(1200, Part{"own", shortPrompt})
			q.Arrivals, q.MeanPrompt = float64(instances), meanPrompt
			if Choose(states, q, random).State == states[0] {
				got++
			}
		}
		if got == 0 || got > 2*backlog {
			t.Errorf("%d instances: %d requests reach the endpoint without backlog, want 1 to %d", instances, got, 2*backlog)
		}
	}
}

func TestPromptSizes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	tests := []struct {
		name string
		size func() float64
		want bool
	}{
		{"equal", func() float64 { return 12_000 }, false},
		{"none", func() float64 { return 0 }, false},
		{"one in 20 long", func() float64 {
			if random.IntN(20) == 0 {
				return longPrompt
			}
			return shortPrompt
		}, true},
		// The 95th percentile is 2.3 times the mean.
		{"somewhat different", func() float64 { return 3000 * math.Exp(0.6*random.NormFloat64()) }, false},
		{"half of them twice as long", func() float64 { return float64(2000 * (1 + random.IntN(2))) }, false},
		{"one in five 20 times as long", func() float64 {
			if random.IntN(5) == 0 {
				return 16_000
			}
			return shortPrompt
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var sizes PromptSizes
			changes := 0
			for i := range 3000 {
				if sizes.Add(tt.size()) {
					changes++
				}
				if i < minSizes-1 && sizes.Varied() {
					t.Errorf("varied after %d prompts", i+1)
				}
			}
			if sizes.Varied() != tt.want || changes > 5 || (sizes.VariedMean() > 0) != tt.want {
				t.Errorf("varied %v with a ratio of %.2f after %d changes, want %v", sizes.Varied(), sizes.Ratio(), changes, tt.want)
			}
		})
	}
}
