package cascade

import (
	"math/rand/v2"
	"testing"

	"foxtailbridge/policy/clock"
)

// start returns the query for a request of mean size, with a ladder at 0.07, 0.5 and 1 of the cost of
// the largest model, of whose smallest model the answers are known.
func (k kindOfWork) start(answers Answers) StartQuery {
	q := k.query(1, 100)
	return StartQuery{
		Models: []StartModel{{Price: 0.07 * q.Price, Answers: answers}, {Price: 0.5 * q.Price}, {Price: q.Price}},
		Value:  max(q.Value, q.Floor), MayEscalate: true, Draw: 0.5,
	}
}

var (
	chat   = kindOfWork{"chat", 0, 0.19, 830, 290, 0}
	labels = kindOfWork{"labels", 1, 0.19, 2400, 20, 0}
	// mostlyGood to hopeless are answers of which few to nearly all are dropped.
	mostlyGood = Answers{5, 5, 10, 80}
	usual      = Answers{30, 15, 25, 30}
	mostlyPoor = Answers{80, 5, 5, 10}
	hopeless   = Answers{99, 0, 0, 1}
)

// TestStart guards against a first try that costs more than it may save: urgent short requests took
// the retries of others for answers worth fifty times the price of the largest model.
func TestStart(t *testing.T) {
	with := func(q StartQuery, change func(*StartQuery)) StartQuery { change(&q); return q }
	tests := []struct {
		name string
		q    StartQuery
		want int
	}{
		{"urgent chat worth 53 prices", chat.start(usual), 2},
		{"the same, mostly answered well", chat.start(mostlyGood), 0},
		{"the same, fewer than 30 answers known", chat.start(Answers{9, 5, 7, 8}), 0},
		{"the same, no confidence reported", chat.start(Answers{}), 0},
		{"the same, one of the tenth that is tried on the smallest model", with(chat.start(usual), func(q *StartQuery) { q.Draw = 0.05 }), 0},
		{"the same, the largest model as poor as the smallest", with(chat.start(usual), func(q *StartQuery) { q.Models[2].Answers = hopeless }), 0},
		{"labels worth 11 prices", labels.start(usual), 0},
		{"the same, others' retries are refused", with(labels.start(usual), func(q *StartQuery) { q.RetryPrice = 0.24 }), 2},
		{"long rewrites: the smallest model reads ten times as fast", rewrites.start(mostlyPoor), 0},
		{"the same, the middle model nearly always right", with(rewrites.start(mostlyPoor), func(q *StartQuery) { q.Models[1].Answers = Answers{0, 0, 2, 98} }), 1},
		{"long rewrites, nearly all dropped", rewrites.start(hopeless), 2},
		{"long rewrites that may run only once", with(rewrites.start(mostlyPoor), func(q *StartQuery) { q.MayEscalate = false }), 2},
	}
	for _, tt := range tests {
		if got := tt.q.Start(); got != tt.want {
			t.Errorf("%s: starts on model %d, want %d", tt.name, got, tt.want)
		}
	}
}

// startShare returns the share of requests that start on a larger model.
func startShare(q StartQuery) float64 {
	starts := 0
	for draw := range 100 {
		if q.Draw = float64(draw) / 100; q.Start() > 0 {
			starts++
		}
	}
	return float64(starts) / 100
}

// TestStartChangesGradually guards against all instances changing the model at once (herding), as
// they have the same answers: neither a few more of them nor a few more poor ones move more than a
// part of the requests, and some try the smallest model in any case.
func TestStartChangesGradually(t *testing.T) {
	for _, k := range []kindOfWork{chat, rewrites} {
		previous := 0.0
		for poor := 0.0; poor <= 1; poor += 0.005 {
			share := startShare(k.start(Answers{100 * poor, 0, 0, 100 * (1 - poor)}))
			if share < previous || share > previous+0.25 || share > 1-exploreShare {
				t.Errorf("%s, %.3f poor: %.2f start on a larger model, after %.2f", k.name, poor, share, previous)
			}
			previous = share
		}
		if previous < 0.75 {
			t.Errorf("%s: %.2f start on a larger model if all answers are poor", k.name, previous)
		}
		previous = 0
		for count := 25.0; count < 70; count++ {
			share := startShare(k.start(Answers{count, 0, 0, 0}))
			if share < previous || share > previous+0.1 || count < minAnswers && share > 0 {
				t.Errorf("%s, %.0f answers: %.2f start on a larger model, after %.2f", k.name, count, share, previous)
			}
			previous = share
		}
	}
}

