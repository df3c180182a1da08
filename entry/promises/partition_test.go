package promises

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"foxtailbridge/entry/instance"
	"foxtailbridge/policy/claim"
	"foxtailbridge/policy/ticket"
	"foxtailbridge/standin/applog"
	"foxtailbridge/standin/engine"
	"foxtailbridge/standin/listing"
	"foxtailbridge/standin/rating"
)

// startFourInstances starts two zones with two instances each. Zone a has the small model
// and the service, zone b the large model.
func (env *testEnv) startFourInstances() (a, b *node) {
	env.engine("engine-a", "a", engine.Config{Version: "small@1", FirstTokenLatency: 20, TokenInterval: 5})
	env.engine("engine-b", "b", engine.Config{Version: "large@1", FirstTokenLatency: 20, TokenInterval: 5})
	env.service("stock-a", "a", "stock")
	a, b = env.node("node-a1", "a"), env.node("node-b1", "b")
	env.node("node-a2", "a")
	env.node("node-b2", "b")
	env.publish(baseTicket)
	env.advance(3 * time.Second)
	return a, b
}

func (env *testEnv) partitionPlatform(names ...string) {
	for _, name := range names {
		env.partition(name, platformSide)
	}
}

func (env *testEnv) partitionZones() {
	env.partition("a", "b")
	env.partition("b", "a")
}

// availability is what an instance of zone a can do under a fault: each field is "yes",
// or the outcome that the error response states; publish is "yes" or "no".
type availability struct {
	ownZone, otherZone, refund, keyedRefund, publish string
}

func outcomeText(r *reply) string {
	if r.completed() {
		return "yes"
	}
	return string(r.outcome)
}

// TestZoneAvailabilityUnderFaults checks the table in docs/OPERATORS.md.
func TestZoneAvailabilityUnderFaults(t *testing.T) {
	tables := []struct {
		name string
		act  func(env *testEnv)
		want availability
	}{
		{"nothing fails", func(*testEnv) {}, availability{"yes", "yes", "yes", "yes", "yes"}},
		{"log down", func(env *testEnv) { env.log.SetFaults(applog.Faults{Outage: true}) },
			availability{"yes", "yes", "not-run", "unknown", "no"}},
		{"log slow", func(env *testEnv) { env.log.SetFaults(applog.Faults{Delay: 800}) },
			availability{"yes", "yes", "yes", "yes", "yes"}},
		{"directory down", func(env *testEnv) { env.directory.SetFaults(listing.Faults{Outage: true}) },
			availability{"yes", "yes", "yes", "yes", "yes"}},
		{"rating service down", func(env *testEnv) { env.ratings.SetFaults(rating.Faults{Outage: true}) },
			availability{"yes", "yes", "yes", "yes", "yes"}},
		{"zone a partitioned from the platform", func(env *testEnv) { env.partitionPlatform("a") },
			availability{"yes", "yes", "not-run", "unknown", "no"}},
		{"zone a partitioned from zone b", func(env *testEnv) { env.partitionZones() },
			availability{"yes", "not-run", "yes", "yes", "yes"}},
		{"zone a partitioned from both", func(env *testEnv) { env.partitionPlatform("a"); env.partitionZones() },
			availability{"yes", "not-run", "not-run", "unknown", "no"}},
		{"zone b partitioned from both", func(env *testEnv) { env.partitionPlatform("b"); env.partitionZones() },
			availability{"yes", "not-run", "yes", "yes", "yes"}},
		{"one way: the platform's responses to zone a are lost", func(env *testEnv) {
			env.partition(platformSide, "node-a1")
			env.partition(platformSide, "node-a2")
		}, availability{"yes", "yes", "yes", "yes", "yes"}},
		{"one way: zone a reaches zone b, but not vice versa", func(env *testEnv) { env.partition("b", "a") },
			availability{"yes", "yes", "yes", "yes", "yes"}},
	}
	for _, table := range tables {
		runInEnv(t, table.name, instance.Options{}, func(env *testEnv) {
			a, _ := env.startFourInstances()
			table.act(env)
			env.advance(10 * time.Second)
			got := availability{
				ownZone:     outcomeText(a.chat("small", "own zone")),
				otherZone:   outcomeText(a.chat("large", "other zone")),
				refund:      outcomeText(a.refund("", `{"order":1}`)),
				keyedRefund: outcomeText(a.refund(env.newKey(1), `{"order":2}`)),
				publish:     "yes",
			}
			if publishVia(a, "ticket: 10\nauthor: op\nzones: [{name: c, state: in}]") != nil {
				got.publish = "no"
			}
			So(fmt.Sprint(got), ShouldEqual, fmt.Sprint(table.want))
			env.heal()
			env.log.SetFaults(applog.Faults{})
			env.directory.SetFaults(listing.Faults{})
			env.advance(30 * time.Second)
			for _, n := range env.nodes {
				So(n.Ledger.Unsettled(), ShouldEqual, 0)
				So(n.chat("large", "after").failure(), ShouldEqual, "")
			}
			So(ranTwice(env.services["stock-a"].Runs()), ShouldBeEmpty)
		})
	}
}

