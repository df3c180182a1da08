package promises

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"foxtailbridge/entry/instance"
	"foxtailbridge/policy/clock"
	"foxtailbridge/standin/engine"
)

// zoneReport is what a zone's leaving and return cost.
type zoneReport struct {
	// late counts the requests that began in the zone after the promise's time.
	late int
	// failed counts the callers that got no whole answer.
	failed, sent int
	// coldPeak is the most requests that an engine in cold start had at once.
	coldPeak int
	// fullAfter is how long after the return the zone's engines were all warm.
	fullAfter clock.Millis
}

func (r zoneReport) String() string {
	return fmt.Sprintf("late=%d failed=%d of %d cold-peak=%d full-service-after-ms=%d", r.late, r.failed, r.sent, r.coldPeak, r.fullAfter)
}

// leaveAndReturn runs callers while zone b is taken out, its engines restart
// cold, and the zone comes back.
func leaveAndReturn(w *world, instances int) zoneReport {
	for _, zone := range []string{"a", "b"} {
		for k := range 2 {
			w.engine(fmt.Sprintf("engine-%s%d", zone, k), zone,
				engine.Config{Version: "small@1", FirstTokenLatency: 30, TokenInterval: 5, Slots: 16, ColdLimit: 2, WarmAfter: 6})
		}
	}
	var nodes []*node
	for i := range instances {
		nodes = append(nodes, w.node(fmt.Sprintf("node-%02d", i), []string{"a", "b"}[i%2]))
	}
	w.publish(baseTicket)
	w.settle(20 * time.Second)
	flood(nodes, 12)
	w.settle(5 * time.Second)

	tr := &traffic{}
	stop := make(chan struct{})
	var sending sync.WaitGroup
	for i, n := range nodes {
		sending.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(150 * time.Millisecond):
					tr.send(func() *reply { return n.chat("small", fmt.Sprintf("request %d %d", i, k)) })
				}
			}
		})
	}
	w.settle(5 * time.Second)
	out := w.clock.Wall()
	w.publish(zoneBOut)
	w.settle(20 * time.Second)
	report := zoneReport{late: w.lateIn("b", out)}
	w.engines["engine-b0"].Crash()
	w.engines["engine-b1"].Crash()
	w.settle(5 * time.Second)
	back := w.clock.Wall()
	w.publish(zoneBIn)
	report.fullAfter = w.warmAgain("b", back)
	w.settle(5 * time.Second)
	close(stop)
	sending.Wait()
	tr.done.Wait()
	report.sent = len(tr.replies)
	for _, r := range tr.replies {
		if !r.whole() {
			report.failed++
		}
	}
	for _, e := range w.engines {
		report.coldPeak = max(report.coldPeak, coldPeak(e.Events()))
	}
	return report
}

// lateIn counts what engines of a zone began after the promise's time.
func (w *world) lateIn(zone string, out clock.Millis) int {
	late := 0
	for k := range 2 {
		events := w.engines[fmt.Sprintf("engine-%s%d", zone, k)].Events()
		late += len(startsAfter(events, out+clock.Millis(inForceWithin.Milliseconds())))
	}
	return late
}

// warmWithin bounds the time to full service.
const warmWithin = clock.Minute

// warmAgain waits until the engines of a zone are warm and returns how long that took.
func (w *world) warmAgain(zone string, since clock.Millis) clock.Millis {
	for w.clock.Wall()-since < warmWithin {
		if w.engines["engine-"+zone+"0"].Load().Phase == "warm" && w.engines["engine-"+zone+"1"].Load().Phase == "warm" {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return w.clock.Wall() - since
}

func TestZoneLeavesAndReturns(t *testing.T) {
	for _, instances := range []int{2, 4, 8, 16} {
		inWorld(t, fmt.Sprintf("%d instances", instances), instance.Options{}, func(w *world) {
			report := leaveAndReturn(w, instances)
			t.Log(instances, "instances:", report)
			So(report.late, ShouldEqual, 0)
			So(report.failed, ShouldEqual, 0)
			So(report.coldPeak, ShouldBeLessThanOrEqualTo, 2)
			So(report.fullAfter, ShouldBeLessThan, warmWithin)
		})
	}
}
