package evidence

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestMergeCountsOnce(t *testing.T) {
	t.Run("any path and any repetition", rapid.MakeCheck(func(t *rapid.T) {
		const instances = 4
		series := RolloutSeries("r", 1, ArmTo)
		var all []*Counters
		for i := range instances {
			all = append(all, NewCounters(fmt.Sprint(i)))
		}
		var want Tally
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			from, to := rapid.IntRange(0, instances-1).Draw(t, "from"), rapid.IntRange(0, instances-1).Draw(t, "to")
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				all[from].AddRating(series, true)
				want.Good++
			case 1:
				all[from].AddRating(series, false)
				want.Bad++
			default:
				rows, _ := all[from].RowsSince(Revision(rapid.Uint64Range(0, 3).Draw(t, "stamp")))
				all[to].Merge(rows)
			}
		}
		for range instances {
			for from := range all {
				for to := range all {
					rows, _ := all[from].RowsSince(0)
					all[to].Merge(rows)
				}
			}
		}
		for _, c := range all {
			if got := c.Sum(series); got != want {
				t.Fatalf("sum is %+v, want %+v", got, want)
			}
		}
	}))
}
