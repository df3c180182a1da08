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

// islands starts two zones with two instances each. Zone a has the small model
// and the service, zone b the large model.
func (w *world) islands() (a, b *node) {
	w.engine("engine-a", "a", engine.Config{Version: "small@1", FirstTokenLatency: 20, TokenInterval: 5})
	w.engine("engine-b", "b", engine.Config{Version: "large@1", FirstTokenLatency: 20, TokenInterval: 5})
	w.service("stock-a", "a", "stock")
	a, b = w.node("node-a1", "a"), w.node("node-b1", "b")
	w.node("node-a2", "a")
	w.node("node-b2", "b")
	w.publish(baseTicket)
	w.settle(3 * time.Second)
	return a, b
}

func (w *world) cutPlatform(names ...string) {
	for _, name := range names {
		w.cut(name, platformSide)
	}
}

func (w *world) cutZones() {
	w.cut("a", "b")
	w.cut("b", "a")
}

// served says what an instance of zone a does under a fault: each field is "yes",
// or the outcome that the refusal states.
type served struct {
	own, other, refund, keyedRefund, publish string
}

func say(r *reply) string {
	if r.whole() {
		return "yes"
	}
	return string(r.outcome)
}

// TestWhatEachZoneServes is the table of docs/OPERATORS.md.
func TestWhatEachZoneServes(t *testing.T) {
	tables := []struct {
		name string
		act  func(w *world)
		want served
	}{
		{"nothing fails", func(*world) {}, served{"yes", "yes", "yes", "yes", "yes"}},
		{"log down", func(w *world) { w.log.SetFaults(applog.Faults{Outage: true}) },
			served{"yes", "yes", "not-run", "unknown", "no"}},
		{"log slow", func(w *world) { w.log.SetFaults(applog.Faults{Delay: 800}) },
			served{"yes", "yes", "yes", "yes", "yes"}},
		{"list down", func(w *world) { w.directory.SetFaults(listing.Faults{Outage: true}) },
			served{"yes", "yes", "yes", "yes", "yes"}},
		{"rating service down", func(w *world) { w.ratings.SetFaults(rating.Faults{Outage: true}) },
			served{"yes", "yes", "yes", "yes", "yes"}},
		{"zone a cut from the platform", func(w *world) { w.cutPlatform("a") },
			served{"yes", "yes", "not-run", "unknown", "no"}},
		{"zone a cut from zone b", func(w *world) { w.cutZones() },
			served{"yes", "not-run", "yes", "yes", "yes"}},
		{"zone a cut from both", func(w *world) { w.cutPlatform("a"); w.cutZones() },
			served{"yes", "not-run", "not-run", "unknown", "no"}},
		{"zone b cut from both", func(w *world) { w.cutPlatform("b"); w.cutZones() },
			served{"yes", "not-run", "yes", "yes", "yes"}},
		{"one way: the platform's answers to zone a are lost", func(w *world) {
			w.cut(platformSide, "node-a1")
			w.cut(platformSide, "node-a2")
		}, served{"yes", "yes", "yes", "yes", "yes"}},
		{"one way: zone a reaches zone b, not the other way", func(w *world) { w.cut("b", "a") },
			served{"yes", "yes", "yes", "yes", "yes"}},
	}
	for _, table := range tables {
		inWorld(t, table.name, instance.Options{}, func(w *world) {
			a, _ := w.islands()
			table.act(w)
			w.settle(10 * time.Second)
			got := served{
				own:         say(a.chat("small", "own zone")),
				other:       say(a.chat("large", "other zone")),
				refund:      say(a.refund("", `{"order":1}`)),
				keyedRefund: say(a.refund(w.key(1), `{"order":2}`)),
				publish:     "yes",
			}
			if publishThrough(a, "ticket: 10\nauthor: op\nzones: [{name: c, state: in}]") != nil {
				got.publish = "no"
			}
			So(fmt.Sprint(got), ShouldEqual, fmt.Sprint(table.want))
			w.heal()
			w.log.SetFaults(applog.Faults{})
			w.directory.SetFaults(listing.Faults{})
			w.settle(30 * time.Second)
			for _, n := range w.nodes {
				So(n.Ledger.Unsettled(), ShouldEqual, 0)
				So(n.chat("large", "after").problem(), ShouldEqual, "")
			}
			So(ranTwice(w.services["stock-a"].Runs()), ShouldBeEmpty)
		})
	}
}

