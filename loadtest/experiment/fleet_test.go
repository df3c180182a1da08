package experiment

import (
	"fmt"
	"testing"

	"foxtailbridge/policy/clock"
)

const (
	// smallFleet and largeFleet are the numbers of instances that are compared, at the same
	// load an endpoint.
	smallFleet = 18
	largeFleet = 295
	// targetFleet is the number of instances that the users expect in two years.
	targetFleet = 410
	// sweepFleet is the largest number of instances of the users' sweep.
	sweepFleet = 1000
	// maxRefusedShare bounds the arrivals that endpoints refuse while half of their slots are
	// free: 2 in 100, the target on the deployment's calm day.
	maxRefusedShare = 0.02
	// firstTokenGoal is the users' goal for the first token of their largest requests.
	firstTokenGoal = 2 * clock.Second
)

// TestFleetHerds plays the patterns in which many instances that know each other's requests
// late choose the same endpoint, with half of all slots free.
func TestFleetHerds(t *testing.T) {
	tests := []struct {
		scenario FleetScenario
		// pattern is what the scenario provokes.
		pattern string
	}{
		{FleetSteady, "herd by stale load"},
		{FleetPacked, "herd on endpoints that are filled on purpose"},
		{FleetJoin, "thundering herd on new endpoints"},
		{FleetHotPart, "herd on the home of a hot prompt part"},
	}
	for _, tt := range tests {
		t.Run(tt.pattern, func(t *testing.T) {
			t.Parallel()
			for _, instances := range []int{smallFleet, largeFleet} {
				r := RunFleet(LargeFleet(instances, tt.scenario, FleetSpread))
				if r.RefusedShare() > maxRefusedShare {
					t.Errorf("%v", r)
				}
			}
		})
	}
	t.Run("without counting the requests since, the large fleet herds and the small one does not", func(t *testing.T) {
		t.Parallel()
		if r := RunFleet(LargeFleet(smallFleet, FleetSteady, FleetLeastCost)); r.RefusedShare() > maxRefusedShare {
			t.Errorf("%v", r)
		}
		if r := RunFleet(LargeFleet(largeFleet, FleetSteady, FleetLeastCost)); r.RefusedShare() < maxRefusedShare {
			t.Errorf("the baseline shows no herd: %v", r)
		}
	})
}

// TestFleetFillsEndpoints checks that endpoints are filled to a high load, and not beyond
// their slots and queue, whatever the number of instances.
func TestFleetFillsEndpoints(t *testing.T) {
	for _, instances := range []int{smallFleet, largeFleet} {
		r := RunFleet(LargeFleet(instances, FleetPacked, FleetSpread))
		if slots := float64(r.Load.Slots); r.PackedPeak < slots/2 || r.PackedPeak > slots+float64(r.Load.Queue) {
			t.Errorf("%v", r)
		}
	}
}

// TestFleetPlain plays endpoints whose runs are shorter than the delay of the loads: what an
// instance knows of the others says nothing of the moment. Some runs fail at any endpoint, which
// must not make all of them look full.
func TestFleetPlain(t *testing.T) {
	for _, instances := range []int{smallFleet, largeFleet} {
		// A request that waits as long as it runs would take twice its time.
		r := RunFleet(PlainFleet(instances, FleetSpread))
		if wait := r.Wait.ValueAtQuantile(99); wait > int64(r.Load.MeanRun) || r.RefusedShare() > maxRefusedShare || r.NoRoom > 0 {
			t.Errorf("%v", r)
		}
	}
}

// TestFleetSlowEndpoint plays endpoints that turn slow, of which an instance sees a request a
// minute: no request may wait there longer than its first token may take while half of all slots
// are free. What tells the instances are the requests in flight, which the fleet counts together.
func TestFleetSlowEndpoint(t *testing.T) {
	slow := func(instances int, policy FleetPolicy, seed uint64) FleetResult {
		load := LargeFleet(instances, FleetSlow, policy)
		load.Seed = seed
		return RunFleet(load)
	}
	for _, instances := range []int{smallFleet, largeFleet} {
		t.Run(fmt.Sprintf("%d instances", instances), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				if r := slow(instances, FleetSpread, seed); r.SlowRuns == 0 || r.SlowWait > firstTokenGoal {
					t.Errorf("%v", r)
				}
			}
		})
	}
	t.Run("without counting the requests since, requests wait", func(t *testing.T) {
		t.Parallel()
		if r := slow(largeFleet, FleetLeastCost, 2); r.SlowWait <= firstTokenGoal {
			t.Errorf("the baseline does not wait: %v", r)
		}
	})
}

// TestFleetColdRate checks the users' limit for cold endpoints, 1.5 times the rate plus 5
// requests in any second, where an instance's share of it is a fraction of a request, and that
// the shares together let requests through.
func TestFleetColdRate(t *testing.T) {
	for _, instances := range []int{smallFleet, largeFleet, targetFleet, sweepFleet} {
		t.Run(fmt.Sprintf("%d instances", instances), func(t *testing.T) {
			t.Parallel()
			load := LargeFleet(instances, FleetCold, FleetSpread)
			if instances == sweepFleet {
				load.Duration = 3 * clock.Second // A run takes a few seconds.
			}
			r := RunFleet(load)
			if float64(r.ColdPeak) > 1.5*load.ColdRate+5 {
				t.Errorf("too many: %v", r)
			}
			if r.ColdServed == 0 {
				t.Errorf("none let through: %v", r)
			}
		})
	}
}