// TestStartMatchedRanks guards against a change for deployments whose ranks match the worth of their
// answers, while retries suffice and the smallest model is right now and then.
func TestStartMatchedRanks(t *testing.T) {
	for _, cost := range []float64{0.095, 0.14, 0.19, 0.28} {
		for _, k := range []kindOfWork{{"large", 0, cost, 12000, 380, 0}, {"middle", 1, cost, 830, 290, 0}, {"short", 2, cost, 2400, 28, 0}} {
			for _, answers := range []Answers{mostlyGood, usual, mostlyPoor} {
				if share := startShare(k.start(answers)); share > 0 {
					t.Errorf("%s requests at %.3f, answers %v: %.2f start on a larger model", k.name, cost, answers, share)
				}
			}
		}
	}
}

// TestMayStartLarge guards against prompts on the largest model, which reads ten times slower, when
// endpoints fill up, and against all instances changing at one reading of the load (herding). The
// first requests stop at a load of 0.35, 0.25 and 0.15 by rank, the last at 0.5, 0.4 and 0.3.
func TestMayStartLarge(t *testing.T) {
	share := func(q EscalationQuery) float64 {
		starts := 0
		for draw := range 100 {
			if q.MayStartLarge(float64(draw) / 100) {
				starts++
			}
		}
		return float64(starts) / 100
	}
	for ranks, last := range []float64{0.5, 0.4, 0.3} {
		previous := 1.0
		for load := 0.0; load < 1; load += 0.01 {
			got := share(EscalationQuery{Utilization: load, Urgent: urgentBeside(0)[:ranks]})
			switch {
			case load < last-0.155 && got < 1, load > last+0.005 && got > 0:
				t.Errorf("%d more urgent ranks, load %.2f: %.2f start", ranks, load, got)
			case got > previous || got < previous-0.1:
				t.Errorf("%d more urgent ranks, load %.2f: %.2f start, after %.2f", ranks, load, got, previous)
			}
			previous = got
		}
	}
	busy := EscalationQuery{Utilization: 0.1, WaitingShare: 0.1}
	late := EscalationQuery{Utilization: 0.1, FirstTokenGoal: 1500, ExpectedFirstToken: 400}
	if share(busy) > 0 || share(late) > 0 {
		t.Errorf("%.2f start while requests wait, %.2f while the largest model is slow", share(busy), share(late))
	}
}

// TestLearnedShares guards against an instance that knows only its hundredth of the answers: the
// reports of 18 and of 140 instances give the fleet's share, one alone stays on the smallest model.
func TestLearnedShares(t *testing.T) {
	for _, instances := range []int{18, 140} {
		random := rand.New(rand.NewPCG(uint64(instances), 3))
		own := make([]RecentAnswers, instances)
		answer := func(from, to clock.Millis, poor float64) {
			for now := from; now < to; now += 10 { // A hundred requests a second.
				confidence := Confidence(80)
				if random.Float64() < poor {
					confidence = 31
				}
				own[random.IntN(instances)].Record(confidence, now)
			}
		}
		fleet := func(now clock.Millis) (sum Answers) {
			for i := range own {
				sum = sum.Add(AnswersReported(own[i].At(now).Report(100_000 / instances)))
			}
			return sum
		}
		answer(0, 20*clock.Second, 0.6)
		all := fleet(20 * clock.Second)
		if got := all[0] / all.Total(); got < 0.5 || got > 0.7 || all.Total() < 400 {
			t.Errorf("%d instances: share %.2f of %.0f answers, want 0.6", instances, got, all.Total())
		}
		if alone := own[0].At(20 * clock.Second); instances == 140 && chat.start(alone).Start() != 0 {
			t.Errorf("one of %d instances decides by its %.0f answers", instances, alone.Total())
		}
		answer(20*clock.Second, 32*clock.Second, 0.05)
		all = fleet(32 * clock.Second)
		if got := all[0] / all.Total(); got > 0.25 {
			t.Errorf("%d instances: share %.2f 12 s after a better release", instances, got)
		}
	}
	if got := (Answers{3000, 1000, 0, 0}).Report(200); got != [Bands]int{150, 50, 0, 0} {
		t.Errorf("report over the limit: %v", got)
	}
}

// TestRetryPrice guards against a price of retries while none are refused, and against one that
// lasts.
func TestRetryPrice(t *testing.T) {
	var p RetryPrice
	for now := clock.Millis(0); now < 10*clock.Second; now += 200 {
		p.Allowed(now)
	}
	if got := p.Value(10 * clock.Second); got != 0 {
		t.Errorf("%.2f without refusals", got)
	}
	for now := 10 * clock.Second; now < 20*clock.Second; now += 200 {
		p.Refused(0.8, now)
	}
	if got := p.Value(20 * clock.Second); got < 0.4 || got > 0.8 {
		t.Errorf("%.2f when all are refused, with a gain of 0.8", got)
	}
	if got := p.Value(60 * clock.Second); got > 0.1 {
		t.Errorf("%.2f 40 s later", got)
	}
}
