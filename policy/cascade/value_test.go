package cascade

import "testing"

// kindOfWork is one route of a deployment at work: the size of its mean request.
type kindOfWork struct {
	name           string
	rank           int
	cost           float64
	prompt, output int
	// minConfidence is the confidence from which an answer is kept on idle endpoints.
	minConfidence Confidence
}

// query returns the query for a request that is scale times as large as the mean, after count
// requests were seen.
func (k kindOfWork) query(scale float64, count int) EscalationQuery {
	size := func(factor float64) float64 { return factor * float64(k.prompt+10*k.output) }
	price := scale * RequestPrice(k.cost, k.prompt, k.output)
	return EscalationQuery{
		Value: AnswerValue(k.rank, size(scale), size(1)), Price: price, CompletionBudget: 10000,
		Floor: ValueFloor(k.rank, price, RouteRequests{Count: count, MeanPrice: price / scale}),
	}
}

// TestValueFloor guards against priority inversion by value: long requests of a low rank were
// answered by models too small for them, as a low rank alone never paid for a second run.
func TestValueFloor(t *testing.T) {
	tests := []kindOfWork{
		{"long rewrites of rank 2", 2, 0.19, 12000, 380, 49},
		{"long explanations of rank 1", 1, 0.28, 12000, 378, 49},
		{"long requests of rank 0", 0, 0.28, 12000, 378, 57},
		{"chat of rank 0", 0, 0.19, 830, 290, 77},
		{"middle requests of rank 1", 1, 0.28, 830, 290, 62},
		{"short labels of rank 1", 1, 0.19, 2400, 20, 63},
		{"short labels of rank 2", 2, 0.28, 2400, 28, 43},
		{"short labels of rank 2 at low prices", 2, 0.013, 2400, 22, 74},
	}
	for _, k := range tests {
		for _, confidence := range []Confidence{k.minConfidence - 1, k.minConfidence} {
			q := k.query(1, 100)
			q.Confidence = confidence
			if got := q.Worthwhile(); got != (confidence < k.minConfidence) {
				t.Errorf("%s, confidence %d: second run %v", k.name, confidence, got)
			}
		}
	}
}

// TestValueFloorMatchedRanks guards against a change for deployments whose ranks match the worth of
// their answers: large requests of rank 0, middle ones of rank 1, short ones of rank 2. The
// decision of each size is the one without a floor, also while few requests were seen.
func TestValueFloorMatchedRanks(t *testing.T) {
	for _, cost := range []float64{0.013, 0.018, 0.095, 0.14, 0.19, 0.28} {
		for _, k := range []kindOfWork{
			{"large", 0, cost, 12000, 380, 0}, {"middle", 1, cost, 830, 290, 0}, {"short", 2, cost, 2400, 28, 0},
		} {
			for _, scale := range []float64{0.1, 0.5, 1, 2, 6} {
				for _, count := range []int{1, 5, 30, 1000} {
					if floor := k.query(scale, count).Floor; floor != 0 {
						t.Errorf("%s requests at %.3f: %.1f times the mean has a floor of %.2f after %d requests", k.name, cost, scale, floor, count)
					}
				}
			}
		}
	}
}

// TestValueFloorNoisyMean guards against a floor that comes from the first few requests of a route
// being larger than usual.
func TestValueFloorNoisyMean(t *testing.T) {
	usual := RequestPrice(0.28, 2400, 28)
	for _, tt := range []struct {
		count  int
		factor float64
		want   bool
	}{{1, 1.6, false}, {1, 2, true}, {16, 1.2, false}, {16, 1.4, true}, {1000, 1.05, false}} {
		if got := ValueFloor(2, usual, RouteRequests{Count: tt.count, MeanPrice: tt.factor * usual}) > 0; got != tt.want {
			t.Errorf("mean %.2f times the usual one after %d requests: floor %v", tt.factor, tt.count, got)
		}
	}
}
