package promises

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"foxtailbridge/entry/instance"
	"foxtailbridge/standin/engine"
)

// TestStartedStreamWaitsForRetryBudget guards against a started stream that is aborted because earlier
// retries used up the retry budget, although its deadline is far off and an engine could resume it.
func TestStartedStreamWaitsForRetryBudget(t *testing.T) {
	runInEnv(t, "the retry budget is used up when a started stream is truncated", instance.Options{}, func(env *testEnv) {
		a, _ := env.startSmall()
		want := a.stream("small", "where is the tray").text()
		// Four requests with three retries each use up the retry budget.
		for range 4 {
			for _, e := range []string{"engine-a", "engine-b"} {
				env.engines[e].SetFaults(engine.Faults{TruncateNext: 1000, TruncateAfter: 0})
			}
			a.stream("small", "where is the tray")
		}
		env.engines["engine-a"].SetFaults(engine.Faults{TruncateNext: 1, TruncateAfter: 4})
		env.engines["engine-b"].SetFaults(engine.Faults{TruncateNext: 1, TruncateAfter: 4})
		results := make(chan *reply, 1)
		go func() { results <- a.stream("small", "where is the tray") }()
		// Other requests succeed meanwhile and refill the retry budget.
		env.advance(100 * time.Millisecond)
		for range 15 {
			a.chat("small", "another question")
		}
		got := <-results
		So(got.failure(), ShouldEqual, "")
		So(got.text(), ShouldEqual, want)
	})
}
