package endpoints

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"foxtailbridge/policy/cascade"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/loadlist"
)

// TestPeerAnswers guards against decisions by answers of instances that no longer report, and
// against an instance that counts its own answers twice or loses them with its peers'.
func TestPeerAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kind := AnswerKind{Route: "r", Model: "m", Size: cascade.SizeMiddle}
		c := clock.New()
		a, b := NewAnswers(c, tally.NoopScope, func() int { return 2 }), NewAnswers(c, tally.NoopScope, func() int { return 2 })
		for range 20 {
			a.Record(kind, 20)
			b.Record(kind, 90)
		}
		var list loadlist.List
		report := func() {
			loads := loadlist.NewLoads()
			b.AddReport(&loads)
			list.Apply(list.Diff(loads))
			list.Version++
			a.SetPeers(list.Loads.Clone())
		}
		for range 2 { // A repeated report replaces the first one.
			report()
			if got := a.Recent(kind); got != (cascade.Answers{20, 0, 0, 20}) {
				t.Errorf("both instances have answers %v", got)
			}
		}
		if other := (AnswerKind{Route: "r", Model: "new", Size: cascade.SizeMiddle}); a.Recent(other).Total() != 0 {
			t.Error("a model that is new on the route has answers")
		}
		time.Sleep(2 * time.Second) // The peer's reports are lost.
		if got := a.Recent(kind); got[0] < 10 || got[3] != 0 {
			t.Errorf("answers %v without reports of the peer", got)
		}
		time.Sleep(time.Minute)
		report()
		loads := loadlist.NewLoads()
		if a.AddReport(&loads); len(a.byKind) > 0 || len(loads.Sums) > 0 || len(list.Sums[loadlist.KindAnswers]) > 0 {
			t.Errorf("%d kinds, reports %v and %v a minute later", len(a.byKind), loads.Sums, list.Sums)
		}
	})
}
