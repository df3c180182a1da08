package promises

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"foxtailbridge/entry/config"
	"foxtailbridge/entry/instance"
	"foxtailbridge/link/platform"
	"foxtailbridge/policy/claim"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
	"foxtailbridge/standin/applog"
	"foxtailbridge/standin/engine"
)

const (
	// inForceWithin is the promise's time for a change to be in force everywhere.
	inForceWithin = 3 * time.Second
	zoneBOut      = "ticket: 10\nauthor: op\nzones: [{name: b, state: out}]"
	zoneBIn       = "ticket: 11\nauthor: op\nzones: [{name: b, state: in}]"
)

func (n *node) zoneIn(zone string) bool {
	return n.Config.View().ZoneInService(ticket.ZoneName(zone))
}

func publishThrough(n *node, yaml string) error {
	t, err := ticket.Parse([]byte(yaml))
	if err != nil {
		return err
	}
	_, err = n.Config.Publish(context.Background(), t)
	return err
}

func TestConfigInForce(t *testing.T) {
	inWorld(t, "a ticket is in force everywhere within the promise", instance.Options{}, func(w *world) {
		a, b := w.small()
		So(publishThrough(a, zoneBOut), ShouldBeNil)
		w.settle(inForceWithin)
		So(a.zoneIn("b"), ShouldBeFalse)
		So(b.zoneIn("b"), ShouldBeFalse)
	})
	inWorld(t, "a ticket whose append answer was lost is found by reading", instance.Options{}, func(w *world) {
		a, b := w.small()
		w.log.SetFaults(applog.Faults{LoseResponses: 1})
		So(publishThrough(a, zoneBOut), ShouldBeNil)
		w.settle(inForceWithin)
		So(b.zoneIn("b"), ShouldBeFalse)
	})
	inWorld(t, "of racing tickets with one number the first in the log is in force everywhere", instance.Options{}, func(w *world) {
		a, b := w.small()
		done := make(chan error, 2)
		go func() { done <- publishThrough(a, "ticket: 10\nauthor: x\nzones: [{name: b, state: out}]") }()
		go func() { done <- publishThrough(b, "ticket: 10\nauthor: y\nzones: [{name: b, state: in}]") }()
		So(<-done, ShouldBeNil)
		So(<-done, ShouldBeNil)
		w.settle(inForceWithin)
		So(a.Config.View().Digest, ShouldEqual, b.Config.View().Digest)
	})
	inWorld(t, "an instance cut from the log learns a ticket from another", instance.Options{}, func(w *world) {
		a, b := w.small()
		w.cut("node-b", platformSide)
		So(publishThrough(a, zoneBOut), ShouldBeNil)
		w.settle(inForceWithin)
		So(b.zoneIn("b"), ShouldBeFalse)
	})
	inWorld(t, "an older ticket that lands late does not revert a newer one", instance.Options{}, func(w *world) {
		a, b := w.small()
		w.log.SetFaults(applog.Faults{LateAppends: 1, LateAppendDelay: 20_000})
		late := make(chan error, 1)
		go func() { late <- publishThrough(a, zoneBOut) }()
		w.settle(100 * time.Millisecond)
		So(publishThrough(b, zoneBIn), ShouldBeNil)
		<-late
		w.settle(time.Minute)
		So(a.zoneIn("b"), ShouldBeTrue)
		So(b.zoneIn("b"), ShouldBeTrue)
	})
}

func TestConfigOutlivesInstancesAndRetention(t *testing.T) {
	inWorld(t, "a fresh instance is not ready without a state, and starts from a peer in an outage", instance.Options{}, func(w *world) {
		a, _ := w.small()
		w.log.SetFaults(applog.Faults{Outage: true})
		w.cut("node-c", "node-a")
		w.cut("node-c", "node-b")
		w.cut("node-a", "node-c")
		w.cut("node-b", "node-c")
		c := w.node("node-c", "a")
		w.settle(10 * time.Second)
		So(c.Ready(), ShouldBeFalse)
		So(c.chat("small", "hello").code, ShouldEqual, "not-ready")
		w.heal()
		w.settle(5 * time.Second)
		So(c.Ready(), ShouldBeTrue)
		So(c.Config.View().Digest, ShouldEqual, a.Config.View().Digest)
	})
	inWorld(t, "the state outlives the log's retention of its first ticket", instance.Options{}, func(w *world) {
		a, b := w.small()
		w.settle(3 * applog.DefaultRetention.Duration())
		a.kill()
		b.kill()
		c := w.node("node-c", "a")
		w.settle(5 * time.Second)
		So(c.Config.View().ObjectCount(), ShouldEqual, 8)
		appends := len(w.log.Records(platform.StreamConfig))
		So(appends, ShouldBeBetween, 0, 8)
	})
	inWorld(t, "a restart during an outage does not bring old state back", instance.Options{}, func(w *world) {
		a, b := w.small()
		So(publishThrough(a, zoneBOut), ShouldBeNil)
		w.settle(inForceWithin)
		w.log.SetFaults(applog.Faults{Outage: true})
		b.kill()
		b = w.node("node-b", "b")
		w.settle(5 * time.Second)
		So(b.Ready(), ShouldBeTrue)
		So(b.zoneIn("b"), ShouldBeFalse)
	})
}

