package promises

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"foxtailbridge/entry/instance"
	"foxtailbridge/entry/learning"
	"foxtailbridge/entry/router"
	"foxtailbridge/link/chat"
	"foxtailbridge/link/endpoint"
	"foxtailbridge/policy/claim"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
	"foxtailbridge/standin/applog"
	"foxtailbridge/standin/engine"
	"foxtailbridge/standin/service"
)

// text returns the text of the answer, whether it was streamed or not.
func (r *reply) text() string {
	if !strings.HasPrefix(r.body, "data:") {
		var completion chat.Completion
		if json.Unmarshal([]byte(r.body), &completion) != nil || len(completion.Choices) == 0 {
			return ""
		}
		return completion.Choices[0].Message.Content
	}
	var text strings.Builder
	for line := range strings.Lines(r.body) {
		var chunk chat.Chunk
		data := strings.TrimPrefix(strings.TrimSpace(line), "data: ")
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return text.String()
}

func TestAnswersAreCompleteAndNotMixedUp(t *testing.T) {
	tables := []struct {
		name   string
		faults engine.Faults
	}{
		{"healthy", engine.Faults{}},
		{"stream truncated before the first token", engine.Faults{TruncateNext: 1, TruncateAfter: 0}},
		{"stream truncated in the middle", engine.Faults{TruncateNext: 1, TruncateAfter: 4}},
		{"stream truncated before the last token", engine.Faults{TruncateNext: 1, TruncateAfter: 7}},
		{"stream truncated twice", engine.Faults{TruncateNext: 2, TruncateAfter: 3}},
		{"endless stream without text before the first token", engine.Faults{EndlessNext: 1, TruncateAfter: 0}},
		{"endless stream without text in the middle", engine.Faults{EndlessNext: 1, TruncateAfter: 4}},
		{"response to another attempt", engine.Faults{MismatchNext: 1}},
		{"two responses to other attempts", engine.Faults{MismatchNext: 2}},
		{"late response", engine.Faults{FirstTokenDelay: 3000}},
		{"refused at first", engine.Faults{RefuseNext: 3}},
	}
	for _, table := range tables {
		runInEnv(t, table.name, instance.Options{}, func(env *testEnv) {
			a, _ := env.startSmall()
			want := a.stream("small", "where is the tray").text()
			So(strings.Fields(want), ShouldHaveLength, 8)
			env.engines["engine-a"].SetFaults(table.faults)
			got := a.stream("small", "where is the tray")
			So(got.failure(), ShouldEqual, "")
			So(got.text(), ShouldEqual, want)
			plain := a.chat("small", "where is the tray")
			So(plain.text(), ShouldEqual, want)
			env.advance(time.Minute)
			So(len(env.ledger().Bills()), ShouldEqual, 3)
		})
	}
	runInEnv(t, "an engine crashes mid-stream and another one with the same version resumes the stream", instance.Options{}, func(env *testEnv) {
		a, _ := env.startSmall()
		want := a.stream("small", "where is the tray").text()
		results := make(chan *reply, 1)
		go func() { results <- a.stream("small", "where is the tray") }()
		env.advance(40 * time.Millisecond)
		env.engines["engine-a"].Crash()
		got := <-results
		So(got.failure(), ShouldEqual, "")
		So(got.text(), ShouldEqual, want)
		So(len(env.engines["engine-b"].Events()), ShouldBeGreaterThan, 0)
	})
	runInEnv(t, "a stream that cannot be completed ends with an explicit error and no final marker", instance.Options{}, func(env *testEnv) {
		a, _ := env.startSmall()
		env.engines["engine-a"].SetFaults(engine.Faults{TruncateNext: 1000, TruncateAfter: 3})
		env.engines["engine-b"].SetFaults(engine.Faults{TruncateNext: 1000, TruncateAfter: 3})
		got := a.stream("small", "where is the tray")
		So(got.outcome, ShouldEqual, claim.StateUnknown)
		So(got.body, ShouldNotContainSubstring, chat.Done)
		env.advance(time.Minute)
		So(env.ledger().Bills(), ShouldBeEmpty)
	})
	runInEnv(t, "a stream that exceeds max_tokens ends with an explicit error and no final marker", instance.Options{}, func(env *testEnv) {
		a, _ := env.startSmall()
		env.engines["engine-a"].SetFaults(engine.Faults{OverrunNext: 1})
		env.engines["engine-b"].SetFaults(engine.Faults{OverrunNext: 1})
		got := a.stream("small", "where is the tray")
		So(got.outcome, ShouldEqual, claim.StateUnknown)
		So(got.body, ShouldNotContainSubstring, chat.Done)
		env.advance(time.Minute)
		So(env.ledger().Bills(), ShouldBeEmpty)
	})
	runInEnv(t, "concurrent answers are not mixed up", instance.Options{}, func(env *testEnv) {
		a, b := env.startSmall()
		want := map[int]string{}
		for i := range 12 {
			want[i] = a.chat("small", fmt.Sprint("question ", i)).text()
		}
		got := make([]string, 24)
		var done sync.WaitGroup
		for i := range 24 {
			done.Go(func() { got[i] = []*node{a, b}[i%2].stream("small", fmt.Sprint("question ", i%12)).text() })
		}
		done.Wait()
		for i := range got {
			So(got[i], ShouldEqual, want[i%12])
		}
	})
}

func TestGracefulShutdown(t *testing.T) {
	runInEnv(t, "a shutdown under load aborts no request and settles every bill", instance.Options{}, func(env *testEnv) {
		a, b := env.startSmall()
		replies := make([]*reply, 20)
		var done sync.WaitGroup
		for i := range replies {
			done.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				replies[i] = a.stream("small", fmt.Sprint("request ", i))
			})
		}
		env.advance(100 * time.Millisecond)
		So(a.Shutdown(a.ctx), ShouldBeTrue)
		So(a.Router.InFlight(), ShouldEqual, 0)
		So(a.Ledger.Unsettled(), ShouldEqual, 0)
		a.kill()
		done.Wait()
		for _, r := range replies {
			So(r.status == 200 && strings.Contains(r.body, chat.Done) || r.outcome == claim.StateNotRun, ShouldBeTrue)
		}
		So(unbilled(replies, env.ledger()), ShouldBeEmpty)
		env.advance(5 * time.Second)
		So(b.Gate.HoldsLease(), ShouldBeTrue)
	})
	runInEnv(t, "unsafe variant: an instance that is killed without draining aborts its requests", instance.Options{}, func(env *testEnv) {
		a, _ := env.startSmall()
		results := make(chan *reply, 1)
		go func() { results <- a.stream("small", "hello") }()
		env.advance(30 * time.Millisecond)
		a.kill()
		So((<-results).completed(), ShouldBeFalse)
	})
	runInEnv(t, "readiness fails before the first request is refused", instance.Options{}, func(env *testEnv) {
		a, _ := env.startSmall()
		stopped := make(chan bool, 1)
		go func() { stopped <- a.Shutdown(a.ctx) }()
		env.advance(100 * time.Millisecond)
		So(a.send("GET", "/readyz", "").status, ShouldEqual, 503)
		So(a.chat("small", "arrives before the balancer noticed").completed(), ShouldBeTrue)
		So(<-stopped, ShouldBeTrue)
		refused := a.chat("small", "too late")
		So(refused.code, ShouldEqual, "draining")
		So(refused.outcome, ShouldEqual, claim.StateNotRun)
	})
	runInEnv(t, "a refund's answer survives the graceful shutdown of its instance", instance.Options{}, func(env *testEnv) {
		a, b := env.startSmall()
		key := env.newKey(1)
		a.Router.OnStep = func(step router.Step, _ claim.RequestID) {
			if step == router.StepAnswered {
				env.log.SetFaults(applog.Faults{Outage: true})
			}
		}
		first := a.refund(key, `{"order":1}`)
		stopped := make(chan bool, 1)
		go func() { stopped <- a.Shutdown(a.ctx) }()
		env.advance(3 * time.Second)
		env.log.SetFaults(applog.Faults{})
		So(<-stopped, ShouldBeTrue)
		a.kill()
		env.advance(time.Second)
		So(b.refund(key, `{"order":1}`).body, ShouldEqual, first.body)
	})
	runInEnv(t, "a shutdown during an outage hands its bills to another instance", instance.Options{}, func(env *testEnv) {
		a, _ := env.startSmall()
		env.partition("node-a", platformSide)
		got := a.stream("small", "hello")
		So(got.completed(), ShouldBeTrue)
		So(a.Shutdown(a.ctx), ShouldBeTrue)
		a.kill()
		env.advance(time.Minute)
		So(unbilled([]*reply{got}, env.ledger()), ShouldBeEmpty)
	})
}

