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

// coldEngine describes an engine that bears two requests until it has finished six.
var coldEngine = engine.Config{Version: "small@1", FirstTokenLatency: 50, TokenInterval: 10, ColdLimit: 2, WarmAfter: 6, Slots: 16}

// coldWorld starts a number of instances in one zone before one engine in cold start.
func coldWorld(w *world, instances int) []*node {
	w.engine("engine-a", "a", coldEngine)
	var nodes []*node
	for i := range instances {
		nodes = append(nodes, w.node(fmt.Sprintf("node-%02d", i), "a"))
	}
	w.publish(baseTicket)
	w.settle(3 * time.Second)
	return nodes
}

// flood sends a number of requests at once through each instance.
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

func TestColdEndpointBears(t *testing.T) {
	for _, instances := range []int{2, 4, 8, 16} {
		inWorld(t, fmt.Sprintf("%d instances meet one engine in cold start", instances), instance.Options{}, func(w *world) {
			nodes := coldWorld(w, instances)
			replies := flood(nodes, 3)
			So(coldPeak(w.engines["engine-a"].Events()), ShouldBeBetweenOrEqual, 1, coldEngine.ColdLimit)
			answered := 0
			for _, r := range replies {
				if r.whole() {
					answered++
				}
			}
			So(answered, ShouldEqual, len(replies))
		})
	}
	naive := instance.Options{Gate: []gatekeeper.Option{gatekeeper.WithoutLease()}}
	inWorld(t, "naive: each instance bounds its own work alone", naive, func(w *world) {
		nodes := coldWorld(w, 8)
		flood(nodes, 3)
		So(coldPeak(w.engines["engine-a"].Events()), ShouldBeGreaterThan, coldEngine.ColdLimit)
	})
}

func TestColdAgain(t *testing.T) {
	inWorld(t, "an engine that restarts under load is cold again for everybody", instance.Options{}, func(w *world) {
		nodes := coldWorld(w, 8)
		flood(nodes, 2)
		e := w.engines["engine-a"]
		for range 5 {
			go flood(nodes, 2)
			w.settle(30 * time.Millisecond)
			e.Crash()
			flood(nodes, 2)
			w.settle(10 * time.Second)
		}
		So(coldPeak(e.Events()), ShouldBeBetweenOrEqual, 1, coldEngine.ColdLimit)
	})
	inWorld(t, "the gate's holder dies, and its successor keeps the bound", instance.Options{}, func(w *world) {
		nodes := coldWorld(w, 4)
		e := w.engines["engine-a"]
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
			w.settle(20 * time.Millisecond)
			holder.kill()
			w.settle(time.Minute)
			flood(rest, 2)
		}
		So(coldPeak(e.Events()), ShouldBeBetweenOrEqual, 1, coldEngine.ColdLimit)
		last := flood(rest, 1)
		So(last[0].whole(), ShouldBeTrue)
	})
	inWorld(t, "the gate's holder is frozen past its lease and thaws", instance.Options{}, func(w *world) {
		nodes := coldWorld(w, 4)
		e := w.engines["engine-a"]
		var holder *node
		for _, n := range nodes {
			if n.Gate.HoldsLease() {
				holder = n
			}
		}
		go flood(nodes, 2)
		w.settle(20 * time.Millisecond)
		holder.freeze()
		w.settle(45 * time.Second)
		e.Crash()
		go flood(nodes, 2)
		w.settle(5 * time.Millisecond)
		holder.thaw()
		w.settle(time.Minute)
		held := 0
		for _, n := range nodes {
			if n.Gate.HoldsLease() {
				held++
			}
		}
		So(held, ShouldEqual, 1)
		So(coldPeak(e.Events()), ShouldBeBetweenOrEqual, 1, coldEngine.ColdLimit)
	})
	inWorld(t, "at most one instance holds the gate through outages and kills", instance.Options{}, func(w *world) {
		nodes := coldWorld(w, 4)
		for round := range 40 {
			switch round % 8 {
			case 2:
				w.cut(fmt.Sprintf("node-%02d", round%4), platformSide)
			case 5:
				w.heal()
			}
			w.settle(3 * time.Second)
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