// zones starts an instance and an engine in each of two zones.
func (w *world) zones() (a, b *node) {
	w.engine("engine-a", "a", engine.Config{Version: "small@1", FirstTokenLatency: 20, TokenInterval: 5})
	w.engine("engine-b", "b", engine.Config{Version: "large@1", FirstTokenLatency: 20, TokenInterval: 5})
	a = w.node("node-a", "a")
	b = w.node("node-b", "b")
	w.publish(baseTicket)
	w.settle(2 * time.Second)
	return a, b
}

// chatEvery sends a request through the instance again and again for a while.
func chatEvery(n *node, model string, span, period time.Duration) []*reply {
	var replies []*reply
	for end := n.world.clock.Mono() + clock.Millis(span.Milliseconds()); n.world.clock.Mono() < end; {
		replies = append(replies, n.chat(model, "hello"))
		time.Sleep(period)
	}
	return replies
}

func TestNoWorkWhereNoneMayGo(t *testing.T) {
	cutOff := func(w *world) {
		for _, n := range []string{"node-a", "node-a2"} {
			w.cut(n, platformSide)
			w.cut(n, "node-b")
			w.cut("node-b", n)
		}
		w.publish(zoneBOut)
	}
	tables := []struct {
		name string
		act  func(w *world)
	}{
		{"zone taken out by ticket", func(w *world) { w.publish(zoneBOut) }},
		{"version withdrawn", func(w *world) {
			w.publish("ticket: 10\nauthor: op\nversions: [{ref: large@1, state: withdrawn}]")
		}},
		{"workspace no longer allowed", func(w *world) {
			w.publish("ticket: 10\nauthor: op\nworkspaces: [{name: desk, allowed: [small@1], quality-target: 0.5}]")
		}},
		{"endpoint listed as leaving", func(w *world) { w.present("engine-b", platform.PresenceDraining) }},
		{"endpoint says that it leaves", func(w *world) { w.engines["engine-b"].SetFaults(engine.Faults{Draining: true}) }},
		{"zone out while the log is down, heard from a peer", func(w *world) {
			w.cut("node-a", platformSide)
			w.publish(zoneBOut)
		}},
		{"zone out, the dispatching zone cut from platform and peers but not from the endpoints", cutOff},
	}
	for _, table := range tables {
		inWorld(t, table.name, instance.Options{}, func(w *world) {
			a, _ := w.zones()
			w.node("node-a2", "a")
			w.settle(2 * time.Second)
			So(a.chat("large", "before").whole(), ShouldBeTrue)
			began := w.clock.Wall()
			table.act(w)
			chatEvery(a, "large", 20*time.Second, 200*time.Millisecond)
			limit := began + clock.Millis(inForceWithin.Milliseconds())
			So(startsAfter(w.engines["engine-b"].Events(), limit), ShouldBeEmpty)
			So(a.chat("small", "own zone").problem(), ShouldEqual, "")
		})
	}
	naive := instance.Options{Config: []config.Option{config.WithoutFreshnessCheck()}}
	inWorld(t, "naive: a view of any age sends work to other zones", naive, func(w *world) {
		a, _ := w.zones()
		w.node("node-a2", "a")
		w.settle(2 * time.Second)
		began := w.clock.Wall()
		cutOff(w)
		chatEvery(a, "large", 20*time.Second, 200*time.Millisecond)
		limit := began + clock.Millis(inForceWithin.Milliseconds())
		So(startsAfter(w.engines["engine-b"].Events(), limit), ShouldNotBeEmpty)
	})
}

func TestQueuedWorkIsCheckedAgain(t *testing.T) {
	inWorld(t, "a request that waits while its version is withdrawn does not run", instance.Options{}, func(w *world) {
		a, _ := w.zones()
		w.engines["engine-b"].SetFaults(engine.Faults{RefuseNext: 1 << 30})
		results := make(chan *reply, 1)
		go func() { results <- a.chat("large@1", "wait") }()
		w.settle(time.Second)
		w.publish("ticket: 10\nauthor: op\nversions: [{ref: large@1, state: withdrawn}]")
		w.engines["engine-b"].SetFaults(engine.Faults{})
		got := <-results
		So(got.code, ShouldEqual, "version-withdrawn")
		So(got.outcome, ShouldEqual, claim.StateNotRun)
		So(startsAfter(w.engines["engine-b"].Events(), 0), ShouldBeEmpty)
	})
}
