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

// refundThroughBoth sends the same refund through both instances concurrently.
func refundThroughBoth(env *testEnv, a, b *node, key string) []*reply {
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
		unsafe  bool
	}{
		{name: "healthy log"},
		{name: "slow log", faults: applog.Faults{Delay: 400}},
		{name: "append responses lost after the write", faults: applog.Faults{LoseResponses: 4}},
		{name: "appends land late", faults: applog.Faults{LateAppends: 2, LateAppendDelay: 1000}},
		{name: "appends land after the claim timeout", faults: applog.Faults{LateAppends: 2, LateAppendDelay: 20_000}},
		{name: "unsafe variant: run after the append is acknowledged, without reading back", unsafe: true, faults: applog.Faults{Delay: 100},
			options: instance.Options{Claims: []claims.Option{claims.WithoutReadBack()}}},
	}
	for _, table := range tables {
		runInEnv(t, table.name, table.options, func(env *testEnv) {
			a, b := env.startSmall()
			stock := env.services["stock-a"]
			env.log.SetFaults(table.faults)
			replies := refundThroughBoth(env, a, b, env.newKey(1))
			env.advance(time.Minute)
			if table.unsafe {
				So(ranTwice(stock.Runs()), ShouldNotBeEmpty)
				return
			}
			So(ranTwice(stock.Runs()), ShouldBeEmpty)
			So(falseNotRun(replies, stock.Runs()), ShouldBeEmpty)
			So(unbilled(replies, ledgerFrom(env.log.Records("bills"))), ShouldBeEmpty)
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
		runInEnv(t, "killed at "+string(table.step), instance.Options{}, func(env *testEnv) {
			a, b := env.startSmall()
			stock := env.services["stock-a"]
			key := env.newKey(1)
			a.crashAt(table.step)
			first := a.refund(key, `{"order":1}`)
			second := b.refund(key, `{"order":1}`)
			env.advance(time.Minute)
			So(first.finished, ShouldBeFalse)
			So(len(stock.Runs()), ShouldEqual, table.ran)
			So(ranTwice(stock.Runs()), ShouldBeEmpty)
			So(falseNotRun([]*reply{first, second}, stock.Runs()), ShouldBeEmpty)
			billed := ledgerFrom(env.log.Records("bills"))
			So(unbilled([]*reply{first, second}, billed), ShouldBeEmpty)
			So(billedTwice(billed), ShouldBeEmpty)
		})
	}
}

func TestRefundOutcomes(t *testing.T) {
	runInEnv(t, "A retry through another instance gets the complete first answer", instance.Options{}, func(env *testEnv) {
		a, b := env.startSmall()
		key := env.newKey(1)
		first := a.refund(key, `{"order":1}`)
		second := b.refund(key, `{"order":1}`)
		So(first.status, ShouldEqual, http.StatusOK)
		So(second.body, ShouldEqual, first.body)
		So(len(env.services["stock-a"].Runs()), ShouldEqual, 1)
	})
	runInEnv(t, "A retry during the run waits for the claimant's answer", instance.Options{}, func(env *testEnv) {
		a, b := env.startSmall()
		env.services["stock-a"].SetFaults(service.Faults{Delay: 2000})
		key := env.newKey(1)
		results := make(chan *reply, 1)
		go func() { results <- a.refund(key, `{"order":1}`) }()
		env.advance(500 * time.Millisecond)
		second := b.refund(key, `{"order":1}`)
		first := <-results
		So(second.status, ShouldEqual, http.StatusOK)
		So(second.body, ShouldEqual, first.body)
		So(len(env.services["stock-a"].Runs()), ShouldEqual, 1)
	})
	runInEnv(t, "A call whose answer was lost is unknown, also for the retry, and is not run again", instance.Options{}, func(env *testEnv) {
		a, b := env.startSmall()
		env.services["stock-a"].SetFaults(service.Faults{LoseResponses: 1})
		key := env.newKey(1)
		So(a.refund(key, `{"order":1}`).outcome, ShouldEqual, claim.StateUnknown)
		So(b.refund(key, `{"order":1}`).outcome, ShouldEqual, claim.StateUnknown)
		So(len(env.services["stock-a"].Runs()), ShouldEqual, 1)
	})
	runInEnv(t, "An answer to another request is not returned to the caller", instance.Options{}, func(env *testEnv) {
		a, _ := env.startSmall()
		env.services["stock-a"].SetFaults(service.Faults{MismatchNext: 1})
		got := a.refund(env.newKey(1), `{"order":1}`)
		So(got.outcome, ShouldEqual, claim.StateUnknown)
		So(got.body, ShouldNotContainSubstring, "another\"")
	})
	runInEnv(t, "A key reused with a different body is refused", instance.Options{}, func(env *testEnv) {
		a, b := env.startSmall()
		key := env.newKey(1)
		So(a.refund(key, `{"order":1}`).status, ShouldEqual, http.StatusOK)
		So(b.refund(key, `{"order":2}`).code, ShouldEqual, "key-reused")
	})
	runInEnv(t, "A key without a timestamp, or one that has expired, is refused", instance.Options{}, func(env *testEnv) {
		a, _ := env.startSmall()
		So(a.refund("7f0c1f7e-3b1c-4d8e-9a51-0a4b6a8c1d2e", `{}`).code, ShouldEqual, "key-without-age")
		old := a.refund(keyAt(env.clock.Wall()-claim.MaxKeyAge-1000, 1), `{}`)
		So(old.code, ShouldEqual, "key-expired")
		So(old.outcome, ShouldEqual, claim.StateUnknown)
		So(env.services["stock-a"].Runs(), ShouldBeEmpty)
	})
}

func TestNotRunIsAccurate(t *testing.T) {
	runInEnv(t, "While the log is down nothing is run, and only a request with a generated id is reported as not-run", instance.Options{}, func(env *testEnv) {
		a, _ := env.startSmall()
		env.log.SetFaults(applog.Faults{Outage: true})
		So(a.refund("", `{"order":1}`).outcome, ShouldEqual, claim.StateNotRun)
		So(a.refund(env.newKey(1), `{"order":1}`).outcome, ShouldEqual, claim.StateUnknown)
		env.log.SetFaults(applog.Faults{})
		env.advance(time.Minute)
		So(env.services["stock-a"].Runs(), ShouldBeEmpty)
	})
	runInEnv(t, "A refused request stays refused when a retry arrives at another instance", instance.Options{}, func(env *testEnv) {
		a, b := env.startSmall()
		env.services["stock-a"].SetFaults(service.Faults{RefuseNext: 10_000})
		key := env.newKey(1)
		first := a.refund(key, `{"order":1}`)
		So(first.outcome, ShouldEqual, claim.StateNotRun)
		env.services["stock-a"].SetFaults(service.Faults{})
		second := b.refund(key, `{"order":1}`)
		So(second.outcome, ShouldEqual, claim.StateNotRun)
		So(second.code, ShouldEqual, "request-closed")
		So(env.services["stock-a"].Runs(), ShouldBeEmpty)
	})
	runInEnv(t, "A claim that lands after its instance timed out never runs, and is closed", instance.Options{}, func(env *testEnv) {
		a, b := env.startSmall()
		key := env.newKey(1)
		env.log.SetFaults(applog.Faults{LateAppends: 1, LateAppendDelay: 10_000})
		So(a.refund(key, `{"order":1}`).outcome, ShouldEqual, claim.StateUnknown)
		env.advance(20 * time.Second)
		So(b.refund(key, `{"order":1}`).outcome, ShouldEqual, claim.StateNotRun)
		So(env.services["stock-a"].Runs(), ShouldBeEmpty)
	})
	runInEnv(t, "A claimant that was paused past the deadline does not run the request", instance.Options{}, func(env *testEnv) {
		a, b := env.startSmall()
		key := env.newKey(1)
		a.Router.OnStep = func(step router.Step, _ claim.RequestID) {
			if step == router.StepClaimed {
				time.Sleep(time.Hour)
			}
		}
		results := make(chan *reply, 1)
		go func() { results <- a.refund(key, `{"order":1}`) }()
		env.advance(time.Second)
		So(b.refund(key, `{"order":1}`).outcome, ShouldEqual, claim.StateUnknown)
		first := <-results
		So(first.outcome, ShouldEqual, claim.StateNotRun)
		So(env.services["stock-a"].Runs(), ShouldBeEmpty)
	})
	runInEnv(t, "An instance without a path to the log does not run refunds", instance.Options{}, func(env *testEnv) {
		a, b := env.startSmall()
		env.partition("node-a", platformSide)
		key := env.newKey(1)
		So(a.refund(key, `{"order":1}`).outcome, ShouldEqual, claim.StateUnknown)
		So(b.refund(key, `{"order":1}`).status, ShouldEqual, http.StatusOK)
		So(len(env.services["stock-a"].Runs()), ShouldEqual, 1)
	})
}

func TestManyRefundsUnderKills(t *testing.T) {
	runInEnv(t, "Refunds sent to a changing set of instances run at most once", instance.Options{}, func(env *testEnv) {
		a, b := env.startSmall()
		var replies []*reply
		for serial := range 30 {
			if serial%10 == 5 {
				b.kill()
				b = env.node("node-b", "b")
				env.advance(3 * time.Second)
			}
			if serial%7 == 3 {
				env.log.SetFaults(applog.Faults{LoseResponses: 3})
			}
			replies = append(replies, refundThroughBoth(env, a, b, env.newKey(serial))...)
		}
		env.advance(time.Minute)
		runs := env.services["stock-a"].Runs()
		So(ranTwice(runs), ShouldBeEmpty)
		So(falseNotRun(replies, runs), ShouldBeEmpty)
		So(len(runs), ShouldEqual, 30)
		billed := ledgerFrom(env.log.Records("bills"))
		So(unbilled(replies, billed), ShouldBeEmpty)
		So(fmt.Sprint(billedTwice(billed)), ShouldEqual, "[]")
	})
}