// TestRequestOutlastsDrain guards against a planned stop that ends while requests wait for their
// endpoints: their connections were closed without a response.
func TestRequestOutlastsDrain(t *testing.T) {
	rows := []struct {
		name    string
		send    func(a *node) *reply
		outcome claim.State
	}{
		{"chat", func(a *node) *reply { return a.chat("small", "hello") }, claim.StateUnknown},
		{"stream", func(a *node) *reply { return a.stream("small", "hello") }, claim.StateUnknown},
		{"idempotent call", func(a *node) *reply { return a.send(http.MethodPost, "/v1/services/stock/lookup", "{}") }, claim.StateUnknown},
		{"call that may run only once", func(a *node) *reply { return a.refund("", "{}") }, claim.StateUnknown},
		{"chat for which no endpoint is left", func(a *node) *reply {
			a.env.engines["engine-a"].SetFaults(engine.Faults{Draining: true})
			a.env.engines["engine-b"].SetFaults(engine.Faults{Draining: true})
			return a.chat("small", "hello")
		}, claim.StateNotRun},
	}
	for _, row := range rows {
		runInEnv(t, row.name, instance.Options{}, func(env *testEnv) {
			env.engine("engine-a", "a", engine.Config{Version: "small@1", FirstTokenLatency: 4000, TokenInterval: 5})
			env.engine("engine-b", "b", engine.Config{Version: "small@1", FirstTokenLatency: 4000, TokenInterval: 5})
			env.service("stock-a", "a", "stock").SetFaults(service.Faults{Delay: 4000})
			a := env.node("node-a", "a")
			env.publish(baseTicket)
			env.advance(2 * time.Second)
			answered := make(chan *reply, 1)
			go func() { answered <- row.send(a) }()
			env.advance(100 * time.Millisecond)
			drainCtx, cancel := withTimeout(a.ctx, 2500*time.Millisecond)
			defer cancel()
			So(a.Shutdown(drainCtx), ShouldBeFalse)
			env.advance(50 * time.Millisecond)
			a.kill()
			got := <-answered
			So(got.finished, ShouldBeTrue)
			So(got.status, ShouldEqual, http.StatusServiceUnavailable)
			So(got.code, ShouldEqual, "draining")
			So(got.outcome, ShouldEqual, row.outcome)
			So(env.ledger().Bills(), ShouldBeEmpty)
		})
	}
}

