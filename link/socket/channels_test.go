package socket

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// fixture serves a handler over tracked channels on loopback.
type fixture struct {
	set    *ConnTracker
	server *http.Server
	addr   string
}

func serve(t *testing.T, wrap func(net.Listener) net.Listener, handler http.HandlerFunc) *fixture {
	t.Helper()
	return serveAfter(t, wrap, handler, func(http.ConnState) {})
}

// serveAfter also calls after behind each change of a channel's state.
func serveAfter(t *testing.T, wrap func(net.Listener) net.Listener, handler http.HandlerFunc, after func(http.ConnState)) *fixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{set: NewConnTracker(), addr: l.Addr().String()}
	f.server = &http.Server{Handler: handler, ConnState: func(conn net.Conn, state http.ConnState) {
		f.set.ConnState(conn, state)
		after(state)
	}}
	tracked := f.set.Listener(wrap(l))
	go func() { _ = f.server.Serve(tracked) }() // The test closes it.
	t.Cleanup(func() { f.server.Close() })
	return f
}

func plain(l net.Listener) net.Listener { return l }

func (f *fixture) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

func ask(t *testing.T, conn net.Conn) {
	t.Helper()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
}

// answered reads one answer and reports whether it came whole and is the handler's.
func answered(r *bufio.Reader) bool {
	response, err := http.ReadResponse(r, nil)
	if err != nil || response.StatusCode != http.StatusOK {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil
}

// gated holds what a server writes or reads until it is told to go on.
type gated struct {
	net.Listener
	writes, reads chan struct{}
}

func (g *gated) Accept() (net.Conn, error) {
	conn, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: conn, gate: g}, nil
}

type gatedConn struct {
	net.Conn
	gate *gated
}

func (c *gatedConn) Write(p []byte) (int, error) {
	if c.gate.writes != nil {
		<-c.gate.writes
	}
	return c.Conn.Write(p)
}

func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 1 && c.gate.reads != nil {
		c.gate.reads <- struct{}{} // The bytes are read.
		<-c.gate.reads
	}
	return n, err
}

// Guards against a process that ends after its handler returned but before the
// answer has left.
func TestDrainWaitsForTheFlush(t *testing.T) {
	returned := make(chan bool, 1)
	gate := &gated{writes: make(chan struct{})}
	f := serve(t, func(l net.Listener) net.Listener { gate.Listener = l; return gate }, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "whole") // It stays in the server's buffer.
		returned <- true
	})
	conn, reader := f.dial(t)
	ask(t, conn)
	<-returned
	drained := make(chan int, 1)
	go func() { drained <- f.set.Drain(context.Background()) }()
	select {
	case <-drained:
		t.Fatal("the drain is over with an answer unsent")
	case <-time.After(20 * time.Millisecond):
	}
	close(gate.writes)
	if left := <-drained; left != 0 {
		t.Errorf("%d requests left", left)
	}
	if !answered(reader) {
		t.Error("the answer is not whole")
	}
}

// Guards against a request that is read and whose channel is closed as idle.
func TestARequestThatIsReadIsTaken(t *testing.T) {
	gate := &gated{reads: make(chan struct{})}
	f := serve(t, func(l net.Listener) net.Listener { gate.Listener = l; return gate }, func(http.ResponseWriter, *http.Request) {})
	conn, reader := f.dial(t)
	ask(t, conn)
	<-gate.reads // The server has the request's bytes and does not know it yet.
	drained := make(chan int, 1)
	go func() { drained <- f.set.Drain(context.Background()) }()
	time.Sleep(firstRequest + 20*time.Millisecond)
	gate.reads <- struct{}{}
	if left := <-drained; left != 0 || !answered(reader) {
		t.Errorf("%d requests left, and no answer", left)
	}
}

// Guards against a request that has arrived on a kept channel and is cut unread.
func TestDrainTakesWhatHasArrived(t *testing.T) {
	f := serve(t, plain, func(http.ResponseWriter, *http.Request) {})
	conn, reader := f.dial(t)
	ask(t, conn)
	if !answered(reader) {
		t.Fatal("no answer")
	}
	for f.set.ActiveConns() > 0 {
		time.Sleep(time.Millisecond)
	}
	f.set.mu.Lock() // Whoever reads now waits for the drain.
	ask(t, conn)
	time.Sleep(20 * time.Millisecond)
	drained := make(chan int, 1)
	go func() { drained <- f.set.Drain(context.Background()) }()
	f.set.mu.Unlock()
	if left := <-drained; left != 0 || !answered(reader) {
		t.Errorf("%d requests left, and no answer", left)
	}
}

// sleepy has readers that wake up late.
type sleepy struct {
	net.Listener
	read          atomic.Bool
	asleep, awake chan struct{}
}

func (l *sleepy) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &sleepyConn{TCPConn: conn.(*net.TCPConn), set: l}, nil
}

type sleepyConn struct {
	*net.TCPConn
	set *sleepy
}

