package placement

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// longPrompt is the size of the long prompts of the tests, and shortPrompt that of all others.
const (
	longPrompt  = 50_000
	shortPrompt = 800
	meanPrompt  = 0.05*longPrompt + 0.95*shortPrompt
)

// newMix returns the mix of one long prompt in 20, of which the share of endpoints reads long ones.
func newMix(reading float64) *PromptMix {
	return &PromptMix{
		Short: shortPrompt, Long: longPrompt, LongFrom: longRatio * meanPrompt, LongShare: 0.05, LongWork: 0.05 * longPrompt / meanPrompt, Reading: reading,
	}
}

// TestPeerBacklog guards against head-of-line blocking by long prompts of other instances: an
// instance of a large deployment knows one hundredth of them itself.
func TestPeerBacklog(t *testing.T) {
	const endpoints, busy = 20, 8
	tests := []struct {
		name  string
		mix   *PromptMix
		age   clock.Millis
		share [2]float64
	}{
		{"fresh", newMix(0), 300, [2]float64{0, 0.02}},
		{"the backlog is too old", newMix(0), backlogTTL + 1, [2]float64{0.3, 0.5}},
		{"prompts are alike", nil, 300, [2]float64{0.3, 0.5}},
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
				q.Arrivals, q.Prompts = 2, tt.mix
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
			q.Arrivals, q.Prompts = float64(instances), newMix(0)
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
			if sizes.Varied() != tt.want || changes > 5 || (sizes.Mix(nil, 1000) != nil) != tt.want {
				t.Errorf("varied %v with a ratio of %.2f after %d changes, want %v", sizes.Varied(), sizes.Ratio(), changes, tt.want)
			}
		})
	}
}

// TestGroupOrder checks that all instances agree on the endpoints for long prompts, whatever they
// know of their load, and that zones take turns, so that no zone is left without others.
func TestGroupOrder(t *testing.T) {
	order := func(change func([]*State)) map[routing.EndpointID]float64 {
		states := newStates(20, 16)
		change(states)
		var options []option
		for _, s := range states {
			options = append(options, option{state: s})
		}
		positions := map[routing.EndpointID]float64{}
		for i, position := range groupOrder(options) {
			positions[options[i].state.Endpoint.ID] = position
		}
		return positions
	}
	want := order(func([]*State) {})
	got := order(func(states []*State) {
		slices.Reverse(states)
		states[3].OwnInFlight = 5
		states[7].SetPeerBacklog(longPrompt, 1000)
	})
	if !maps.Equal(got, want) {
		t.Errorf("instances disagree: %v, %v", got, want)
	}
	for _, group := range []float64{0.2, 0.5, 0.8} {
		byZone := map[ticket.ZoneName]int{}
		for _, s := range newStates(20, 16) {
			if want[s.Endpoint.ID] <= group {
				byZone[s.Endpoint.Zone]++
			}
		}
		if d := byZone["a"] - byZone["b"]; d < -1 || d > 1 || byZone["a"]+byZone["b"] != int(20*group) {
			t.Errorf("a group of %.1f has %v", group, byZone)
		}
	}
}

