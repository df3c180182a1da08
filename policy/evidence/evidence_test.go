package evidence

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestMergeIsIdempotentAndCommutative(t *testing.T) {
	t.Run("random merge paths and repeated merges", rapid.MakeCheck(func(t *rapid.T) {
		const instances = 4
		series := RolloutSeries("r", 1, ArmTo)
		var replicas []*Counters
		for i := range instances {
			replicas = append(replicas, NewCounters(fmt.Sprint(i)))
		}
		var want Tally
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			from, to := rapid.IntRange(0, instances-1).Draw(t, "from"), rapid.IntRange(0, instances-1).Draw(t, "to")
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				replicas[from].AddRating(series, true)
				want.Good++
			case 1:
				replicas[from].AddRating(series, false)
				want.Bad++
			default:
				rows, _ := replicas[from].RowsSince(Revision(rapid.Uint64Range(0, 3).Draw(t, "revision")))
				replicas[to].Merge(rows)
			}
		}
		for range instances {
			for from := range replicas {
				for to := range replicas {
					rows, _ := replicas[from].RowsSince(0)
					replicas[to].Merge(rows)
				}
			}
		}
		for _, c := range replicas {
			if got := c.Sum(series); got != want {
				t.Fatalf("sum is %+v, want %+v", got, want)
			}
		}
	}))
}
