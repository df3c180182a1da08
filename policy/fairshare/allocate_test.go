package fairshare

import (
	"testing"

	"pgregory.net/rapid"
)

// TestAllocate checks the properties of the division for any demand: nothing beyond the capacity
// or the demand, none left over that is demanded, no group below a quarter of a more urgent one,
// and none that gets less than its demand below another of its rank (noisy neighbour).
func TestAllocate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := Rates{}
		for i := range rapid.IntRange(1, 30).Draw(t, "groups") {
			demand[workspace(i, rapid.IntRange(0, 3).Draw(t, "rank"))] = Rate(rapid.IntRange(1, 200).Draw(t, "demand"))
		}
		capacity := Rate(rapid.IntRange(0, 2000).Draw(t, "capacity"))
		levels, shares := Allocate(demand, capacity), Rates{}
		for g, rate := range demand {
			shares[g] = levels.Share(g.Rank, rate)
		}
		const slack = 0.1
		sum := shares.Sum()
		if sum > capacity+slack || sum < min(capacity, demand.Sum())*0.99-slack {
			t.Fatalf("%v of %v divided, demand %v", sum, capacity, demand.Sum())
		}
		for g, s := range shares {
			if s > demand[g] {
				t.Fatalf("%v gets %v of %v", g, s, demand[g])
			}
			for other, o := range shares {
				if s < demand[g]-slack && g.Rank == other.Rank && o > s+slack {
					t.Fatalf("%v gets %v of %v, %v gets %v", g, s, demand[g], other, o)
				}
				if s < demand[g]-slack && g.Rank < other.Rank && o > s+slack {
					t.Fatalf("%v gets %v of %v, the less urgent %v gets %v", g, s, demand[g], other, o)
				}
				if s < demand[g]-slack && s < o/floorDivisor-slack {
					t.Fatalf("%v starves with %v of %v, %v gets %v", g, s, demand[g], other, o)
				}
			}
		}
	})
}
