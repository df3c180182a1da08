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

// startPair starts two zones with an instance and an engine each, and a service in zone a.
func startPair(t *testing.T) (s *stack, a, b *entryProcess, stock *endpointProcess) {
	s = newStack(t)
	s.engine("engine-a", "a", "-warm-after", "1", "-first-token-ms", "20", "-token-ms", "10")
	s.engine("engine-b", "b", "-warm-after", "1", "-first-token-ms", "20", "-token-ms", "10")
	stock = s.service("stock-a", "a")
	a, b = s.entry("entry-a", "a"), s.entry("entry-b", "b")
	s.publishAndWait()
	return s, a, b, stock
}

func TestKilledClaimant(t *testing.T) {
	t.Parallel()
	Convey("A refund whose instance is killed while it runs is not run again", t, func() {
		s, a, b, stock := startPair(t)
		So(s.put(stock.url[len("http://"):], "/faults", faults{"delay-ms": 2000}), ShouldBeNil)
		key := newKey()
		first := make(chan *result, 1)
		go func() { first <- s.refund(a, key) }()
		s.waitFor("the call to reach the service", func() bool {
			var load struct {
				InFlight int `json:"in-flight"`
			}
			s.get(stock.url+"/load", &load)
			return load.InFlight == 1
		})
		a.signal(syscall.SIGKILL)
		So((<-first).completed, ShouldBeFalse)
		second := s.refund(b, key)
		So(second.outcome, ShouldEqual, "unknown")
		s.waitFor("the call to take effect", func() bool { return s.runCount(stock) > 0 })
		So(s.refund(b, key).outcome, ShouldEqual, "unknown")
		So(s.runCount(stock), ShouldEqual, 1)
	})
}

func TestKilledBillOwner(t *testing.T) {
	t.Parallel()
	Convey("A complete answer given in a log outage is billed once although its instance was killed", t, func() {
		s, a, b, _ := startPair(t)
		So(s.put(s.log, "/faults", faults{"outage": true}), ShouldBeNil)
		got := s.stream(a, "hello", 4)
		So(got.completed, ShouldBeTrue)
		a.signal(syscall.SIGKILL)
		So(s.stream(b, "while the log is down", 4).completed, ShouldBeFalse)
		So(s.put(s.log, "/faults", faults{}), ShouldBeNil)
		s.waitFor("the bill", func() bool { return s.billed()[got.id] == 1 })
	})
}

func TestKilledMidStream(t *testing.T) {
	t.Parallel()
	Convey("A caller whose instance is killed mid-stream gets no final marker, and its retry is billed once", t, func() {
		s, a, b, _ := startPair(t)
		first := make(chan *result, 1)
		go func() { first <- s.streamKeyed(a, "a long answer", 400, "one") }()
		time.Sleep(200 * time.Millisecond)
		a.signal(syscall.SIGKILL)
		So((<-first).completed, ShouldBeFalse)
		second := s.streamKeyed(b, "a long answer", 400, "one")
		So(second.completed, ShouldBeTrue)
		So(second.tokens, ShouldEqual, 400)
		So(s.billed()[second.id], ShouldEqual, 1)
	})
	Convey("A stream fails over when its engine is killed mid-stream", t, func() {
		s, a, _, _ := startPair(t)
		first := make(chan *result, 1)
		go func() { first <- s.stream(a, "a long answer", 300) }()
		time.Sleep(200 * time.Millisecond)
		s.endpoints["engine-a"].signal(syscall.SIGKILL)
		got := <-first
		So(got.completed, ShouldBeTrue)
		So(got.tokens, ShouldEqual, 300)
	})
}

func TestGracefulTermination(t *testing.T) {
	t.Parallel()
	Convey("SIGTERM under load aborts no request, and the process exits with status 0", t, func() {
		s, a, b, _ := startPair(t)
		done := make(chan []*result, 1)
		go func() {
			done <- runConcurrently(40, func(i int) *result {
				time.Sleep(time.Duration(i) * 20 * time.Millisecond)
				return s.stream(a, fmt.Sprint("request ", i), 50)
			})
		}()
		time.Sleep(400 * time.Millisecond)
		a.signal(syscall.SIGTERM)
		So(<-a.exited, ShouldBeNil)
		billed := s.billed()
		completed := 0
		for _, r := range <-done {
			refusedAtOnce := r.status == 0 || r.outcome == "not-run"
			So(r.completed || refusedAtOnce, ShouldBeTrue)
			if r.completed {
				completed++
				So(billed[r.id], ShouldEqual, 1)
			}
		}
		So(completed, ShouldBeGreaterThan, 10)
		So(s.stream(b, "goes on", 4).completed, ShouldBeTrue)
	})
}

// TestRepeatedSignals guards against a signal that ends a serving or draining process and aborts its in-flight requests.
func TestRepeatedSignals(t *testing.T) {
	t.Parallel()
	Convey("SIGHUP while serving, and any signal while draining, aborts no request", t, func() {
		s, a, _, _ := startPair(t)
		first := make(chan *result, 1)
		go func() { first <- s.stream(a, "a long answer", 300) }()
		time.Sleep(200 * time.Millisecond)
		for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
			a.signal(signal)
			time.Sleep(20 * time.Millisecond)
		}
		got := <-first
		So(got.completed, ShouldBeTrue)
		So(got.tokens, ShouldEqual, 300)
		So(<-a.exited, ShouldBeNil)
	})
}

// engineEvent is an event recorded by an engine.
type engineEvent struct {
	Kind     string `json:"kind"`
	Cold     bool   `json:"cold"`
	InFlight int    `json:"in-flight"`
}

func TestFrozenLeaseHolder(t *testing.T) {
	t.Parallel()
	Convey("A lease holder that is stopped until its lease has expired and then resumed does not overload a cold engine", t, func() {
		s := newStack(t)
		e := s.engine("engine-a", "a", "-warm-after", "10", "-bears", "1", "-first-token-ms", "20", "-token-ms", "5")
		one, two := s.entry("entry-1", "a"), s.entry("entry-2", "a")
		s.publishAndWait()
		load := func() {
			runConcurrently(6, func(i int) *result { return s.stream([]*entryProcess{one, two}[i%2], fmt.Sprint("load ", i), 4) })
		}
		go load()
		one.signal(syscall.SIGSTOP)
		const pastLease = 13 * time.Second
		time.Sleep(pastLease)
		So(s.put(e.url[len("http://"):], "/faults", faults{}), ShouldBeNil)
		go load()
		one.signal(syscall.SIGCONT)
		s.waitFor("both instances to serve", func() bool {
			return s.stream(one, "after", 4).completed && s.stream(two, "after", 4).completed
		})
		var events []engineEvent
		s.get(e.url+"/events", &events)
		for _, event := range events {
			So(event.Kind, ShouldNotEqual, "cold-overload")
		}
	})
}

// TestBlockedLogOutput guards against an instance that neither serves nor stops because its stderr
// is a full pipe that nobody reads.
func TestBlockedLogOutput(t *testing.T) {
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
	_, _ = writer.Write(make([]byte, 1<<20)) // Fills the pipe; fails at the write deadline.
	command := exec.Command(filepath.Join(binaries, "entry"), "run", "-settings", path)
	command.Stderr = writer
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan error, 1)
	go func() { exited <- command.Wait() }()
	defer func() { _ = command.Process.Kill() }() // It may have exited already.
	s.waitFor("an answer", func() bool {
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
			t.Errorf("the process exited with %v", err)
		}
	case <-time.After(waitTimeout):
		t.Error("the process does not stop")
	}
}
