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
	// propagationLimit is the guaranteed time within which every instance applies a config change.
	propagationLimit = 3 * time.Second
	drainZoneB       = "ticket: 10\nauthor: op\nzones: [{name: b, state: out}]"
	restoreZoneB     = "ticket: 11\nauthor: op\nzones: [{name: b, state: in}]"
)

func (n *node) zoneInService(zone string) bool {
	return n.Config.View().ZoneInService(ticket.ZoneName(zone))
}

func publishVia(n *node, yaml string) error {
	t, err := ticket.Parse([]byte(yaml))
	if err != nil {
		return err
	}
	_, err = n.Config.Publish(context.Background(), t)
	return err
}

func TestConfigPropagation(t *testing.T) {
	runInEnv(t, "a ticket is in force everywhere within the propagation limit", instance.Options{}, func(env *testEnv) {
		a, b := env.startSmall()
		So(publishVia(a, drainZoneB), ShouldBeNil)
		env.advance(propagationLimit)
		So(a.zoneInService("b"), ShouldBeFalse)
		So(b.zoneInService("b"), ShouldBeFalse)
	})
	runInEnv(t, "a ticket whose append response was lost is found by reading the log", instance.Options{}, func(env *testEnv) {
		a, b := env.startSmall()
		env.log.SetFaults(applog.Faults{LoseResponses: 1})
		So(publishVia(a, drainZoneB), ShouldBeNil)
		env.advance(propagationLimit)
		So(b.zoneInService("b"), ShouldBeFalse)
	})
	runInEnv(t, "of concurrent tickets with the same number, the first in the log wins everywhere", instance.Options{}, func(env *testEnv) {
		a, b := env.startSmall()
		done := make(chan error, 2)
		go func() { done <- publishVia(a, "ticket: 10\nauthor: x\nzones: [{name: b, state: out}]") }()
		go func() { done <- publishVia(b, "ticket: 10\nauthor: y\nzones: [{name: b, state: in}]") }()
		So(<-done, ShouldBeNil)
		So(<-done, ShouldBeNil)
		env.advance(propagationLimit)
		So(a.Config.View().Digest, ShouldEqual, b.Config.View().Digest)
	})
	runInEnv(t, "an instance partitioned from the log receives a ticket from a peer", instance.Options{}, func(env *testEnv) {
		a, b := env.startSmall()
		env.partition("node-b", platformSide)
		So(publishVia(a, drainZoneB), ShouldBeNil)
		env.advance(propagationLimit)
		So(b.zoneInService("b"), ShouldBeFalse)
	})
	runInEnv(t, "an older ticket that lands late does not revert a newer one", instance.Options{}, func(env *testEnv) {
		a, b := env.startSmall()
		env.log.SetFaults(applog.Faults{LateAppends: 1, LateAppendDelay: 20_000})
		late := make(chan error, 1)
		go func() { late <- publishVia(a, drainZoneB) }()
		env.advance(100 * time.Millisecond)
		So(publishVia(b, restoreZoneB), ShouldBeNil)
		<-late
		env.advance(time.Minute)
		So(a.zoneInService("b"), ShouldBeTrue)
		So(b.zoneInService("b"), ShouldBeTrue)
	})
}

func TestConfigSurvivesRestartsAndRetention(t *testing.T) {
	runInEnv(t, "a new instance is not ready without config, and gets it from a peer during a log outage", instance.Options{}, func(env *testEnv) {
		a, _ := env.startSmall()
		env.log.SetFaults(applog.Faults{Outage: true})
		env.partition("node-c", "node-a")
		env.partition("node-c", "node-b")
		env.partition("node-a", "node-c")
		env.partition("node-b", "node-c")
		c := env.node("node-c", "a")
		env.advance(10 * time.Second)
		So(c.Ready(), ShouldBeFalse)
		So(c.chat("small", "hello").code, ShouldEqual, "not-ready")
		env.heal()
		env.advance(5 * time.Second)
		So(c.Ready(), ShouldBeTrue)
		So(c.Config.View().Digest, ShouldEqual, a.Config.View().Digest)
	})
	runInEnv(t, "the config survives when the log's retention drops its first ticket", instance.Options{}, func(env *testEnv) {
		a, b := env.startSmall()
		env.advance(3 * applog.DefaultRetention.Duration())
		a.kill()
		b.kill()
		c := env.node("node-c", "a")
		env.advance(5 * time.Second)
		So(c.Config.View().ObjectCount(), ShouldEqual, 8)
		appends := len(env.log.Records(platform.StreamConfig))
		So(appends, ShouldBeBetween, 0, 8)
	})
	runInEnv(t, "a restart during an outage does not restore old config", instance.Options{}, func(env *testEnv) {
		a, b := env.startSmall()
		So(publishVia(a, drainZoneB), ShouldBeNil)
		env.advance(propagationLimit)
		env.log.SetFaults(applog.Faults{Outage: true})
		b.kill()
		b = env.node("node-b", "b")
		env.advance(5 * time.Second)
		So(b.Ready(), ShouldBeTrue)
		So(b.zoneInService("b"), ShouldBeFalse)
	})
}

