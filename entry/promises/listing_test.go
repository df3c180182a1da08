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

func TestIncorrectListing(t *testing.T) {
	runInEnv(t, "a draining endpoint gets no requests although the listing lags by a minute", instance.Options{}, func(env *testEnv) {
		a, b := env.startSmall()
		// The listing lags by a minute, so it must already contain the first endpoints.
		env.advance(2 * time.Minute)
		env.directory.SetFaults(listing.Faults{Lag: clock.Minute})
		began := env.clock.Wall()
		env.setPresence("engine-a", platform.PresenceDraining)
		env.engines["engine-a"].SetFaults(engine.Faults{Draining: true})
		for _, n := range []*node{a, b} {
			for _, r := range chatRepeatedly(n, "small", 10*time.Second, 200*time.Millisecond) {
				So(r.failure(), ShouldEqual, "")
			}
		}
		limit := began + clock.Millis(propagationLimit.Milliseconds())
		So(startsAfter(env.engines["engine-a"].Events(), limit), ShouldBeEmpty)
	})
	runInEnv(t, "an instance missing from the listing keeps serving, and so do the others", instance.Options{}, func(env *testEnv) {
		a, b := env.startSmall()
		env.listing.Instances = env.listing.Instances[:1]
		env.directory.Set(env.listing)
		env.advance(5 * time.Second)
		for _, n := range []*node{a, b} {
			So(n.chat("small", "hello").failure(), ShouldEqual, "")
			So(n.refund("", `{"order":1}`).failure(), ShouldEqual, "")
		}
	})
	runInEnv(t, "requests are refused with an empty listing, and served again with the next valid one", instance.Options{}, func(env *testEnv) {
		a, _ := env.startSmall()
		env.directory.Set(platform.Listing{})
		env.advance(2 * time.Second)
		So(string(a.chat("small", "hello").outcome), ShouldEqual, "not-run")
		env.directory.Set(env.listing)
		env.advance(2 * time.Second)
		So(a.chat("small", "hello").failure(), ShouldEqual, "")
	})
}

func TestVersionWithdrawnDuringRollout(t *testing.T) {
	runInEnv(t, "new callers get the old version, and sessions of the new one are refused as not-run", instance.Options{}, func(env *testEnv) {
		a, b := env.startBothVersions()
		env.publish(fmt.Sprintf(rolloutTicket, 100))
		first := a.chat("small", "first")
		So(first.header.Get("Model-Version"), ShouldEqual, "small@2")
		began := env.clock.Wall()
		env.publish("ticket: 6\nauthor: op\nversions: [{ref: small@2, state: withdrawn}]")
		for _, n := range []*node{a, b} {
			for _, r := range chatRepeatedly(n, "small", 5*time.Second, 200*time.Millisecond) {
				So(r.header.Get("Model-Version"), ShouldEqual, "small@1")
			}
			ended := n.chat("small", "second", "Session-Token", first.header.Get("Session-Token"))
			So(ended.code, ShouldEqual, "version-withdrawn")
			So(string(ended.outcome), ShouldEqual, "not-run")
		}
		limit := began + clock.Millis(propagationLimit.Milliseconds())
		So(startsAfter(env.engines["engine-2"].Events(), limit), ShouldBeEmpty)
		So(a.Config.View().VersionActive(ticket.VersionRef("small@2")), ShouldBeFalse)
	})
}