// TestLongPromptPlacement guards against head-of-line blocking by the instance's own choice, and
// against starving long prompts in return.
func TestLongPromptPlacement(t *testing.T) {
	const endpoints, goal, longGoal = 20, 1500, 6000
	mix := newMix(0.3) // A group of half of the endpoints.
	tests := []struct {
		name    string
		change  func(s *State, inGroup bool, position float64)
		parts   []Part
		goal    clock.Millis
		inGroup bool
		// allowed restricts the endpoints further, if set.
		allowed func(*State) bool
		// placement is how the choice is described.
		placement PromptPlacement
	}{
		{name: "a short prompt keeps away from the group", parts: []Part{{"own", shortPrompt}}, goal: goal, placement: PromptBeside},
		{name: "a long prompt uses the group", parts: []Part{{"own", longPrompt}}, goal: longGoal, inGroup: true, placement: PromptInGroup},
		{
			placement: PromptInGroup,
			name:      "a long prompt waits in the group rather than to delay short ones", parts: []Part{{"own", longPrompt}}, goal: longGoal, inGroup: true,
			change: func(s *State, inGroup bool, _ float64) {
				if inGroup {
					s.SetPeerBacklog(longPrompt, 1000)
				}
			},
		},
		{
			placement: PromptBeside,
			name:      "a long prompt leaves the group before it misses its goal there", parts: []Part{{"own", longPrompt}}, goal: longGoal,
			change: func(s *State, inGroup bool, _ float64) {
				if inGroup {
					s.SetPeerBacklog(3*longPrompt, 1000)
				}
			},
		},
		{
			placement: PromptBeside,
			name:      "a long prompt leaves a group without free slots", parts: []Part{{"own", longPrompt}}, goal: longGoal,
			change: func(s *State, inGroup bool, _ float64) {
				if inGroup {
					s.SetPeerLoad(16, 0, 1000)
				}
			},
		},
		{
			placement: PromptInGroup,
			name:      "a short one uses the group if the others have no free slot", parts: []Part{{"own", shortPrompt}}, goal: goal, inGroup: true,
			change: func(s *State, inGroup bool, _ float64) {
				if !inGroup {
					s.SetPeerLoad(16, 0, 1000)
				}
			},
		},
		{
			placement: PromptBeside,
			name:      "a short goal is kept at a fuller endpoint", parts: []Part{{"own", shortPrompt}}, goal: 500,
			change: func(s *State, _ bool, position float64) {
				if s.SetPeerLoad(15, 0, 1000); position < 0.95 {
					s.SetPeerLoad(2, 0, 1000)
					s.SetPeerBacklog(16_000, 1000)
				}
			},
			allowed: func(s *State) bool { return s.peerBacklog.tokens == 0 },
		},
		{
			placement: PromptBeside,
			name:      "a long prompt of which the most is cached counts as short", parts: []Part{{"shared", longPrompt}, {"own", shortPrompt}}, goal: longGoal,
			change: func(s *State, _ bool, position float64) {
				if position == 1 {
					s.RecordCached([]Part{{"shared", longPrompt}}, "", 1000)
				}
			},
			allowed: func(s *State) bool { return len(s.cachedParts) > 0 },
		},
		{
			placement: PromptLate,
			name:      "a long prompt is placed when all endpoints read long ones", parts: []Part{{"own", longPrompt}}, goal: longGoal, inGroup: true,
			change: func(s *State, _ bool, _ float64) { s.SetPeerBacklog(10*longPrompt, 1000) },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			for range 200 {
				states := newStates(endpoints, 16)
				var options []option
				for _, s := range states {
					s.Endpoint.Zone = "a"
					options = append(options, option{state: s})
				}
				inGroup := map[*State]bool{}
				for i, position := range groupOrder(options) {
					inGroup[states[i]] = position <= mix.groupShare()
					if tt.change != nil {
						tt.change(states[i], inGroup[states[i]], position)
					}
				}
				q := newQuery(1200, tt.parts...)
				q.Arrivals, q.Prompts, q.FirstEventGoal = 2, mix, tt.goal
				c := Choose(states, q, random)
				if inGroup[c.State] != tt.inGroup || tt.allowed != nil && !tt.allowed(c.State) {
					t.Fatalf("placed at %s, in the group %v, backlog %.0f", c.Endpoint.ID, inGroup[c.State], c.State.peerBacklog.tokens)
				}
				if got := *c.Prompt; got.Placement != tt.placement || got.Group != endpoints/2 || (got.Backlog > 0) != (c.State.peerBacklog.tokens > 0) {
					t.Fatalf("described as %+v, want %s", got, tt.placement)
				}
			}
		})
	}
}

// TestGroupShare checks that the group follows the long prompts that are read, and that the short
// ones keep what they need.
func TestGroupShare(t *testing.T) {
	var sizes PromptSizes
	states := newStates(20, 16)
	for i := range 100 {
		sizes.Add([]float64{shortPrompt, longPrompt}[i%20/19])
	}
	now := clock.Millis(1000)
	step := func(reading int) float64 {
		for range 100 {
			now += 100
			for i, s := range states {
				s.SetPeerBacklog(0, now)
				if i < reading {
					s.SetPeerBacklog(longPrompt, now)
				}
			}
			sizes.Mix(states, now)
		}
		return sizes.Mix(states, now).groupShare()
	}
	work := 0.05 * longPrompt / meanPrompt
	for _, tt := range []struct {
		reading int
		want    float64
	}{{0, 0}, {4, 0.2 / groupUtilization}, {20, work - groupMargin}, {2, 0.1 / groupUtilization}, {0, 0}} {
		if got := step(tt.reading); math.Abs(got-tt.want) > 0.02 {
			t.Errorf("%d of 20 endpoints read long prompts: a group of %.2f, want %.2f", tt.reading, got, tt.want)
		}
	}
}

func BenchmarkChooseLongPrompts(b *testing.B) {
	for _, count := range []int{90, 140, 600} {
		for name, mix := range map[string]*PromptMix{"alike": nil, "varied": newMix(0.3)} {
			b.Run(fmt.Sprintf("endpoints-%d-%s", count, name), func(b *testing.B) {
				random := rand.New(rand.NewPCG(1, 1))
				q := newQuery(1000, Part{"sys", 500}, Part{"own", 600})
				q.Arrivals, q.Prompts, q.FirstEventGoal = float64(count)/2, mix, 1500
				list := newStates(count, 16)
				b.ReportAllocs()
				for b.Loop() {
					Choose(list, q, random)
				}
			})
		}
	}
}
