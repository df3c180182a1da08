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

// zoneReport is the impact of draining a zone and restoring it.
type zoneReport struct {
	// lateStarts counts the requests that started in the zone more than propagationLimit after it was drained.
	lateStarts int
	// failed counts the requests without a complete answer.
	failed, sent int
	// coldPeak is the highest number of in-flight requests at any engine during its cold start.
	coldPeak int
	// recoveryTime is the time from the zone's return until all its engines were warm.
	recoveryTime clock.Millis
}

func (r zoneReport) String() string {
	return fmt.Sprintf("late=%d failed=%d of %d cold-peak=%d full-service-after-ms=%d", r.lateStarts, r.failed, r.sent, r.coldPeak, r.recoveryTime)
}

// drainAndRestore sends traffic while zone b is drained, its engines restart
// cold, and the zone is restored.
func drainAndRestore(env *testEnv, instances int) zoneReport {
	for _, zone := range []string{"a", "b"} {
		for k := range 2 {
			env.engine(fmt.Sprintf("engine-%s%d", zone, k), zone,
				engine.Config{Version: "small@1", FirstTokenLatency: 30, TokenInterval: 5, Slots: 16, ColdLimit: 2, WarmAfter: 6})
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
	drainedAt := env.clock.Wall()
	env.publish(drainZoneB)
	env.advance(20 * time.Second)
	report := zoneReport{lateStarts: env.lateStarts("b", drainedAt)}
	env.engines["engine-b0"].Crash()
	env.engines["engine-b1"].Crash()
	env.advance(5 * time.Second)
	restoredAt := env.clock.Wall()
	env.publish(restoreZoneB)
	report.recoveryTime = env.awaitWarm("b", restoredAt)
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

// lateStarts counts the requests that the zone's engines started more than propagationLimit after it was drained.
func (env *testEnv) lateStarts(zone string, drainedAt clock.Millis) int {
	late := 0
	for k := range 2 {
		events := env.engines[fmt.Sprintf("engine-%s%d", zone, k)].Events()
		late += len(startsAfter(events, drainedAt+clock.Millis(propagationLimit.Milliseconds())))
	}
	return late
}

// warmLimit bounds the time until all engines of the zone are warm again.
const warmLimit = clock.Minute

// awaitWarm waits until the zone's engines are warm, for at most warmLimit, and returns the time since then.
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
