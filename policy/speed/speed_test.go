package speed

import (
	"math"
	"math/rand/v2"
	"testing"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
)

// delayOf returns the time until a response starts with lognormal noise.
func delayOf(step, rate, tokens, noise float64, random *rand.Rand) clock.Millis {
	return clock.Millis((step + tokens/rate) * math.Exp(noise*random.NormFloat64()))
}

// Guards against prompts that are weighed with the speed of other engines, several times too
// slow or too fast (load pattern: head-of-line blocking), and against a few delayed responses that
// move the estimate.
func TestReadingLearnsRate(t *testing.T) {
	rows := []struct {
		name                 string
		step, rate           float64
		samples              int
		late                 float64
		lateBy               clock.Millis
		minScale, maxScale   float64
		lowStep, highestStep float64
	}{
		{"no samples", 0, 0, 0, 0, 0, 1, 1, startStep, startStep},
		{"the start value holds", 30, 35, 300, 0, 0, 0.8, 1.25, 20, 40},
		{"2.6 times as fast", 40, 92, 300, 0, 0, 2, 3.3, 25, 55},
		{"2.6 times as fast, a tenth late by 4 s", 40, 92, 300, 0.1, 4000, 1.5, 3.5, 25, 90},
		{"four times as fast", 15, 140, 300, 0, 0, 3.2, 4, 8, 25},
		{"ten times as fast: bounded", 15, 350, 300, 0, 0, 3.5, 4, 5, 25},
		{"ten times as slow: bounded", 30, 3.5, 300, 0, 0, 0.25, 0.3, 1, 500},
		{"one sample", 40, 140, 1, 0, 0, 0.9, 1.5, 20, 45},
	}
	for _, row := range rows {
		random := rand.New(rand.NewPCG(3, 4))
		r := NewReading(35)
		for range row.samples {
			tokens := math.Min(70000, 600*math.Exp(1.5*random.NormFloat64()))
			delay := delayOf(row.step, row.rate, tokens, 0.2, random)
			if random.Float64() < row.late {
				delay += row.lateBy
			}
			r.Add(tokens, delay)
		}
		if s := r.Scale(); s < row.minScale || s > row.maxScale || r.Step() < row.lowStep || r.Step() > row.highestStep {
			t.Errorf("%s: scale %.2f, step %.1f ms", row.name, s, r.Step())
		}
	}
}

// Guards against NaN and infinite costs after absurd samples.
func TestReadingStaysFinite(t *testing.T) {
	r := NewReading(35)
	for _, delay := range []clock.Millis{0, -5, math.MaxInt32, 0, 1} {
		for _, tokens := range []float64{0, 0, 1e9, 1} {
			r.Add(tokens, delay)
			if s := r.Scale(); !(s >= 1/maxScale && s <= maxScale) || !(r.Step() >= minStep && r.Step() <= maxStep) {
				t.Fatalf("scale %v, step %v after %v tokens in %v", s, r.Step(), tokens, delay)
			}
		}
	}
}

// Guards against a small model, whose prompts take nearly no time, that hides what the samples
// of the largest one say.
func TestServiceRateFollowsInformedModel(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	r := NewReadings(35)
	if r.Rate() != 35 {
		t.Fatalf("rate %v without samples", r.Rate())
	}
	for range 200 {
		tokens := 500 + 12000*random.Float64()
		for model, cost := range map[ticket.ModelName]float64{"small": 0.02, "large": 1} {
			r.Add(model, cost*tokens, delayOf(30, 140, cost*tokens, 0.2, random))
		}
	}
	if rate := r.Rate(); rate < 90 || rate > 140 {
		t.Errorf("rate %.1f, want about 140 (small: %.1f, large: %.1f)", rate, r.Of("small").Rate(), r.Of("large").Rate())
	}
}

// Guards against a slow endpoint that is never recognized, and against endpoints that are alike
// and are treated as if they differed (load pattern: slow endpoint).
func TestRelativeFactor(t *testing.T) {
	rows := []struct {
		name      string
		truth     float64
		samples   int
		noise     float64
		low, high float64
	}{
		{"one late response says nothing", 8, 1, 0, 1, 1},
		{"two neither", 8, 2, 0, 1, 1},
		{"a few samples weigh little", 1.3, 3, 0.05, 1, 1.2},
		{"slower by 1.3", 1.3, 40, 0.25, 1.12, 1.35},
		{"faster by 1.3", 1 / 1.3, 40, 0.25, 0.72, 0.9},
		{"alike", 1, 40, 0.25, 0.93, 1.07},
		{"bounded", 50, 100, 0, 1.6, 2},
	}
	for _, row := range rows {
		random := rand.New(rand.NewPCG(7, 8))
		sum, count := 0.0, 0.0
		for range 30 {
			var r Relative
			for range row.samples {
				r.Add(row.truth*math.Exp(row.noise*random.NormFloat64()), 1000)
			}
			sum += math.Log(float64(r.Factor(1000)))
			count++
		}
		if f := math.Exp(sum / count); f < row.low-1e-9 || f > row.high+1e-9 {
			t.Errorf("%s: factor %.3f on average, want %.2f to %.2f", row.name, f, row.low, row.high)
		}
	}
}

// Guards against choices between endpoints that are alike by the noise in their samples, which
// each instance would see elsewhere (load pattern: slow endpoint).
func TestAlikeEndpointsCountAsAlike(t *testing.T) {
	random := rand.New(rand.NewPCG(9, 10))
	for _, samples := range []int{1, 3, 10, 100} {
		different := 0
		const endpoints = 2000
		for range endpoints {
			var r Relative
			for range samples {
				r.Add(math.Exp(0.25*random.NormFloat64()), 1000)
			}
			if r.Factor(1000) != 1 {
				different++
			}
		}
		if different > endpoints/12 {
			t.Errorf("%d samples: %d of %d alike endpoints count as different", samples, different, endpoints)
		}
	}
}

// Guards against an endpoint that is avoided for ever, as it gets no requests that would show
// that it is no longer slow (load pattern: slow endpoint).
func TestRelativeIsForgotten(t *testing.T) {
	var r Relative
	for i := range 40 {
		r.Add(1.8, clock.Millis(100*i))
	}
	if f := r.Factor(4 * clock.Second); f < 1.4 {
		t.Errorf("factor %.2f after 40 slow responses", f)
	}
	if f := r.Factor(4*clock.Second + 3*clock.Minute); f != 1 {
		t.Errorf("factor %.2f three minutes later", f)
	}
	for i := range 40 {
		r.Add(1, 4*clock.Second+clock.Millis(100*i))
	}
	if f := r.Factor(8 * clock.Second); f > 1.15 {
		t.Errorf("factor %.2f after 40 usual responses", f)
	}
}
