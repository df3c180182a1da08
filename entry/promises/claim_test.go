package promises

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"foxtailbridge/entry/claims"
	"foxtailbridge/entry/instance"
	"foxtailbridge/entry/router"
	"foxtailbridge/policy/claim"
	"foxtailbridge/standin/applog"
	"foxtailbridge/standin/service"
)

// sendBoth sends the same refund through both instances at once.
func sendBoth(w *world, a, b *node, key string) []*reply {
	replies := make([]*reply, 2)
	done := make(chan struct{}, 2)
	for i, n := range []*node{a, b} {
		go func() {
			replies[i] = n.refund(key, `{"order":1}`)
			done <- struct{}{}
		}()
	}
	<-done
	<-done
	return replies
}

func TestRefundThroughTwoInstancesAtOnce(t *testing.T) {
	tables := []struct {
		name    string
		options instance.Options
		faults  applog.Faults
		naive   bool
	}{
		{name: "healthy log"},
		{name: "slow log", faults: applog.Faults{Delay: 400}},
		{name: "answers lost after effect", faults: applog.Faults{LoseResponses: 4}},
		{name: "appends land late", faults: applog.Faults{LateAppends: 2, LateAppendDelay: 1000}},
		{name: "appends land after the wait", faults: applog.Faults{LateAppends: 2, LateAppendDelay: 20_000}},
		{name: "naive: acknowledged append runs", naive: true, faults: applog.Faults{Delay: 100},
			options: instance.Options{Claims: []claims.Option{claims.WithoutReadBack()}}},
	}
	for _, table := range tables {
		inWorld(t, table.name, table.options, func(w *world) {
			a, b := w.small()
			stock := w.services["stock-a"]
			w.log.SetFaults(table.faults)
			replies := sendBoth(w, a, b, w.key(1))
			w.settle(time.Minute)
			if table.naive {
				So(ranTwice(stock.Runs()), ShouldNotBeEmpty)
				return
			}
			So(ranTwice(stock.Runs()), ShouldBeEmpty)
			So(falseNotRun(replies, stock.Runs()), ShouldBeEmpty)
			So(unbilled(replies, billsIn(w.log.Records("bills"))), ShouldBeEmpty)
		})
	}
}

func TestRefundSurvivesAKillAtEachStep(t *testing.T) {
	steps := []struct {
		step router.Step
		ran  int
	}{
		{step: router.StepAdmitted, ran: 1},
		{step: router.StepClaimed, ran: 0},
		{step: router.StepDispatched, ran: 0},
		{step: router.StepAnswered, ran: 1},
		{step: router.StepBilled, ran: 1},
		{step: router.StepFinished, ran: 1},
	}
	for _, table := range steps {
		inWorld(t, "killed at "+string(table.step), instance.Options{}, func(w *world) {
			a, b := w.small()
			stock := w.services["stock-a"]
			key := w.key(1)
			a.dieAt(table.step)
			first := a.refund(key, `{"order":1}`)
			second := b.refund(key, `{"order":1}`)
			w.settle(time.Minute)
			So(first.done, ShouldBeFalse)
			So(len(stock.Runs()), ShouldEqual, table.ran)
			So(ranTwice(stock.Runs()), ShouldBeEmpty)
			So(falseNotRun([]*reply{first, second}, stock.Runs()), ShouldBeEmpty)
			fold := billsIn(w.log.Records("bills"))
			So(unbilled([]*reply{first, second}, fold), ShouldBeEmpty)
			So(billedTwice(fold), ShouldBeEmpty)
		})
	}
}

func TestRefundOutcomes(t *testing.T) {
	inWorld(t, "A retry through another instance gets the whole first answer", instance.Options{}, func(w *world) {
		a, b := w.small()
		key := w.key(1)
		first := a.refund(key, `{"order":1}`)
		second := b.refund(key, `{"order":1}`)
		So(first.status, ShouldEqual, http.StatusOK)
		So(second.body, ShouldEqual, first.body)
		So(len(w.services["stock-a"].Runs()), ShouldEqual, 1)
	})
	inWorld(t, "A retry during the run waits for the claimant's answer", instance.Options{}, func(w *world) {
		a, b := w.small()
		w.services["stock-a"].SetFaults(service.Faults{Delay: 2000})
		key := w.key(1)
		results := make(chan *reply, 1)
		go func() { results <- a.refund(key, `{"order":1}`) }()
		w.settle(500 * time.Millisecond)
		second := b.refund(key, `{"order":1}`)
		first := <-results
		So(second.status, ShouldEqual, http.StatusOK)
		So(second.body, ShouldEqual, first.body)
		So(len(w.services["stock-a"].Runs()), ShouldEqual, 1)
	})
	inWorld(t, "A lost answer is unknown, for the retry too, and is not run again", instance.Options{}, func(w *world) {
		a, b := w.small()
		w.services["stock-a"].SetFaults(service.Faults{LoseResponses: 1})
		key := w.key(1)
		So(a.refund(key, `{"order":1}`).outcome, ShouldEqual, claim.StateUnknown)
		So(b.refund(key, `{"order":1}`).outcome, ShouldEqual, claim.StateUnknown)
		So(len(w.services["stock-a"].Runs()), ShouldEqual, 1)
	})
	inWorld(t, "A crossed answer is not given to the caller", instance.Options{}, func(w *world) {
		a, _ := w.small()
		w.services["stock-a"].SetFaults(service.Faults{MismatchNext: 1})
		got := a.refund(w.key(1), `{"order":1}`)
		So(got.outcome, ShouldEqual, claim.StateUnknown)
		So(got.body, ShouldNotContainSubstring, "another\"")
	})
	inWorld(t, "A key stands for one content only", instance.Options{}, func(w *world) {
		a, b := w.small()
		key := w.key(1)
		So(a.refund(key, `{"order":1}`).status, ShouldEqual, http.StatusOK)
		So(b.refund(key, `{"order":2}`).code, ShouldEqual, "key-reused")
	})
	inWorld(t, "A key without an age, or one that is too old, is refused", instance.Options{}, func(w *world) {
		a, _ := w.small()
		So(a.refund("7f0c1f7e-3b1c-4d8e-9a51-0a4b6a8c1d2e", `{}`).code, ShouldEqual, "key-without-age")
		old := a.refund(keyAt(w.clock.Wall()-claim.MaxKeyAge-1000, 1), `{}`)
		So(old.code, ShouldEqual, "key-expired")
		So(old.outcome, ShouldEqual, claim.StateUnknown)
		So(w.services["stock-a"].Runs(), ShouldBeEmpty)
	})
}

