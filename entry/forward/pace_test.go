package forward

import (
	"math/rand/v2"
	"testing"
)

// TestCrowded has a zone's loss make the old release's streams three times slower:
// a release that is as good must not stand out, a slow one must.
func TestCrowded(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	stream := func(slowness float64) float64 { return slowness * 40 * (0.7 + 0.8*random.Float64()) }
	p := &pace{}
	if _, known := p.compare(stream(1), 1, false); known {
		t.Error("a stream is compared with nothing")
	}
	for _, crowded := range []float64{1, 3, 1} {
		for range 20 {
			p.compare(stream(crowded), 1, true)
		}
		rows := []struct {
			name        string
			slowness    float64
			least, most int
		}{
			{"as good", 1, 0, 90},
			{"slow", 8, 200, 200},
		}
		for _, row := range rows {
			slower := 0
			for range 200 {
				if s, known := p.compare(stream(crowded*row.slowness), 1, false); s && known {
					slower++
				}
			}
			if slower < row.least || slower > row.most {
				t.Errorf("%s, crowded %.0f times: %d of 200 slow", row.name, crowded, slower)
			}
		}
	}
}
