package promises

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"foxtailbridge/entry/instance"
	"foxtailbridge/link/platform"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
	"foxtailbridge/standin/engine"
	"foxtailbridge/standin/listing"
)

func TestListThatIsWrong(t *testing.T) {
	inWorld(t, "an endpoint that leaves gets no work although the list lags by a minute", instance.Options{}, func(w *world) {
		a, b := w.small()
		// The lagging list must not fall behind the first endpoints.
		w.settle(2 * time.Minute)
		w.directory.SetFaults(listing.Faults{Lag: clock.Minute})
		began := w.clock.Wall()
		w.present("engine-a", platform.PresenceDraining)
		w.engines["engine-a"].SetFaults(engine.Faults{Draining: true})
		for _, n := range []*node{a, b} {
			for _, r := range chatEvery(n, "small", 10*time.Second, 200*time.Millisecond) {
				So(r.problem(), ShouldEqual, "")
			}
		}
		limit := began + clock.Millis(inForceWithin.Milliseconds())
		So(startsAfter(w.engines["engine-a"].Events(), limit), ShouldBeEmpty)
	})
	inWorld(t, "an instance that the list forgot goes on, and so do the others", instance.Options{}, func(w *world) {
		a, b := w.small()
		w.listing.Instances = w.listing.Instances[:1]
		w.directory.Set(w.listing)
		w.settle(5 * time.Second)
		for _, n := range []*node{a, b} {
			So(n.chat("small", "hello").problem(), ShouldEqual, "")
			So(n.refund("", `{"order":1}`).problem(), ShouldEqual, "")
		}
	})
	inWorld(t, "an empty list refuses, and the next good one serves again", instance.Options{}, func(w *world) {
		a, _ := w.small()
		w.directory.Set(platform.Listing{})
		w.settle(2 * time.Second)
		So(string(a.chat("small", "hello").outcome), ShouldEqual, "not-run")
		w.directory.Set(w.listing)
		w.settle(2 * time.Second)
		So(a.chat("small", "hello").problem(), ShouldEqual, "")
	})
}

func TestRolloutWithdrawnMidway(t *testing.T) {
	inWorld(t, "new callers get the old version, sessions of the new one end with a true refusal", instance.Options{}, func(w *world) {
		a, b := w.versions()
		w.publish(fmt.Sprintf(rolloutTicket, 100))
		first := a.chat("small", "first")
		So(first.header.Get("Model-Version"), ShouldEqual, "small@2")
		began := w.clock.Wall()
		w.publish("ticket: 6\nauthor: op\nversions: [{ref: small@2, state: withdrawn}]")
		for _, n := range []*node{a, b} {
			for _, r := range chatEvery(n, "small", 5*time.Second, 200*time.Millisecond) {
				So(r.header.Get("Model-Version"), ShouldEqual, "small@1")
			}
			ended := n.chat("small", "second", "Session-Token", first.header.Get("Session-Token"))
			So(ended.code, ShouldEqual, "version-withdrawn")
			So(string(ended.outcome), ShouldEqual, "not-run")
		}
		limit := began + clock.Millis(inForceWithin.Milliseconds())
		So(startsAfter(w.engines["engine-2"].Events(), limit), ShouldBeEmpty)
		So(a.Config.View().VersionActive(ticket.VersionRef("small@2")), ShouldBeFalse)
	})
}
