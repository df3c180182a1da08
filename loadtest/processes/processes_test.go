package processes

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"
)

type faults map[string]any

func newKey() string {
	return uuid.Must(uuid.NewV7()).String()
}

// pair starts two instances in two zones with one engine each and a service.
func pair(t *testing.T) (s *stack, a, b *entryProcess, stock *endpointProcess) {
	s = newStack(t)
	s.engine("engine-a", "a", "-warm-after", "1", "-first-token-ms", "20", "-token-ms", "10")
	s.engine("engine-b", "b", "-warm-after", "1", "-first-token-ms", "20", "-token-ms", "10")
	stock = s.service("stock-a", "a")
	a, b = s.entry("entry-a", "a"), s.entry("entry-b", "b")
	s.ready()
	return s, a, b, stock
}

func TestKilledClaimant(t *testing.T) {
	t.Parallel()
	Convey("A refund whose instance is killed while it runs is not run again", t, func() {
		s, a, b, stock := pair(t)
		So(s.put(stock.url[len("http://"):], "/faults", faults{"delay-ms": 2000}), ShouldBeNil)
		key := newKey()
		first := make(chan *result, 1)
		go func() { first <- s.refund(a, key) }()
		s.await("the call to reach the service", func() bool {
			var load struct {
				InFlight int `json:"in-flight"`
			}
			s.get(stock.url+"/load", &load)
			return load.InFlight == 1
		})
		a.signal(syscall.SIGKILL)
		So((<-first).whole, ShouldBeFalse)
		second := s.refund(b, key)
		So(second.outcome, ShouldEqual, "unknown")
		s.await("the call to take effect", func() bool { return s.runs(stock) > 0 })
		So(s.refund(b, key).outcome, ShouldEqual, "unknown")
		So(s.runs(stock), ShouldEqual, 1)
	})
}

func TestKilledOwnerOfABill(t *testing.T) {
	t.Parallel()
	Convey("A whole answer given in a log outage is billed once although its instance was killed", t, func() {
		s, a, b, _ := pair(t)
		So(s.put(s.log, "/faults", faults{"outage": true}), ShouldBeNil)
		got := s.stream(a, "hello", 4)
		So(got.whole, ShouldBeTrue)
		a.signal(syscall.SIGKILL)
		So(s.stream(b, "while the log is down", 4).whole, ShouldBeFalse)
		So(s.put(s.log, "/faults", faults{}), ShouldBeNil)
		s.await("the bill", func() bool { return s.billed()[got.id] == 1 })
	})
}

func TestKilledMidStream(t *testing.T) {
	t.Parallel()
	Convey("A caller whose instance is killed mid-stream sees no clean end, and its retry is billed once", t, func() {
		s, a, b, _ := pair(t)
		first := make(chan *result, 1)
		go func() { first <- s.streamKeyed(a, "a long answer", 400, "one") }()
		time.Sleep(200 * time.Millisecond)
		a.signal(syscall.SIGKILL)
		So((<-first).whole, ShouldBeFalse)
		second := s.streamKeyed(b, "a long answer", 400, "one")
		So(second.whole, ShouldBeTrue)
		So(second.tokens, ShouldEqual, 400)
		So(s.billed()[second.id], ShouldEqual, 1)
	})
	Convey("An engine that is killed mid-stream is replaced within the stream", t, func() {
		s, a, _, _ := pair(t)
		first := make(chan *result, 1)
		go func() { first <- s.stream(a, "a long answer", 300) }()
		time.Sleep(200 * time.Millisecond)
		s.endpoints["engine-a"].signal(syscall.SIGKILL)
		got := <-first
		So(got.whole, ShouldBeTrue)
		So(got.tokens, ShouldEqual, 300)
	})
}