// TestOutcomeAfterDrainIsFlushed guards against a planned stop that doesn't wait for the requests
// that outlasted its drain: their outcomes were recorded after the last flush, or that flush ended
// at once, so that the claims stayed without an outcome for all other instances.
func TestOutcomeAfterDrainIsFlushed(t *testing.T) {
	rows := []struct {
		name string
		// appendDelay is how long the log takes to append an outcome.
		appendDelay clock.Millis
	}{
		{"the log appends at once", 0},
		{"the log appends slowly", 400},
	}
	for _, row := range rows {
		runInEnv(t, row.name, instance.Options{}, func(env *testEnv) {
			env.service("stock-a", "a", "stock").SetFaults(service.Faults{Delay: 4000})
			a, b := env.node("node-a", "a"), env.node("node-b", "b")
			env.publish(baseTicket)
			env.advance(2 * time.Second)
			answered := make(chan *reply, 1)
			go func() { answered <- a.refund(env.newKey(1), "{}") }()
			env.advance(500 * time.Millisecond)
			env.log.SetFaults(applog.Faults{Delay: row.appendDelay})
			drainCtx, cancel := withTimeout(a.ctx, 2500*time.Millisecond)
			defer cancel()
			So(a.Shutdown(drainCtx), ShouldBeFalse)
			a.kill()
			got := <-answered
			So(got.code, ShouldEqual, "draining")
			env.advance(time.Second)
			entry, ok := b.Claims.Lookup(got.requestID)
			So(ok, ShouldBeTrue)
			So(entry.Outcome.State, ShouldEqual, claim.StateUnknown)
		})
	}
}