func TestNotRunIsTrue(t *testing.T) {
	inWorld(t, "While the log is down nothing is run, and only a minted id is not-run", instance.Options{}, func(w *world) {
		a, _ := w.small()
		w.log.SetFaults(applog.Faults{Outage: true})
		So(a.refund("", `{"order":1}`).outcome, ShouldEqual, claim.StateNotRun)
		So(a.refund(w.key(1), `{"order":1}`).outcome, ShouldEqual, claim.StateUnknown)
		w.log.SetFaults(applog.Faults{})
		w.settle(time.Minute)
		So(w.services["stock-a"].Runs(), ShouldBeEmpty)
	})
	inWorld(t, "A refused request stays refused when its copy arrives elsewhere later", instance.Options{}, func(w *world) {
		a, b := w.small()
		w.services["stock-a"].SetFaults(service.Faults{RefuseNext: 10_000})
		key := w.key(1)
		first := a.refund(key, `{"order":1}`)
		So(first.outcome, ShouldEqual, claim.StateNotRun)
		w.services["stock-a"].SetFaults(service.Faults{})
		second := b.refund(key, `{"order":1}`)
		So(second.outcome, ShouldEqual, claim.StateNotRun)
		So(second.code, ShouldEqual, "request-closed")
		So(w.services["stock-a"].Runs(), ShouldBeEmpty)
	})
	inWorld(t, "A claim that lands after its instance gave up never runs, and is closed", instance.Options{}, func(w *world) {
		a, b := w.small()
		key := w.key(1)
		w.log.SetFaults(applog.Faults{LateAppends: 1, LateAppendDelay: 10_000})
		So(a.refund(key, `{"order":1}`).outcome, ShouldEqual, claim.StateUnknown)
		w.settle(20 * time.Second)
		So(b.refund(key, `{"order":1}`).outcome, ShouldEqual, claim.StateNotRun)
		So(w.services["stock-a"].Runs(), ShouldBeEmpty)
	})
	inWorld(t, "A claimant that was paused past the deadline does not run the request", instance.Options{}, func(w *world) {
		a, b := w.small()
		key := w.key(1)
		a.Router.OnStep = func(step router.Step, _ claim.RequestID) {
			if step == router.StepClaimed {
				time.Sleep(time.Hour)
			}
		}
		results := make(chan *reply, 1)
		go func() { results <- a.refund(key, `{"order":1}`) }()
		w.settle(time.Second)
		So(b.refund(key, `{"order":1}`).outcome, ShouldEqual, claim.StateUnknown)
		first := <-results
		So(first.outcome, ShouldEqual, claim.StateNotRun)
		So(w.services["stock-a"].Runs(), ShouldBeEmpty)
	})
	inWorld(t, "An instance without a path to the log does not run refunds", instance.Options{}, func(w *world) {
		a, b := w.small()
		w.cut("node-a", platformSide)
		key := w.key(1)
		So(a.refund(key, `{"order":1}`).outcome, ShouldEqual, claim.StateUnknown)
		So(b.refund(key, `{"order":1}`).status, ShouldEqual, http.StatusOK)
		So(len(w.services["stock-a"].Runs()), ShouldEqual, 1)
	})
}

func TestManyRefundsUnderKills(t *testing.T) {
	inWorld(t, "Refunds sent to a changing set of instances run at most once", instance.Options{}, func(w *world) {
		a, b := w.small()
		var replies []*reply
		for serial := range 30 {
			if serial%10 == 5 {
				b.kill()
				b = w.node("node-b", "b")
				w.settle(3 * time.Second)
			}
			if serial%7 == 3 {
				w.log.SetFaults(applog.Faults{LoseResponses: 3})
			}
			replies = append(replies, sendBoth(w, a, b, w.key(serial))...)
		}
		w.settle(time.Minute)
		runs := w.services["stock-a"].Runs()
		So(ranTwice(runs), ShouldBeEmpty)
		So(falseNotRun(replies, runs), ShouldBeEmpty)
		So(len(runs), ShouldEqual, 30)
		fold := billsIn(w.log.Records("bills"))
		So(unbilled(replies, fold), ShouldBeEmpty)
		So(fmt.Sprint(billedTwice(fold)), ShouldEqual, "[]")
	})
}
