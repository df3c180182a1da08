package promises

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"foxtailbridge/entry/gatekeeper"
	"foxtailbridge/entry/instance"
	"foxtailbridge/standin/engine"
)

// coldEngine configures an engine that accepts two concurrent requests until it has completed six.
var coldEngine = engine.Config{Version: "small@1", FirstTokenLatency: 50, TokenInterval: 10, ColdLimit: 2, WarmAfter: 6, Slots: 16}

// startColdEngine starts one cold engine and the given number of instances in its zone.
func startColdEngine(env *testEnv, instances int) []*node {
	env.engine("engine-a", "a", coldEngine)
	var nodes []*node
	for i := range instances {
		nodes = append(nodes, env.node(fmt.Sprintf("node-%02d", i), "a"))
	}
	env.publish(baseTicket)
	env.advance(3 * time.Second)
	return nodes
}

// flood sends the given number of requests through each instance, all concurrently.
func flood(nodes []*node, each int) []*reply {
	replies := make([]*reply, len(nodes)*each)
	var done sync.WaitGroup
	for i, n := range nodes {
		for k := range each {
			done.Go(func() { replies[i*each+k] = n.chat("small", fmt.Sprintf("request %d %d", i, k)) })
		}
	}
	done.Wait()
	return replies
}

func TestColdStartLimit(t *testing.T) {
	for _, instances := range []int{2, 4, 8, 16} {
		runInEnv(t, fmt.Sprintf("%d instances share one engine in cold start", instances), instance.Options{}, func(env *testEnv) {
			nodes := startColdEngine(env, instances)
			replies := flood(nodes, 3)
			So(peakColdRequests(env.engines["engine-a"].Events()), ShouldBeBetweenOrEqual, 1, coldEngine.ColdLimit)
			answered := 0
			for _, r := range replies {
				if r.completed() {
					answered++
				}
			}
			So(answered, ShouldEqual, len(replies))
		})
	}
	unsafeVariant := instance.Options{Gate: []gatekeeper.Option{gatekeeper.WithoutLease()}}
	runInEnv(t, "unsafe variant: without the lease each instance applies the limit by itself", unsafeVariant, func(env *testEnv) {
		nodes := startColdEngine(env, 8)
		flood(nodes, 3)
		So(peakColdRequests(env.engines["engine-a"].Events()), ShouldBeGreaterThan, coldEngine.ColdLimit)
	})
}

func TestColdStartLimitUnderFailures(t *testing.T) {
	runInEnv(t, "an engine that restarts under load is treated as cold by all instances", instance.Options{}, func(env *testEnv) {
		nodes := startColdEngine(env, 8)
		flood(nodes, 2)
		e := env.engines["engine-a"]
		for range 5 {
			go flood(nodes, 2)
			env.advance(30 * time.Millisecond)
			e.Crash()
			flood(nodes, 2)
			env.advance(10 * time.Second)
		}
		So(peakColdRequests(e.Events()), ShouldBeBetweenOrEqual, 1, coldEngine.ColdLimit)
	})
	runInEnv(t, "the lease holder is killed, and its successor enforces the limit", instance.Options{}, func(env *testEnv) {
		nodes := startColdEngine(env, 4)
		e := env.engines["engine-a"]
		var rest []*node
		var holder *node
		for _, n := range nodes {
			if n.Gate.HoldsLease() {
				holder = n
			} else {
				rest = append(rest, n)
			}
		}
		So(holder, ShouldNotBeNil)
		for range 3 {
			go flood(nodes, 2)
			env.advance(20 * time.Millisecond)
			holder.kill()
			env.advance(time.Minute)
			flood(rest, 2)
		}
		So(peakColdRequests(e.Events()), ShouldBeBetweenOrEqual, 1, coldEngine.ColdLimit)
		last := flood(rest, 1)
		So(last[0].completed(), ShouldBeTrue)
	})
	runInEnv(t, "the lease holder is frozen until its lease has expired, then thaws", instance.Options{}, func(env *testEnv) {
		nodes := startColdEngine(env, 4)
		e := env.engines["engine-a"]
		var holder *node
		for _, n := range nodes {
			if n.Gate.HoldsLease() {
				holder = n
			}
		}
		go flood(nodes, 2)
		env.advance(20 * time.Millisecond)
		holder.freeze()
		env.advance(45 * time.Second)
		e.Crash()
		go flood(nodes, 2)
		env.advance(5 * time.Millisecond)
		holder.thaw()
		env.advance(time.Minute)
		held := 0
		for _, n := range nodes {
			if n.Gate.HoldsLease() {
				held++
			}
		}
		So(held, ShouldEqual, 1)
		So(peakColdRequests(e.Events()), ShouldBeBetweenOrEqual, 1, coldEngine.ColdLimit)
	})
	runInEnv(t, "at most one instance holds the lease through partitions", instance.Options{}, func(env *testEnv) {
		nodes := startColdEngine(env, 4)
		for round := range 40 {
			switch round % 8 {
			case 2:
				env.partition(fmt.Sprintf("node-%02d", round%4), platformSide)
			case 5:
				env.heal()
			}
			env.advance(3 * time.Second)
			held := 0
			for _, n := range nodes {
				if n.Gate.HoldsLease() {
					held++
				}
			}
			So(held, ShouldBeLessThanOrEqualTo, 1)
		}
	})
}