func TestBacklogIsAppendedInBatches(t *testing.T) {
	runInEnv(t, "bills from an outage are written to the log in few appends", instance.Options{}, func(env *testEnv) {
		a, b := env.startFourInstances()
		env.log.SetFaults(applog.Faults{Outage: true})
		const requests = 200
		for i := range requests {
			So([]*node{a, b}[i%2].chat("small", fmt.Sprint("request ", i)).completed(), ShouldBeTrue)
		}
		before := env.log.Appends()
		env.log.SetFaults(applog.Faults{})
		env.advance(time.Second)
		So(env.log.Appends()-before, ShouldBeLessThan, requests/2)
		env.advance(time.Minute)
		billed := env.ledger()
		So(len(billed.Bills()), ShouldEqual, requests)
		So(a.Ledger.Unsettled()+b.Ledger.Unsettled(), ShouldEqual, 0)
	})
}

func TestNewInstanceJoins(t *testing.T) {
	const joinLimit = 5 * time.Second
	tables := []struct {
		name string
		act  func(env *testEnv)
	}{
		{"from log and peers", func(*testEnv) {}},
		{"from peers only", func(env *testEnv) { env.log.SetFaults(applog.Faults{Outage: true}) }},
		{"from the log only", func(env *testEnv) {
			for _, n := range []string{"node-a1", "node-a2", "node-b1", "node-b2"} {
				env.partition("node-c", n)
				env.partition(n, "node-c")
			}
		}},
	}
	for _, table := range tables {
		runInEnv(t, table.name, instance.Options{}, func(env *testEnv) {
			a, _ := env.startFourInstances()
			table.act(env)
			c := env.node("node-c", "a")
			env.advance(joinLimit)
			So(c.Ready(), ShouldBeTrue)
			So(c.Config.View().Digest, ShouldEqual, a.Config.View().Digest)
			So(outcomeText(c.chat("small", "hello")), ShouldEqual, "yes")
		})
	}
}

func TestNewInstanceKnowsOldClaims(t *testing.T) {
	runInEnv(t, "an instance that joined later does not run a claimed refund again", instance.Options{}, func(env *testEnv) {
		a, _ := env.startFourInstances()
		key := env.newKey(1)
		So(a.refund(key, `{"order":1}`).completed(), ShouldBeTrue)
		// The answer is written to the log shortly after the caller received it.
		env.advance(time.Second)
		a.kill()
		c := env.node("node-c", "a")
		env.advance(3 * time.Second)
		So(c.refund(key, `{"order":1}`).completed(), ShouldBeTrue)
		env.advance(11 * time.Minute)
		late := c.refund(key, `{"order":1}`)
		So(late.outcome, ShouldEqual, claim.StateUnknown)
		So(len(env.services["stock-a"].Runs()), ShouldEqual, 1)
	})
}

func TestFourZonesStayReachable(t *testing.T) {
	runInEnv(t, "an instance partitioned from the platform keeps reaching all four zones", instance.Options{}, func(env *testEnv) {
		zones := []string{"a", "b", "c", "d"}
		versions := []ticket.VersionRef{"small@1", "large@1", "small@2", "small@3"}
		for i, zone := range zones {
			env.engine("engine-"+zone, zone, engine.Config{Version: versions[i], FirstTokenLatency: 20, TokenInterval: 5})
		}
		for _, zone := range zones {
			env.node("node-"+zone+"1", zone)
			env.node("node-"+zone+"2", zone)
		}
		env.publish(strings.ReplaceAll(baseTicket, "small@2]", "small@2, small@3]"))
		env.publish("ticket: 2\nauthor: test\nversions: [{ref: small@3, state: active, quality: 0.9}]")
		env.advance(3 * time.Second)
		env.partitionPlatform("a")
		env.advance(10 * time.Second)
		a := env.nodes["node-a1"]
		stale := 0
		for range 100 {
			fresh := a.Config.Freshness()
			for _, zone := range zones {
				if !fresh.AllowsZone(ticket.ZoneName(zone)) {
					stale++
				}
			}
			env.advance(300 * time.Millisecond)
		}
		So(stale, ShouldEqual, 0)
		for _, version := range versions {
			So(a.chat(string(version), "hello").failure(), ShouldEqual, "")
		}
	})
}