// TestShutdownAfterDrainIsBounded guards against a planned stop that waits without a bound after its
// drain, for the log or for a request that doesn't end.
func TestShutdownAfterDrainIsBounded(t *testing.T) {
	const drainTimeout, extra = 2500 * time.Millisecond, 3 * time.Second
	rows := []struct {
		name string
		// stuck is true if the request doesn't end when it is stopped.
		stuck  bool
		faults applog.Faults
	}{
		{"the log is down", false, applog.Faults{Outage: true}},
		{"a request does not end", true, applog.Faults{}},
		{"a request does not end and the log is down", true, applog.Faults{Outage: true}},
	}
	for _, row := range rows {
		runInEnv(t, row.name, instance.Options{}, func(env *testEnv) {
			env.service("stock-a", "a", "stock").SetFaults(service.Faults{Delay: 4000})
			a := env.node("node-a", "a")
			env.publish(baseTicket)
			env.advance(2 * time.Second)
			if row.stuck {
				a.Router.OnStep = func(step router.Step, _ claim.RequestID) {
					if step == router.StepDispatched {
						time.Sleep(time.Minute)
					}
				}
			}
			answered := make(chan *reply, 1)
			go func() { answered <- a.refund(env.newKey(1), "{}") }()
			env.advance(500 * time.Millisecond)
			env.log.SetFaults(row.faults)
			drainCtx, cancel := withTimeout(a.ctx, drainTimeout)
			defer cancel()
			start := env.clock.Mono()
			So(a.Shutdown(drainCtx), ShouldBeFalse)
			So((env.clock.Mono() - start).Duration(), ShouldBeLessThanOrEqualTo, drainTimeout+extra)
			a.kill()
			<-answered
		})
	}
}

// startPoisonable starts two instances and five engines that crash on a poison request.
func (env *testEnv) startPoisonable() (a, b *node) {
	for i := range 5 {
		e := env.engine(fmt.Sprint("engine-", i), "a", engine.Config{Version: "small@1", FirstTokenLatency: 30, TokenInterval: 10})
		e.SetFaults(engine.Faults{CrashOn: "poison"})
	}
	a, b = env.node("node-a", "a"), env.node("node-b", "a")
	env.publish(baseTicket)
	env.advance(2 * time.Second)
	return a, b
}

// crashCount returns the total number of engine crashes.
func (env *testEnv) crashCount() int {
	count := 0
	for _, e := range env.engines {
		for _, event := range e.Events() {
			if event.Kind == engine.EventCrash {
				count++
			}
		}
	}
	return count
}

// sendPoison sends the poison request three times through each instance.
func sendPoison(env *testEnv, a, b *node) []*reply {
	var replies []*reply
	for range 3 {
		replies = append(replies, a.chat("small", "poison"))
		env.advance(2 * time.Second)
		replies = append(replies, b.chat("small", "poison"))
		env.advance(2 * time.Second)
	}
	return replies
}

// maxPoisonCrashes is the number of engines that one request may crash before it is quarantined.
const maxPoisonCrashes = 2

