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
	// lateStarts counts the requests that began in the zone after the promise's time.
	lateStarts int
	// failed counts the callers that got no whole answer.
	failed, sent int
	// coldPeak is the most requests that an engine in cold start had at once.
	coldPeak int
	// recoveryTime is how long after the return the zone's engines were all warm.
	recoveryTime clock.Millis
}

func (r zoneReport) String() string {
	return fmt.Sprintf("late=%d failed=%d of %d cold-peak=%d full-service-after-ms=%d", r.lateStarts, r.failed, r.sent, r.coldPeak, r.recoveryTime)
}

// drainAndRestore runs callers while zone b is taken out, its engines restart
// cold, and the zone comes back.
func drainAndRestore(env *testEnv, instances int) zoneReport {
	for _, zone := range []string{"a", "b"} {
		for k := range 2 {
			env.engine(fmt.Sprintf("engine-%s%d", zone, k), zone,
				engine.Config{Version: "small@1", FirstToken: 30, Token: 5, Slots: 16, Bears: 2, WarmAfter: 6})
		}
	}
	var nodes []*node
	for i := range instances {
		nodes = append(nodes, env.node(fmt.Sprintf("node-%02d", i), []string{"a", "b"}[i%2]))
	}
	env.publish(baseTicket)
	env.advance(20 * time.Second)
	flood(nodes, 12)
	env.advance(5 * time.Second)

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
	env.advance(5 * time.Second)
	out := env.clock.Wall()
	env.publish(drainZoneB)
	env.advance(20 * time.Second)
	report := zoneReport{lateStarts: env.lateStarts("b", out)}
	env.engines["engine-b0"].Crash()
	env.engines["engine-b1"].Crash()
	env.advance(5 * time.Second)
	back := env.clock.Wall()
	env.publish(restoreZoneB)
	report.recoveryTime = env.awaitWarm("b", back)
	env.advance(5 * time.Second)
	close(stop)
	sending.Wait()
	tr.inFlight.Wait()
	report.sent = len(tr.replies)
	for _, r := range tr.replies {
		if !r.completed() {
			report.failed++
		}
	}
	for _, e := range env.engines {
		report.coldPeak = max(report.coldPeak, peakColdRequests(e.Events()))
	}
	return report
}

// lateStarts counts what engines of a zone began after the promise's time.
func (env *testEnv) lateStarts(zone string, out clock.Millis) int {
	late := 0
	for k := range 2 {
		events := env.engines[fmt.Sprintf("engine-%s%d", zone, k)].Events()
		late += len(startsAfter(events, out+clock.Millis(propagationLimit.Milliseconds())))
	}
	return late
}

// warmLimit bounds the time to full service.
const warmLimit = clock.Minute

// awaitWarm waits until the engines of a zone are warm and returns how long that took.
func (env *testEnv) awaitWarm(zone string, since clock.Millis) clock.Millis {
	for env.clock.Wall()-since < warmLimit {
		if env.engines["engine-"+zone+"0"].Load().Phase == "warm" && env.engines["engine-"+zone+"1"].Load().Phase == "warm" {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return env.clock.Wall() - since
}

func TestZoneDrainAndRestore(t *testing.T) {
	for _, instances := range []int{2, 4, 8, 16} {
		runInEnv(t, fmt.Sprintf("%d instances", instances), instance.Options{}, func(env *testEnv) {
			report := drainAndRestore(env, instances)
			t.Log(instances, "instances:", report)
			So(report.lateStarts, ShouldEqual, 0)
			So(report.failed, ShouldEqual, 0)
			So(report.coldPeak, ShouldBeLessThanOrEqualTo, 2)
			So(report.recoveryTime, ShouldBeLessThan, warmLimit)
		})
	}
}
