package cascade

import (
	"math/rand/v2"
	"testing"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/share"
)

// urgentBeside holds the routes beside long rewrites of rank 2, at a delay of their first tokens.
func urgentBeside(delay clock.Millis) []UrgentRoute {
	return []UrgentRoute{{Rank: 0, Goal: 1500, Delay: delay}, {Rank: 1, Goal: 1500, Delay: delay}}
}

var rewrites = kindOfWork{"long rewrites", 2, 0.19, 12000, 380, 0}

// TestFloorUnderLoad guards against head-of-line blocking in a burst: prompts of second runs of low
// rank delayed the first events of more urgent requests (99th percentile 0.6 s to 4.4 s).
func TestFloorUnderLoad(t *testing.T) {
	tests := []struct {
		name     string
		load     float64
		waiting  float64
		readTime clock.Millis
		delay    clock.Millis
		want     bool
	}{
		{"a calm day", 0.3, 0, 130, 120, true},
		{"the engines half full", 0.5, 0, 130, 120, true},
		{"as full as makes capacity scarce for the most urgent", 0.6, 0, 130, 120, false},
		{"requests wait while other endpoints have free slots", 0.3, 0.1, 130, 120, false},
		{"urgent requests take 0.3 of their goal", 0.3, 0, 130, 450, false},
		{"a prompt of 70,000 tokens at a light load", 0.1, 0, 2000, 100, true},
		{"the same, with a third of the slots busy", 0.34, 0, 2000, 100, false},
	}
	for _, tt := range tests {
		q := rewrites.query(1, 100)
		q.Confidence, q.Utilization, q.WaitingShare, q.ReadTime, q.Urgent = 30, tt.load, tt.waiting, tt.readTime, urgentBeside(tt.delay)
		if got := q.Basis() == BasisFloor; got != tt.want {
			t.Errorf("%s: second run %v", tt.name, got)
		}
	}
	for delay := clock.Millis(0); delay < 1500; delay += 50 {
		for load := 0.0; load < 1.2; load += 0.05 {
			q := rewrites.query(1, 100)
			q.Confidence, q.Utilization, q.ReadTime, q.Urgent = 0, load, 343, urgentBeside(delay)
			if met := float64(delay) + 343*min(1, load); q.Worthwhile() && met > 1500*fullLoadGoalShare {
				t.Errorf("a second run at load %.2f delays urgent requests to %.0f ms", load, met)
			}
		}
	}
}

// TestFloorRanks guards against scarcity that affects all ranks at the same load: the floor of each
// less urgent rank ends at less load, that of the least urgent before capacity is scarce for the
// most urgent.
func TestFloorRanks(t *testing.T) {
	ends := func(urgent []UrgentRoute) (load float64) {
		for load = 0.01; load < 2; load += 0.01 {
			q := EscalationQuery{Confidence: 0, Floor: 1 / (poorAnswerLoss * floorProbability), Price: 1, Utilization: load, Urgent: urgent}
			if !q.Worthwhile() {
				break
			}
		}
		return load
	}
	two, one, none := ends(urgentBeside(0)), ends(urgentBeside(0)[:1]), ends(nil)
	if !(two < one && one < none && two <= scarceLoad+0.01) {
		t.Errorf("floors end at loads %.2f, %.2f and %.2f", two, one, none)
	}
}

// TestScarcityMatchedRanks guards against a change for routes whose rank matches the worth of their
// answers: what waits, and how long urgent requests take, changes nothing for them.
func TestScarcityMatchedRanks(t *testing.T) {
	for confidence := Confidence(0); confidence <= 100; confidence += 10 {
		for load := 0.0; load < 1.5; load += 0.1 {
			q := kindOfWork{"short", 2, 0.28, 2400, 28, 0}.query(1, 100)
			q.Confidence, q.Utilization = confidence, load
			before := q.Worthwhile()
			q.WaitingShare, q.ReadTime, q.Urgent = 0.2, 69, urgentBeside(900)
			if q.Worthwhile() != before {
				t.Errorf("confidence %d, load %.1f: second run %v, was %v", confidence, load, !before, before)
			}
		}
	}
}

// TestRetryReserve guards against priority inversion in the retry budget: escalations of the lowest
// rank took the retries of urgent short requests, and those of retries after failures.
func TestRetryReserve(t *testing.T) {
	const window = 10 * clock.Second
	for _, instances := range []int{18, 76, 140} {
		random := rand.New(rand.NewPCG(uint64(instances), 2))
		budget := &share.RetryBudget{Ratio: 0.81, Slack: 0.8 * 192 / float64(instances), WindowLength: window}
		ranks := [][]UrgentRoute{nil, urgentBeside(0)[:1], urgentBeside(0)}
		var wanted, granted [3]float64
		failures, refused := 0, 0
		gap := max(1, clock.Second*clock.Millis(instances)/447)
		for now := clock.Millis(0); now < 1200*clock.Second; now += gap {
			budget.AddRequest(now)
			// A quarter of the requests is of rank 0, a half of rank 1. Less than a half of these
			// need a larger model, and all of rank 2 do.
			rank := []int{0, 1, 1, 2}[random.IntN(4)]
			if now < window {
				continue
			}
			if rank == 2 || random.Float64() < 0.45 {
				wanted[rank]++
				if budget.Remaining(now) > RetryReserve(ranks[rank]) && budget.Take(now) {
					granted[rank]++
				}
			}
			if random.Float64() < 0.05 {
				if failures++; !budget.Take(now) {
					refused++
				}
			}
		}
		if refused > 0 {
			t.Errorf("%d instances: %d of %d retries after failures refused", instances, refused, failures)
		}
		for rank, least := range []float64{0.98, 0.9, 0.3} {
			if got := granted[rank] / wanted[rank]; got < least {
				t.Errorf("%d instances: %.2f of the escalations of rank %d granted, want %.2f", instances, got, rank, least)
			}
		}
	}
}

// TestRecentDelay guards against a burst being noticed when it is over, and against one that keeps
// the floor away long after it.
func TestRecentDelay(t *testing.T) {
	d := &RecentDelay{}
	now := clock.Millis(0)
	for ; now < 10*clock.Second; now += 600 {
		d.Add(120, now)
	}
	for range 3 {
		now += 600
		d.Add(1400, now)
	}
	if got := d.Mean(now); got < 450 {
		t.Errorf("%d ms 1.8 s into a burst", got)
	}
	// From 300 ms on, capacity is scarce for rank 2 beside routes with a goal of 1.5 s.
	if got := d.Mean(now + 7*clock.Second); got > 300 {
		t.Errorf("%d ms 7 s after the burst, without requests", got)
	}
}