func TestTerminatedUnderLoad(t *testing.T) {
	t.Parallel()
	Convey("SIGTERM under load cuts no request, and the process ends by itself with success", t, func() {
		s, a, b, _ := pair(t)
		done := make(chan []*result, 1)
		go func() {
			done <- gather(40, func(i int) *result {
				time.Sleep(time.Duration(i) * 20 * time.Millisecond)
				return s.stream(a, fmt.Sprint("request ", i), 50)
			})
		}()
		time.Sleep(400 * time.Millisecond)
		a.signal(syscall.SIGTERM)
		So(<-a.exited, ShouldBeNil)
		billed := s.billed()
		whole := 0
		for _, r := range <-done {
			refusedAtOnce := r.status == 0 || r.outcome == "not-run"
			So(r.whole || refusedAtOnce, ShouldBeTrue)
			if r.whole {
				whole++
				So(billed[r.id], ShouldEqual, 1)
			}
		}
		So(whole, ShouldBeGreaterThan, 10)
		So(s.stream(b, "goes on", 4).whole, ShouldBeTrue)
	})
}

// Guards against a signal that ends a serving or draining process, and with it the answers under way.
func TestSignalsInSeries(t *testing.T) {
	t.Parallel()
	Convey("SIGHUP while serving, and any signal while draining, cuts no request", t, func() {
		s, a, _, _ := pair(t)
		first := make(chan *result, 1)
		go func() { first <- s.stream(a, "a long answer", 300) }()
		time.Sleep(200 * time.Millisecond)
		for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
			a.signal(signal)
			time.Sleep(20 * time.Millisecond)
		}
		got := <-first
		So(got.whole, ShouldBeTrue)
		So(got.tokens, ShouldEqual, 300)
		So(<-a.exited, ShouldBeNil)
	})
}

// engineEvent is what an engine witnessed.
type engineEvent struct {
	Kind     string `json:"kind"`
	Cold     bool   `json:"cold"`
	InFlight int    `json:"in-flight"`
}

func TestFrozenGateHolder(t *testing.T) {
	t.Parallel()
	Convey("A holder of the gate that is stopped past its lease and goes on does not overload a cold engine", t, func() {
		s := newStack(t)
		e := s.engine("engine-a", "a", "-warm-after", "10", "-bears", "1", "-first-token-ms", "20", "-token-ms", "5")
		one, two := s.entry("entry-1", "a"), s.entry("entry-2", "a")
		s.ready()
		load := func() {
			gather(6, func(i int) *result { return s.stream([]*entryProcess{one, two}[i%2], fmt.Sprint("load ", i), 4) })
		}
		go load()
		one.signal(syscall.SIGSTOP)
		const pastLease = 13 * time.Second
		time.Sleep(pastLease)
		So(s.put(e.url[len("http://"):], "/faults", faults{}), ShouldBeNil)
		go load()
		one.signal(syscall.SIGCONT)
		s.await("both instances to serve", func() bool {
			return s.stream(one, "after", 4).whole && s.stream(two, "after", 4).whole
		})
		var events []engineEvent
		s.get(e.url+"/events", &events)
		for _, event := range events {
			So(event.Kind, ShouldNotEqual, "cold-overload")
		}
	})
}

// Guards against an instance that serves nobody, and does not stop, because the reader
// of its log does not read.
func TestStuckLogReader(t *testing.T) {
	t.Parallel()
	s := newStack(t)
	e, path := s.settings("a", "a")
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	defer writer.Close()
	if err := writer.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	_, _ = writer.Write(make([]byte, 1<<20)) // It ends when the pipe is full.
	command := exec.Command(filepath.Join(binaries, "entry"), "run", "-settings", path)
	command.Stderr = writer
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan error, 1)
	go func() { exited <- command.Wait() }()
	defer func() { _ = command.Process.Kill() }() // It may be gone.
	s.await("an answer", func() bool {
		response := s.post(e, "/v1/chat/completions", "{}", "")
		if response == nil {
			return false
		}
		response.Body.Close()
		return true
	})
	_ = command.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-exited:
		if err != nil {
			t.Errorf("the process ended with %v", err)
		}
	case <-time.After(patience):
		t.Error("the process does not stop")
	}
}