func TestBacklogSettlesWithoutABurst(t *testing.T) {
	inWorld(t, "bills of an outage reach the log in few appends", instance.Options{}, func(w *world) {
		a, b := w.islands()
		w.log.SetFaults(applog.Faults{Outage: true})
		const requests = 200
		for i := range requests {
			So([]*node{a, b}[i%2].chat("small", fmt.Sprint("request ", i)).whole(), ShouldBeTrue)
		}
		before := w.log.Appends()
		w.log.SetFaults(applog.Faults{})
		w.settle(time.Second)
		So(w.log.Appends()-before, ShouldBeLessThan, requests/2)
		w.settle(time.Minute)
		fold := w.fold()
		So(len(fold.Bills()), ShouldEqual, requests)
		So(a.Ledger.Unsettled()+b.Ledger.Unsettled(), ShouldEqual, 0)
	})
}

func TestFreshInstanceJoins(t *testing.T) {
	const joinWithin = 5 * time.Second
	tables := []struct {
		name string
		act  func(w *world)
	}{
		{"from log and peers", func(*world) {}},
		{"from peers alone", func(w *world) { w.log.SetFaults(applog.Faults{Outage: true}) }},
		{"from the log alone", func(w *world) {
			for _, n := range []string{"node-a1", "node-a2", "node-b1", "node-b2"} {
				w.cut("node-c", n)
				w.cut(n, "node-c")
			}
		}},
	}
	for _, table := range tables {
		inWorld(t, table.name, instance.Options{}, func(w *world) {
			a, _ := w.islands()
			table.act(w)
			c := w.node("node-c", "a")
			w.settle(joinWithin)
			So(c.Ready(), ShouldBeTrue)
			So(c.Config.View().Digest, ShouldEqual, a.Config.View().Digest)
			So(say(c.chat("small", "hello")), ShouldEqual, "yes")
		})
	}
}

func TestNewInstanceKnowsOldClaims(t *testing.T) {
	inWorld(t, "an instance that joined later does not run a claimed refund again", instance.Options{}, func(w *world) {
		a, _ := w.islands()
		key := w.key(1)
		So(a.refund(key, `{"order":1}`).whole(), ShouldBeTrue)
		// The answer reaches the log shortly after the caller.
		w.settle(time.Second)
		a.kill()
		c := w.node("node-c", "a")
		w.settle(3 * time.Second)
		So(c.refund(key, `{"order":1}`).whole(), ShouldBeTrue)
		w.settle(11 * time.Minute)
		late := c.refund(key, `{"order":1}`)
		So(late.outcome, ShouldEqual, claim.StateUnknown)
		So(len(w.services["stock-a"].Runs()), ShouldEqual, 1)
	})
}

func TestFourZonesStayReachable(t *testing.T) {
	inWorld(t, "an instance cut from the platform goes on reaching every zone of four", instance.Options{}, func(w *world) {
		zones := []string{"a", "b", "c", "d"}
		versions := []ticket.VersionRef{"small@1", "large@1", "small@2", "small@3"}
		for i, zone := range zones {
			w.engine("engine-"+zone, zone, engine.Config{Version: versions[i], FirstTokenLatency: 20, TokenInterval: 5})
		}
		for _, zone := range zones {
			w.node("node-"+zone+"1", zone)
			w.node("node-"+zone+"2", zone)
		}
		w.publish(strings.ReplaceAll(baseTicket, "small@2]", "small@2, small@3]"))
		w.publish("ticket: 2\nauthor: test\nversions: [{ref: small@3, state: active, quality: 0.9}]")
		w.settle(3 * time.Second)
		w.cutPlatform("a")
		w.settle(10 * time.Second)
		a := w.nodes["node-a1"]
		stale := 0
		for range 100 {
			fresh := a.Config.Freshness()
			for _, zone := range zones {
				if !fresh.AllowsZone(ticket.ZoneName(zone)) {
					stale++
				}
			}
			w.settle(300 * time.Millisecond)
		}
		So(stale, ShouldEqual, 0)
		for _, version := range versions {
			So(a.chat(string(version), "hello").problem(), ShouldEqual, "")
		}
	})
}
