package endpoints

import (
	"math/rand/v2"
	"testing"
)

// TestPaceAdaptsToZoneLoss makes the old release's streams three times slower, as after
// the loss of a zone. An equally good new release must not count as slow, and a slow
// one must.
func TestPaceAdaptsToZoneLoss(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	stream := func(slowness float64) float64 { return slowness * 40 * (0.7 + 0.8*random.Float64()) }
	p := &paceBaseline{}
	if _, known := p.compare(stream(1), 1, false); known {
		t.Error("a stream was compared without samples")
	}
	for _, slowdown := range []float64{1, 3, 1} {
		for range 20 {
			p.compare(stream(slowdown), 1, true)
		}
		rows := []struct {
			name                 string
			slowness             float64
			minSlower, maxSlower int
		}{
			{"as good", 1, 0, 90},
			{"slow", 8, 200, 200},
		}
		for _, row := range rows {
			slower := 0
			for range 200 {
				if s, known := p.compare(stream(slowdown*row.slowness), 1, false); s && known {
					slower++
				}
			}
			if slower < row.minSlower || slower > row.maxSlower {
				t.Errorf("%s, %.0f times slower: %d of 200 slow", row.name, slowdown, slower)
			}
		}
	}
}

// TestPaceOnIdleEndpoints guards against a release that is several times slower and
// passes because its endpoints are idle: the old release has no endpoints as idle, and
// prompts are read concurrently with nearly all of its streams.
func TestPaceOnIdleEndpoints(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	old := func(i int) (value float64, inFlight int) {
		inFlight = 16 + random.IntN(32)
		value = (23 + 0.5*float64(inFlight)) * (0.95 + 0.15*random.Float64())
		if i%4 > 0 {
			value += 150 * random.Float64() // Prompts are read concurrently.
		}
		if i%20 == 0 {
			value = 0 // Its events arrived late, in one burst.
		}
		return value, inFlight
	}
	rows := []struct {
		name                 string
		slowness             float64
		minSlower, maxSlower int
	}{
		{"as good", 1, 0, 5},
		{"slow", 4.4, 160, 200},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			p := &paceBaseline{}
			slower := 0
			for i := range 400 {
				value, inFlight := old(i)
				p.compare(value, inFlight, true)
				if i < 200 {
					continue
				}
				value = 23 * row.slowness * (1 + 0.3*random.Float64())
				if s, known := p.compare(value, 1+i%3, false); s && known {
					slower++
				}
			}
			if slower < row.minSlower || slower > row.maxSlower {
				t.Errorf("%d of 200 slow, want %d to %d", slower, row.minSlower, row.maxSlower)
			}
		})
	}
}
