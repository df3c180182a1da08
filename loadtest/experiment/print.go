package experiment

import (
	"fmt"

	"foxtailbridge/policy/clock"
)

// PrintCascade prints the cost and quality of each cascade policy.
func PrintCascade(seed uint64) {
	for _, policy := range []CascadePolicy{PolicyLearned, PolicyOracle, PolicyBest, PolicyCheapest} {
		fmt.Println(RunCascade(DefaultCascadeLoad(seed), policy))
	}
	load := DefaultCascadeLoad(seed)
	load.Escalate = true
	load.RatedInTime = 0.95
	for _, policy := range []CascadePolicy{PolicyLearned, PolicyFixed} {
		fmt.Println("escalating:", RunCascade(load, policy))
	}
}

const printedRollouts = 100

// PrintRollouts prints the exposure to new versions for several quality losses.
func PrintRollouts(seed uint64) {
	for _, loss := range []float64{0, 0.02, 0.05, 0.2, 0.92} {
		load := DefaultRolloutLoad(seed, loss)
		fmt.Printf("worse by %2.0f points: evidence     %s\n", 100*loss, RunRollouts(load, GuardEvidence, printedRollouts))
		fmt.Printf("worse by %2.0f points: fixed-stages %s\n", 100*loss, RunRollouts(load, GuardStages, printedRollouts))
	}
}

// PrintBalancing prints the latencies of each load-balancing policy at several load factors.
func PrintBalancing(seed uint64) {
	for _, loadFactor := range []float64{0.5, 0.8, 1, 1.5} {
		for _, policy := range []BalancingPolicy{BalancingRouter, BalancingRoundRobin, BalancingLeastReported} {
			fmt.Printf("load %.1f: %s\n", loadFactor, RunFarm(DefaultFarmLoad(seed, loadFactor), policy))
		}
	}
}

// PrintOverload prints the goodput at multiples of the capacity.
func PrintOverload(seed uint64) {
	for _, loadFactor := range []float64{1, 2, 5, 10} {
		for _, policy := range []BalancingPolicy{BalancingRouter, BalancingRoundRobin} {
			load := DefaultFarmLoad(seed, loadFactor)
			load.Duration = 2 * clock.Minute
			load.CallerRetries = 3
			load.AuditDeadline = clock.Minute
			got := RunFarm(load, policy)
			fmt.Printf("load %4.1f: %-14s goodput=%.1f a second, amplification=%.3f\n", loadFactor, policy, got.Goodput(load.Duration), got.Amplification())
		}
	}
}

// PrintFleet prints how a small and a large fleet spread the same load an endpoint.
func PrintFleet(seed uint64) {
	printRow := func(load FleetLoad) {
		load.Seed = seed
		fmt.Println(RunFleet(load))
	}
	for _, scenario := range []FleetScenario{FleetSteady, FleetPacked, FleetJoin, FleetCold, FleetHotPart, FleetSlow} {
		for _, policy := range []FleetPolicy{FleetLeastCost, FleetTwoChoices, FleetSubset, FleetSpread} {
			for _, instances := range []int{18, 295} {
				printRow(LargeFleet(instances, scenario, policy))
			}
		}
	}
	for _, policy := range []FleetPolicy{FleetLeastCost, FleetTwoChoices, FleetSpread} {
		for _, instances := range []int{18, 295} {
			printRow(PlainFleet(instances, policy))
		}
	}
}