// startModelPerZone starts two zones with an instance each, the small model in zone a and the large one in zone b.
func (env *testEnv) startModelPerZone() (a, b *node) {
	env.engine("engine-a", "a", engine.Config{Version: "small@1", FirstTokenLatency: 20, TokenInterval: 5})
	env.engine("engine-b", "b", engine.Config{Version: "large@1", FirstTokenLatency: 20, TokenInterval: 5})
	a = env.node("node-a", "a")
	b = env.node("node-b", "b")
	env.publish(baseTicket)
	env.advance(2 * time.Second)
	return a, b
}

// chatRepeatedly sends a request through the instance every period until duration has passed.
func chatRepeatedly(n *node, model string, duration, period time.Duration) []*reply {
	var replies []*reply
	for end := n.env.clock.Mono() + clock.Millis(duration.Milliseconds()); n.env.clock.Mono() < end; {
		replies = append(replies, n.chat(model, "hello"))
		time.Sleep(period)
	}
	return replies
}

func TestNoDispatchToForbiddenTargets(t *testing.T) {
	isolateZoneA := func(env *testEnv) {
		for _, n := range []string{"node-a", "node-a2"} {
			env.partition(n, platformSide)
			env.partition(n, "node-b")
			env.partition("node-b", n)
		}
		env.publish(drainZoneB)
	}
	tables := []struct {
		name string
		act  func(env *testEnv)
	}{
		{"zone drained by ticket", func(env *testEnv) { env.publish(drainZoneB) }},
		{"version withdrawn", func(env *testEnv) {
			env.publish("ticket: 10\nauthor: op\nversions: [{ref: large@1, state: withdrawn}]")
		}},
		{"workspace no longer allowed", func(env *testEnv) {
			env.publish("ticket: 10\nauthor: op\nworkspaces: [{name: desk, allowed: [small@1], quality-target: 0.5}]")
		}},
		{"endpoint listed as draining", func(env *testEnv) { env.setPresence("engine-b", platform.PresenceDraining) }},
		{"endpoint reports that it is draining", func(env *testEnv) { env.engines["engine-b"].SetFaults(engine.Faults{Draining: true}) }},
		{"zone drained while the instance cannot reach the log, learned from a peer", func(env *testEnv) {
			env.partition("node-a", platformSide)
			env.publish(drainZoneB)
		}},
		{"zone drained, the dispatching zone partitioned from platform and peers but not from the endpoints", isolateZoneA},
	}
	for _, table := range tables {
		runInEnv(t, table.name, instance.Options{}, func(env *testEnv) {
			a, _ := env.startModelPerZone()
			env.node("node-a2", "a")
			env.advance(2 * time.Second)
			So(a.chat("large", "before").completed(), ShouldBeTrue)
			began := env.clock.Wall()
			table.act(env)
			chatRepeatedly(a, "large", 20*time.Second, 200*time.Millisecond)
			limit := began + clock.Millis(propagationLimit.Milliseconds())
			So(startsAfter(env.engines["engine-b"].Events(), limit), ShouldBeEmpty)
			So(a.chat("small", "own zone").failure(), ShouldEqual, "")
		})
	}
	unsafeVariant := instance.Options{Config: []config.Option{config.WithoutFreshnessCheck()}}
	runInEnv(t, "unsafe variant: without the freshness check a stale view dispatches to a drained zone", unsafeVariant, func(env *testEnv) {
		a, _ := env.startModelPerZone()
		env.node("node-a2", "a")
		env.advance(2 * time.Second)
		began := env.clock.Wall()
		isolateZoneA(env)
		chatRepeatedly(a, "large", 20*time.Second, 200*time.Millisecond)
		limit := began + clock.Millis(propagationLimit.Milliseconds())
		So(startsAfter(env.engines["engine-b"].Events(), limit), ShouldNotBeEmpty)
	})
}

func TestQueuedRequestIsRevalidated(t *testing.T) {
	runInEnv(t, "a request whose version is withdrawn while it is queued does not run", instance.Options{}, func(env *testEnv) {
		a, _ := env.startModelPerZone()
		env.engines["engine-b"].SetFaults(engine.Faults{RefuseNext: 1 << 30})
		results := make(chan *reply, 1)
		go func() { results <- a.chat("large@1", "wait") }()
		env.advance(time.Second)
		env.publish("ticket: 10\nauthor: op\nversions: [{ref: large@1, state: withdrawn}]")
		env.engines["engine-b"].SetFaults(engine.Faults{})
		got := <-results
		So(got.code, ShouldEqual, "version-withdrawn")
		So(got.outcome, ShouldEqual, claim.StateNotRun)
		So(startsAfter(env.engines["engine-b"].Events(), 0), ShouldBeEmpty)
	})
}