func TestPoisonRequest(t *testing.T) {
	runInEnv(t, "a request that crashes engines is quarantined after two crashes, and concurrent requests are not", instance.Options{}, func(env *testEnv) {
		a, b := env.startPoisonable()
		neighbours := make([]*reply, 20)
		var done sync.WaitGroup
		for i := range neighbours {
			done.Go(func() {
				neighbours[i] = []*node{a, b}[i%2].chat("small", fmt.Sprint("innocent ", i))
			})
		}
		env.advance(10 * time.Millisecond)
		replies := sendPoison(env, a, b)
		done.Wait()
		for _, r := range replies {
			So(r.outcome, ShouldEqual, claim.StateUnknown)
		}
		So(replies[len(replies)-1].code, ShouldEqual, "quarantined")
		So(env.crashCount(), ShouldBeLessThanOrEqualTo, maxPoisonCrashes)
		for i := range neighbours {
			So(neighbours[i].failure(), ShouldEqual, "")
			So(a.chat("small", fmt.Sprint("innocent ", i)).failure(), ShouldEqual, "")
		}
		c := env.node("node-c", "a")
		env.advance(3 * time.Second)
		So(c.chat("small", "poison").code, ShouldEqual, "quarantined")
	})
	unsafeVariant := instance.Options{Learner: []learning.Option{learning.WithoutQuarantine()}}
	runInEnv(t, "unsafe variant: without quarantine each retry crashes another engine", unsafeVariant, func(env *testEnv) {
		a, b := env.startPoisonable()
		sendPoison(env, a, b)
		So(env.crashCount(), ShouldBeGreaterThan, maxPoisonCrashes)
	})
}

func TestOrdersToEngines(t *testing.T) {
	for _, ignores := range []bool{false, true} {
		runInEnv(t, fmt.Sprintf("an engine with the wrong version is corrected, ignores fencing: %t", ignores), instance.Options{}, func(env *testEnv) {
			e := env.engine("engine-a", "a", engine.Config{Version: "small@1", InitialVersions: []ticket.VersionRef{"small@9"}, IgnoreFencing: ignores})
			env.node("node-a", "a")
			env.node("node-b", "a")
			env.publish(baseTicket)
			env.advance(5 * time.Second)
			So(fmt.Sprint(e.Load().LoadedVersions), ShouldEqual, "[small@1]")
			e.ApplyOrder(&endpoint.Order{Fence: 0, Versions: []ticket.VersionRef{"small@7"}})
			env.advance(5 * time.Second)
			So(fmt.Sprint(e.Load().LoadedVersions), ShouldEqual, "[small@1]")
		})
	}
}

func TestAnswersCorrectAfterKillAtEachStep(t *testing.T) {
	for _, step := range []router.Step{router.StepAdmitted, router.StepDispatched, router.StepAnswered, router.StepBilled} {
		runInEnv(t, "killed at "+string(step), instance.Options{}, func(env *testEnv) {
			a, b := env.startSmall()
			want := b.stream("small", "where is the tray").text()
			a.crashAt(step)
			aborted := a.stream("small", "where is the tray")
			So(aborted.completed(), ShouldBeFalse)
			So(b.stream("small", "where is the tray").text(), ShouldEqual, want)
		})
	}
}

// TestUnansweredCallTimesOut guards against a service that accepts a call and doesn't answer:
// the caller of an idempotent call used to wait for the service, past the request's deadline.
func TestUnansweredCallTimesOut(t *testing.T) {
	const deadline, grace = 5 * time.Second, 5 * time.Second // From baseTicket and router.callGrace.
	for _, call := range []string{"lookup", "refund"} {
		runInEnv(t, call, instance.Options{}, func(env *testEnv) {
			a, _ := env.startSmall()
			env.services["stock-a"].SetFaults(service.Faults{Delay: clock.Minute})
			began := time.Now()
			got := a.send(http.MethodPost, "/v1/services/stock/"+call, "{}")
			So(time.Since(began), ShouldBeLessThanOrEqualTo, deadline+grace)
			So(got.status, ShouldEqual, http.StatusBadGateway)
			So(got.outcome, ShouldEqual, claim.StateUnknown)
		})
	}
}
