package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/speed"
)

// relativeShare returns the share of the requests that the first of the endpoints gets, relative
// to that of the others, when each has a quarter of its slots busy.
func relativeShare(list []*State, now clock.Millis, arrivals float64) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	first := 0.0
	const choices = 6000
	for range choices {
		q := newQuery(now, Part{"own", 800})
		q.Zone, q.RelativeCost, q.Arrivals = "a", 0.1, arrivals
		if Choose(list, q, random).State == list[0] {
			first++
		}
	}
	return first / choices * float64(len(list))
}

// Guards against an endpoint that turned slow and gets as many requests as before, and against
// one that is avoided altogether or for long (load pattern: slow endpoint).
func TestSlowEndpointLosesShare(t *testing.T) {
	rows := []struct {
		name string
		// reported is the slowdown that the first endpoint reported, relative the factor of its
		// samples.
		reported  float64
		relative  float64
		age       clock.Millis
		running   int
		low, high float64
	}{
		{"alike", 0, 1, 0, 4, 0.85, 1.15},
		{"reports the usual time", 1, 1, 0, 4, 0.85, 1.15},
		{"just reported to be slow", 2.5, 1, 0, 4, 0, 0.3},
		{"slow a while ago", 2.5, 1, 1500, 4, 0.7, 1.15},
		{"always slower", 0, 1.3, 0, 4, 0, 0.7},
		{"always slower, with fewer requests", 0, 1.3, 0, 3, 0.2, 1},
		{"always faster", 0, 1 / 1.3, 0, 4, 1.15, 2.5},
	}
	for _, instances := range []int{18, 140} {
		for _, row := range rows {
			list := newStates(30, 16)
			for _, s := range list {
				s.Endpoint.Zone = "a"
				s.SetReportedLoad(Load{Running: 4, Slots: 16}, 1000)
			}
			list[0].SetReportedLoad(Load{Running: row.running, Slots: 16, Slowdown: speed.Factor(row.reported)}, 1000)
			random := rand.New(rand.NewPCG(3, 4))
			for range 40 {
				list[0].RelativeTime.Add(row.relative*math.Exp(0.05*random.NormFloat64()), 1000)
			}
			arrivals := StaleArrivals(list, 1200, instances, 1000)
			if share := relativeShare(list, 1000+row.age, arrivals); share < row.low || share > row.high {
				t.Errorf("%s, %d instances: %.2f times the share of others, want %.2f to %.2f", row.name, instances, share, row.low, row.high)
			}
		}
	}
}

// Guards against an endpoint that takes no requests at all after an absurd report, while
// the others are full.
func TestSlowEndpointIsUsedIfOthersAreFull(t *testing.T) {
	list := newStates(3, 4)
	for _, s := range list[1:] {
		s.SetReportedLoad(Load{Running: 4, Waiting: 3, Slots: 4}, 1000)
	}
	list[0].SetReportedLoad(Load{Slots: 4, Slowdown: 100}, 1000)
	if c := Choose(list, newQuery(1000, Part{"own", 800}), rand.New(rand.NewPCG(1, 2))); c.State != list[0] || math.IsInf(c.Cost, 0) {
		t.Errorf("%+v", c)
	}
}

// Guards against prompts that are weighed with an assumed speed where another was learned (load
// pattern: head-of-line blocking).
func TestReadRate(t *testing.T) {
	s := newStates(1, 4)[0]
	rows := []struct{ learned, slowdown, want float64 }{{0, 0, 35}, {140, 0, 140}, {140, 2, 70}, {0, 1, 35}}
	for _, row := range rows {
		q := newQuery(1000, Part{"own", 8000})
		q.ReadRate = row.learned
		s.SetReportedLoad(Load{Slots: 4, Slowdown: speed.Factor(row.slowdown)}, 1000)
		if got := q.promptCost(s, false); math.Abs(got-8000/row.want) > 0.01 {
			t.Errorf("%+v: the prompt costs %.1f ms", row, got)
		}
	}
}

// Guards against speeds learned from responses that waited for others, or whose prompt was
// cached by the requests of other instances.
func TestSpeedSamples(t *testing.T) {
	loads := []struct {
		load *Load
		want bool
	}{
		{nil, false},
		{&Load{Running: 2, Slots: 16}, true},
		{&Load{Running: 2, Slots: 16, Slowdown: 1.3}, true},
		{&Load{Running: 2, Slots: 16, Slowdown: 2.5}, false},
		{&Load{Running: 8, Slots: 16}, false},
		{&Load{Running: 2, Waiting: 1, Slots: 16}, false},
		{&Load{}, false},
	}
	for _, row := range loads {
		if got := row.load.ShowsSpeed(); got != row.want {
			t.Errorf("%+v: %v", row.load, got)
		}
	}
	prompts := []struct {
		shared, own int
		cached      bool
		tokens      int
		known       bool
	}{
		{0, 500, false, 500, true},
		{100, 900, false, 1000, true},
		{4800, 6000, false, 10800, false},
		{4800, 6000, true, 6000, true},
	}
	for _, row := range prompts {
		s := newStates(1, 4)[0]
		parts := []Part{{"shared", row.shared}, {"own", row.own}}
		if row.cached {
			s.RecordCached(parts, "m", 900)
		}
		if tokens, known := s.UncachedTokens(parts, "m", 1000); tokens != row.tokens || known != row.known {
			t.Errorf("%+v: %d tokens, %v", row, tokens, known)
		}
	}
}

func BenchmarkChooseUneven(b *testing.B) {
	for _, count := range []int{90, 140} {
		b.Run(fmt.Sprintf("endpoints-%d", count), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			list := newStates(count, 16)
			for _, s := range list {
				s.SetReportedLoad(Load{Running: random.IntN(12), Slots: 16, Slowdown: 1 + speed.Factor(random.Float64())}, 1000)
				for range 10 {
					s.RelativeTime.Add(1.3, 1000)
				}
			}
			q := newQuery(1000, Part{"sys", 500}, Part{"own", 600})
			q.Arrivals = float64(count) / 2
			for b.Loop() {
				Choose(list, q, random)
			}
		})
	}
}