// Read ends, the first time, with its deadline once it is told to, whatever has arrived.
func (c *sleepyConn) Read(p []byte) (int, error) {
	if c.set.read.Swap(true) {
		return c.TCPConn.Read(p)
	}
	c.set.asleep <- struct{}{}
	<-c.set.awake
	return 0, os.ErrDeadlineExceeded
}

// Guards against a request that has arrived by the time that its channel's reader is
// awake and is cut all the same, and against a drain that is over before.
func TestDrainTakesWhatArrivesBeforeTheReaderIsAwake(t *testing.T) {
	l := &sleepy{asleep: make(chan struct{}), awake: make(chan struct{})}
	f := serve(t, func(in net.Listener) net.Listener { l.Listener = in; return l }, func(http.ResponseWriter, *http.Request) {})
	conn, reader := f.dial(t)
	<-l.asleep
	drained := make(chan int, 1)
	go func() { drained <- f.set.Drain(context.Background()) }()
	time.Sleep(firstRequest + 50*time.Millisecond) // The reader is woken.
	ask(t, conn)
	time.Sleep(20 * time.Millisecond)
	select {
	case <-drained:
		t.Error("the drain is over while a reader decides")
	default:
	}
	close(l.awake)
	if !answered(reader) {
		t.Error("no answer")
	}
}

// Guards against a drain that is over before a new channel could send its request.
func TestDrainWaitsForANewChannelsRequest(t *testing.T) {
	for !drainWithANewChannel(t) {
		t.Log("the machine stood still until the request was too late")
	}
}

// drainWithANewChannel has a new channel send its request during a drain, and checks
// the answer; it returns false if the request was sent too late to be waited for.
func drainWithANewChannel(t *testing.T) bool {
	accepted := make(chan struct{})
	f := serveAfter(t, plain, func(http.ResponseWriter, *http.Request) {}, func(state http.ConnState) {
		if state == http.StateNew {
			close(accepted)
		}
	})
	conn, reader := f.dial(t)
	<-accepted
	drained := make(chan int, 1)
	began := time.Now()
	go func() { drained <- f.set.Drain(context.Background()) }()
	time.Sleep(firstRequest / 3)
	over := false
	select {
	case <-drained:
		over = true
	default:
	}
	ask(t, conn)
	if time.Since(began) >= firstRequest {
		return false
	}
	if over {
		t.Error("the drain is over while a request may come")
	}
	if !answered(reader) {
		t.Error("no answer")
	}
	return true
}

// Guards against a drain that waits for an idle channel whose reader the server puts
// to sleep just after the drain woke it.
func TestDrainIsNotPutToSleep(t *testing.T) {
	idle, on := make(chan struct{}), make(chan struct{})
	f := serveAfter(t, plain, func(http.ResponseWriter, *http.Request) {}, func(state http.ConnState) {
		if state == http.StateIdle {
			close(idle)
			<-on
		}
	})
	conn, reader := f.dial(t)
	ask(t, conn)
	if !answered(reader) {
		t.Fatal("no answer")
	}
	<-idle
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	drained := make(chan int, 1)
	go func() { drained <- f.set.Drain(ctx) }()
	time.Sleep(20 * time.Millisecond) // The channel's reader is woken.
	close(on)
	<-drained
	if ctx.Err() != nil {
		t.Error("the drain took all its time")
	}
}

// Guards against a request that is cut because only a part of its head was in when
// the drain began; http.Server.Shutdown does that on new and on kept channels.
func TestDrainTakesAHeadInParts(t *testing.T) {
	for _, kept := range []bool{false, true} {
		f := serve(t, plain, func(http.ResponseWriter, *http.Request) {})
		conn, reader := f.dial(t)
		if kept {
			ask(t, conn)
			if !answered(reader) {
				t.Fatal("no answer")
			}
			for f.set.ActiveConns() > 0 {
				time.Sleep(time.Millisecond)
			}
		}
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHo"); err != nil {
			t.Fatal(err)
		}
		for f.set.ActiveConns() == 0 {
			time.Sleep(time.Millisecond)
		}
		drained := make(chan int, 1)
		go func() { drained <- f.set.Drain(context.Background()) }()
		time.Sleep(20 * time.Millisecond)
		if _, err := io.WriteString(conn, "st: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if !answered(reader) {
			t.Errorf("no answer, kept %v", kept)
		}
		if left := <-drained; left != 0 {
			t.Errorf("%d requests left", left)
		}
	}
}

