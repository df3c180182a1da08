package experiment

import (
	"fmt"
	"testing"
)

const (
	// maxShortFactor bounds the 99th percentile of the time to the first event of short requests
	// beside long ones, relative to short ones alone at the same share of the capacity.
	maxShortFactor = 1.5
	// longInGoal is the share of the long prompts, in percent, whose first event is in time.
	longInGoal = 98
)

// TestFleetLongPrompts plays head-of-line blocking: one prompt in 20 takes 60 times as long to read
// as the others, and an instance learns of those of the others when many are read already.
func TestFleetLongPrompts(t *testing.T) {
	for _, instances := range []int{smallFleet, 140} {
		for _, load := range []float64{0.5, 0.7, 0.9} {
			for _, slowness := range []float64{1, 1.3} {
				t.Run(fmt.Sprintf("%d instances, load %.1f, slowness %.1f", instances, load, slowness), func(t *testing.T) {
					t.Parallel()
					alone := PromptFleet(instances, load, slowness, PromptsOwn)
					alone.Prompts.LongShare = 0
					bound := maxShortFactor * float64(RunFleet(alone).ShortFirst.ValueAtQuantile(99))
					r := RunFleet(PromptFleet(instances, load, slowness, PromptsGroups))
					t.Logf("bound=%.0f %s", bound, r.PromptLine())
					if float64(r.ShortFirst.ValueAtQuantile(99)) > bound {
						t.Errorf("short ones are late: want up to %.0f: %s", bound, r.PromptLine())
					}
					if r.LongFirst.ValueAtQuantile(longInGoal) > int64(r.Load.Prompts.LongGoal) || r.Refused+r.NoRoom > 0 {
						t.Errorf("long ones are late: %s", r.PromptLine())
					}
				})
			}
		}
	}
	t.Run("without the group, short ones are late", func(t *testing.T) {
		t.Parallel()
		for _, policy := range []PromptPolicy{PromptsOwn, PromptsReported} {
			r := RunFleet(PromptFleet(smallFleet, 0.7, 1, policy))
			if t.Log(r.PromptLine()); r.ShortFirst.ValueAtQuantile(99) < int64(r.Load.Prompts.ShortGoal)/2 {
				t.Errorf("the baseline delays none: %s", r.PromptLine())
			}
		}
	})
}
