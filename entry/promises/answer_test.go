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

// text returns the answer that the caller got, whole or streamed.
func (r *reply) text() string {
	if !strings.HasPrefix(r.body, "data:") {
		var whole chat.Completion
		if json.Unmarshal([]byte(r.body), &whole) != nil || len(whole.Choices) == 0 {
			return ""
		}
		return whole.Choices[0].Message.Content
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

func TestWholeAndOwnAnswers(t *testing.T) {
	tables := []struct {
		name   string
		faults engine.Faults
	}{
		{"healthy", engine.Faults{}},
		{"stream cut before the first token", engine.Faults{TruncateNext: 1, TruncateAfter: 0}},
		{"stream cut in the middle", engine.Faults{TruncateNext: 1, TruncateAfter: 4}},
		{"stream cut before the last token", engine.Faults{TruncateNext: 1, TruncateAfter: 7}},
		{"stream cut twice", engine.Faults{TruncateNext: 2, TruncateAfter: 3}},
		{"stream without end before the first token", engine.Faults{EndlessNext: 1, TruncateAfter: 0}},
		{"stream without end in the middle", engine.Faults{EndlessNext: 1, TruncateAfter: 4}},
		{"answer of another attempt", engine.Faults{MismatchNext: 1}},
		{"two answers of other attempts", engine.Faults{MismatchNext: 2}},
		{"late answer", engine.Faults{FirstTokenDelay: 3000}},
		{"refused at first", engine.Faults{RefuseNext: 3}},
	}
	for _, table := range tables {
		inWorld(t, table.name, instance.Options{}, func(w *world) {
			a, _ := w.small()
			want := a.stream("small", "where is the tray").text()
			So(strings.Fields(want), ShouldHaveLength, 8)
			w.engines["engine-a"].SetFaults(table.faults)
			got := a.stream("small", "where is the tray")
			So(got.problem(), ShouldEqual, "")
			So(got.text(), ShouldEqual, want)
			plain := a.chat("small", "where is the tray")
			So(plain.text(), ShouldEqual, want)
			w.settle(time.Minute)
			So(len(w.fold().Bills()), ShouldEqual, 3)
		})
	}
	inWorld(t, "the engine dies mid-stream and another of the version goes on", instance.Options{}, func(w *world) {
		a, _ := w.small()
		want := a.stream("small", "where is the tray").text()
		results := make(chan *reply, 1)
		go func() { results <- a.stream("small", "where is the tray") }()
		w.settle(40 * time.Millisecond)
		w.engines["engine-a"].Crash()
		got := <-results
		So(got.problem(), ShouldEqual, "")
		So(got.text(), ShouldEqual, want)
		So(len(w.engines["engine-b"].Events()), ShouldBeGreaterThan, 0)
	})
	inWorld(t, "a stream that cannot be ended is an explicit error without a final marker", instance.Options{}, func(w *world) {
		a, _ := w.small()
		w.engines["engine-a"].SetFaults(engine.Faults{TruncateNext: 1000, TruncateAfter: 3})
		w.engines["engine-b"].SetFaults(engine.Faults{TruncateNext: 1000, TruncateAfter: 3})
		got := a.stream("small", "where is the tray")
		So(got.outcome, ShouldEqual, claim.StateUnknown)
		So(got.body, ShouldNotContainSubstring, chat.Done)
		w.settle(time.Minute)
		So(w.fold().Bills(), ShouldBeEmpty)
	})
	inWorld(t, "a stream beyond the tokens asked for is an explicit error, however whole it would look elsewhere", instance.Options{}, func(w *world) {
		a, _ := w.small()
		w.engines["engine-a"].SetFaults(engine.Faults{OverrunNext: 1})
		w.engines["engine-b"].SetFaults(engine.Faults{OverrunNext: 1})
		got := a.stream("small", "where is the tray")
		So(got.outcome, ShouldEqual, claim.StateUnknown)
		So(got.body, ShouldNotContainSubstring, chat.Done)
		w.settle(time.Minute)
		So(w.fold().Bills(), ShouldBeEmpty)
	})
	inWorld(t, "answers that come at the same time are not mixed up", instance.Options{}, func(w *world) {
		a, b := w.small()
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
	inWorld(t, "a shutdown under load cuts no request and settles every bill", instance.Options{}, func(w *world) {
		a, b := w.small()
		replies := make([]*reply, 20)
		var done sync.WaitGroup
		for i := range replies {
			done.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				replies[i] = a.stream("small", fmt.Sprint("request ", i))
			})
		}
		w.settle(100 * time.Millisecond)
		So(a.Shutdown(a.ctx), ShouldBeTrue)
		So(a.Router.InFlight(), ShouldEqual, 0)
		So(a.Ledger.Unsettled(), ShouldEqual, 0)
		a.kill()
		done.Wait()
		for _, r := range replies {
			So(r.status == 200 && strings.Contains(r.body, chat.Done) || r.outcome == claim.StateNotRun, ShouldBeTrue)
		}
		So(unbilled(replies, w.fold()), ShouldBeEmpty)
		w.settle(5 * time.Second)
		So(b.Gate.HoldsLease(), ShouldBeTrue)
	})
	inWorld(t, "naive: an instance that just ends cuts its requests", instance.Options{}, func(w *world) {
		a, _ := w.small()
		results := make(chan *reply, 1)
		go func() { results <- a.stream("small", "hello") }()
		w.settle(30 * time.Millisecond)
		a.kill()
		So((<-results).whole(), ShouldBeFalse)
	})
	inWorld(t, "the balancer sees that the instance is not ready before anything is refused", instance.Options{}, func(w *world) {
		a, _ := w.small()
		stopped := make(chan bool, 1)
		go func() { stopped <- a.Shutdown(a.ctx) }()
		w.settle(100 * time.Millisecond)
		So(a.send("GET", "/readyz", "").status, ShouldEqual, 503)
		So(a.chat("small", "arrives before the balancer noticed").whole(), ShouldBeTrue)
		So(<-stopped, ShouldBeTrue)
		refused := a.chat("small", "too late")
		So(refused.code, ShouldEqual, "draining")
		So(refused.outcome, ShouldEqual, claim.StateNotRun)
	})
	inWorld(t, "a refund's answer outlives the planned stop of its instance", instance.Options{}, func(w *world) {
		a, b := w.small()
		key := w.key(1)
		a.Router.OnStep = func(step router.Step, _ claim.RequestID) {
			if step == router.StepAnswered {
				w.log.SetFaults(applog.Faults{Outage: true})
			}
		}
		first := a.refund(key, `{"order":1}`)
		stopped := make(chan bool, 1)
		go func() { stopped <- a.Shutdown(a.ctx) }()
		w.settle(3 * time.Second)
		w.log.SetFaults(applog.Faults{})
		So(<-stopped, ShouldBeTrue)
		a.kill()
		w.settle(time.Second)
		So(b.refund(key, `{"order":1}`).body, ShouldEqual, first.body)
	})
	inWorld(t, "a shutdown during an outage leaves its bills with another instance", instance.Options{}, func(w *world) {
		a, _ := w.small()
		w.cut("node-a", platformSide)
		got := a.stream("small", "hello")
		So(got.whole(), ShouldBeTrue)
		So(a.Shutdown(a.ctx), ShouldBeTrue)
		a.kill()
		w.settle(time.Minute)
		So(unbilled([]*reply{got}, w.fold()), ShouldBeEmpty)
	})
}

// poisoned starts five engines that a poison request crashes, and two instances.
func (w *world) poisoned() (a, b *node) {
	for i := range 5 {
		e := w.engine(fmt.Sprint("engine-", i), "a", engine.Config{Version: "small@1", FirstTokenLatency: 30, TokenInterval: 10})
		e.SetFaults(engine.Faults{CrashOn: "poison"})
	}
	a, b = w.node("node-a", "a"), w.node("node-b", "a")
	w.publish(baseTicket)
	w.settle(2 * time.Second)
	return a, b
}

// crashes counts the crashes of all engines.
func (w *world) crashes() int {
	count := 0
	for _, e := range w.engines {
		for _, event := range e.Events() {
			if event.Kind == engine.EventCrash {
				count++
			}
		}
	}
	return count
}

// sendPoison sends the poison request again and again through both instances.
func sendPoison(w *world, a, b *node) []*reply {
	var replies []*reply
	for range 3 {
		replies = append(replies, a.chat("small", "poison"))
		w.settle(2 * time.Second)
		replies = append(replies, b.chat("small", "poison"))
		w.settle(2 * time.Second)
	}
	return replies
}

// poisonLimit is how many engines a request may crash.
const poisonLimit = 2

func TestPoisonRequest(t *testing.T) {
	inWorld(t, "a request that crashes its engines harms two, and no neighbour is blamed", instance.Options{}, func(w *world) {
		a, b := w.poisoned()
		neighbours := make([]*reply, 20)
		var done sync.WaitGroup
		for i := range neighbours {
			done.Go(func() {
				neighbours[i] = []*node{a, b}[i%2].chat("small", fmt.Sprint("innocent ", i))
			})
		}
		w.settle(10 * time.Millisecond)
		replies := sendPoison(w, a, b)
		done.Wait()
		for _, r := range replies {
			So(r.outcome, ShouldEqual, claim.StateUnknown)
		}
		So(replies[len(replies)-1].code, ShouldEqual, "quarantined")
		So(w.crashes(), ShouldBeLessThanOrEqualTo, poisonLimit)
		for i := range neighbours {
			So(neighbours[i].problem(), ShouldEqual, "")
			So(a.chat("small", fmt.Sprint("innocent ", i)).problem(), ShouldEqual, "")
		}
		c := w.node("node-c", "a")
		w.settle(3 * time.Second)
		So(c.chat("small", "poison").code, ShouldEqual, "quarantined")
	})
	naive := instance.Options{Learner: []learning.Option{learning.WithoutQuarantine()}}
	inWorld(t, "naive: each copy of the request is tried anew", naive, func(w *world) {
		a, b := w.poisoned()
		sendPoison(w, a, b)
		So(w.crashes(), ShouldBeGreaterThan, poisonLimit)
	})
}

func TestOrdersToEngines(t *testing.T) {
	for _, ignores := range []bool{false, true} {
		inWorld(t, fmt.Sprintf("an engine with the wrong version is put right, ignores fencing: %t", ignores), instance.Options{}, func(w *world) {
			e := w.engine("engine-a", "a", engine.Config{Version: "small@1", InitialVersions: []ticket.VersionRef{"small@9"}, IgnoreFencing: ignores})
			w.node("node-a", "a")
			w.node("node-b", "a")
			w.publish(baseTicket)
			w.settle(5 * time.Second)
			So(fmt.Sprint(e.Load().LoadedVersions), ShouldEqual, "[small@1]")
			e.ApplyOrder(&endpoint.Order{Fence: 0, Versions: []ticket.VersionRef{"small@7"}})
			w.settle(5 * time.Second)
			So(fmt.Sprint(e.Load().LoadedVersions), ShouldEqual, "[small@1]")
		})
	}
}

func TestKillAtEachStepKeepsAnswersTrue(t *testing.T) {
	for _, step := range []router.Step{router.StepAdmitted, router.StepDispatched, router.StepAnswered, router.StepBilled} {
		inWorld(t, "killed at "+string(step), instance.Options{}, func(w *world) {
			a, b := w.small()
			want := b.stream("small", "where is the tray").text()
			a.dieAt(step)
			cut := a.stream("small", "where is the tray")
			So(cut.whole(), ShouldBeFalse)
			So(b.stream("small", "where is the tray").text(), ShouldEqual, want)
		})
	}
}

// TestCallWithoutEnd guards against a service that takes a call and never answers it:
// the caller of an idempotent one was held for as long, though it has a deadline.
func TestCallWithoutEnd(t *testing.T) {
	const deadline, grace = 5 * time.Second, 5 * time.Second // Those of the ticket and of the router.
	for _, call := range []string{"lookup", "refund"} {
		inWorld(t, call, instance.Options{}, func(w *world) {
			a, _ := w.small()
			w.services["stock-a"].SetFaults(service.Faults{Delay: clock.Minute})
			began := time.Now()
			got := a.send(http.MethodPost, "/v1/services/stock/"+call, "{}")
			So(time.Since(began), ShouldBeLessThanOrEqualTo, deadline+grace)
			So(got.status, ShouldEqual, http.StatusBadGateway)
			So(got.outcome, ShouldEqual, claim.StateUnknown)
		})
	}
}
