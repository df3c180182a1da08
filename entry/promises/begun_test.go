package promises

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"foxtailbridge/entry/instance"
	"foxtailbridge/standin/engine"
)

// Guards against a begun stream that is broken off, with its time left and an engine that
// would go on with it, as earlier repeats have used up the budget.
func TestBegunStreamWaitsForTheBudget(t *testing.T) {
	inWorld(t, "the budget is used up as a begun stream breaks", instance.Options{}, func(w *world) {
		a, _ := w.small()
		want := a.stream("small", "where is the tray").text()
		// Four requests repeat three times each and use up what is saved.
		for range 4 {
			for _, e := range []string{"engine-a", "engine-b"} {
				w.engines[e].SetFaults(engine.Faults{TruncateNext: 1000, TruncateAfter: 0})
			}
			a.stream("small", "where is the tray")
		}
		w.engines["engine-a"].SetFaults(engine.Faults{TruncateNext: 1, TruncateAfter: 4})
		w.engines["engine-b"].SetFaults(engine.Faults{TruncateNext: 1, TruncateAfter: 4})
		results := make(chan *reply, 1)
		go func() { results <- a.stream("small", "where is the tray") }()
		// Others succeed meanwhile, which earns repeats.
		w.settle(100 * time.Millisecond)
		for range 15 {
			a.chat("small", "another question")
		}
		got := <-results
		So(got.problem(), ShouldEqual, "")
		So(got.text(), ShouldEqual, want)
	})
}