// Guards against a request that is cut while it is handled because its bytes came
// with those of the request before.
func TestDrainSeesARequestThatIsBuffered(t *testing.T) {
	hold, entered := make(chan struct{}), make(chan struct{})
	f := serve(t, plain, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/two" {
			close(entered)
			select {
			case <-hold:
			case <-r.Context().Done():
			}
		}
	})
	conn, reader := f.dial(t)
	if _, err := io.WriteString(conn, "GET /one HTTP/1.1\r\nHost: h\r\n\r\nGET /two HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil || !answered(reader) {
		t.Fatal("no answer", err)
	}
	<-entered
	drained := make(chan int, 1)
	go func() { drained <- f.set.Drain(context.Background()) }()
	select {
	case <-drained:
		t.Error("the drain is over while a request is handled")
	case <-time.After(20 * time.Millisecond):
	}
	close(hold)
	if !answered(reader) {
		t.Error("no answer")
	}
}

// Guards against a read deadline of the drain that stays on a channel whose request
// was taken: the server would answer 400, or close it.
func TestDrainLeavesNoDeadline(t *testing.T) {
	rows := []struct{ name, first, rest string }{
		{"head in parts", "GET / HTTP/1.1\r\nHo", "st: h\r\n\r\n"},
		{"long head", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 5000) + "\r\n\r\n", ""},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			gate := &gated{reads: make(chan struct{})}
			f := serve(t, func(l net.Listener) net.Listener { gate.Listener = l; return gate }, func(http.ResponseWriter, *http.Request) {})
			conn, reader := f.dial(t)
			if _, err := io.WriteString(conn, row.first); err != nil {
				t.Fatal(err)
			}
			<-gate.reads // The first bytes are read as the drain gives new channels up.
			drained := make(chan int, 1)
			go func() { drained <- f.set.Drain(context.Background()) }()
			time.Sleep(firstRequest + 20*time.Millisecond)
			gate.reads <- struct{}{}
			go func() {
				for range gate.reads {
					gate.reads <- struct{}{}
				}
			}()
			time.Sleep(20 * time.Millisecond)
			if _, err := io.WriteString(conn, row.rest); err != nil {
				t.Fatal(err)
			}
			if !answered(reader) {
				t.Error("the request is not answered")
			}
			if left := <-drained; left != 0 {
				t.Errorf("%d requests left", left)
			}
		})
	}
}

// lateAccept holds accepted channels back.
type lateAccept struct {
	net.Listener
	got, on chan struct{}
}

func (l *lateAccept) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.got <- struct{}{}
		<-l.on
	}
	return conn, err
}

// Guards against a drain that waits all its time for a channel that was accepted late.
func TestDrainEndsLateChannels(t *testing.T) {
	l := &lateAccept{got: make(chan struct{}), on: make(chan struct{})}
	hold := make(chan struct{})
	f := serve(t, func(in net.Listener) net.Listener { l.Listener = in; return l }, func(http.ResponseWriter, *http.Request) { <-hold })
	busy, _ := f.dial(t)
	<-l.got
	l.on <- struct{}{}
	ask(t, busy)
	for f.set.ActiveConns() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.dial(t)
	<-l.got
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	drained := make(chan int, 1)
	go func() { drained <- f.set.Drain(ctx) }()
	for late := false; !late; time.Sleep(time.Millisecond) {
		f.set.mu.Lock()
		late = f.set.late
		f.set.mu.Unlock()
	}
	l.on <- struct{}{}
	close(hold)
	<-drained
	if ctx.Err() != nil {
		t.Error("the drain took all its time")
	}
}

// Guards against channels that are reset while their answer is under way, since the
// server cannot end its own direction first.
func TestChannelsEndTheirDirection(t *testing.T) {
	f := serve(t, plain, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(http.MaxBytesReader(w, r.Body, 10)) // It is too large.
	})
	conn, reader := f.dial(t)
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 5000)); err != nil {
		t.Fatal(err)
	}
	if !answered(reader) {
		t.Error("no answer")
	}
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("the channel ends with %v", err)
	}
}

func TestDrain(t *testing.T) {
	hold, entered := make(chan struct{}), make(chan struct{})
	f := serve(t, plain, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/" {
			close(entered)
			<-hold
		}
	})
	idle, idleReader := f.dial(t)
	if _, err := io.WriteString(idle, "GET /quick HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil || !answered(idleReader) {
		t.Fatal("no answer", err)
	}
	busy, busyReader := f.dial(t)
	ask(t, busy)
	<-entered
	for f.set.ActiveConns() > 1 {
		time.Sleep(time.Millisecond) // The answer is here, the server is about to know.
	}
	short, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	drained := make(chan int, 1)
	go func() { drained <- f.set.Drain(short) }()
	if _, err := idleReader.ReadByte(); err != io.EOF {
		t.Errorf("the idle channel ends with %v", err)
	}
	if _, err := net.Dial("tcp", f.addr); err == nil {
		t.Error("a new channel was taken")
	}
	if left := <-drained; left != 1 {
		t.Errorf("%d requests left, want the one under way", left)
	}
	close(hold)
	if !answered(busyReader) {
		t.Error("the answer under way is not whole")
	}
	if _, err := busyReader.ReadByte(); err != io.EOF {
		t.Errorf("the channel goes on after its answer: %v", err)
	}
}
