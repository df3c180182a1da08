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

// fixture serves a handler over tracked connections on loopback.
type fixture struct {
	tracker *ConnTracker
	server  *http.Server
	addr    string
}

func serve(t *testing.T, wrap func(net.Listener) net.Listener, handler http.HandlerFunc) *fixture {
	t.Helper()
	return serveWithHook(t, wrap, handler, func(http.ConnState) {})
}

// serveWithHook also calls hook after each change of a connection's state.
func serveWithHook(t *testing.T, wrap func(net.Listener) net.Listener, handler http.HandlerFunc, hook func(http.ConnState)) *fixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{tracker: NewConnTracker(), addr: l.Addr().String()}
	f.server = &http.Server{Handler: handler, ConnState: func(conn net.Conn, state http.ConnState) {
		f.tracker.ConnState(conn, state)
		hook(state)
	}}
	tracked := f.tracker.Listener(wrap(l))
	go func() { _ = f.server.Serve(tracked) }() // Closed by the cleanup.
	t.Cleanup(func() { f.server.Close() })
	return f
}

func unwrapped(l net.Listener) net.Listener { return l }

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

func sendRequest(t *testing.T, conn net.Conn) {
	t.Helper()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
}

// readResponse reads one response and reports whether it is complete and has status 200.
func readResponse(r *bufio.Reader) bool {
	response, err := http.ReadResponse(r, nil)
	if err != nil || response.StatusCode != http.StatusOK {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil
}

// gatedListener has connections that block before a write, or after a read of more than
// one byte, until the test releases them through writes or reads; nil doesn't block.
type gatedListener struct {
	net.Listener
	writes, reads chan struct{}
}

func (l *gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: conn, listener: l}, nil
}

type gatedConn struct {
	net.Conn
	listener *gatedListener
}

func (c *gatedConn) Write(p []byte) (int, error) {
	if c.listener.writes != nil {
		<-c.listener.writes
	}
	return c.Conn.Write(p)
}

func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 1 && c.listener.reads != nil {
		c.listener.reads <- struct{}{} // The data was read, but Read has not returned.
		<-c.listener.reads
	}
	return n, err
}

// TestDrainWaitsForFlush guards against a process that exits after its handler returned
// but before the response was sent.
func TestDrainWaitsForFlush(t *testing.T) {
	returned := make(chan bool, 1)
	gated := &gatedListener{writes: make(chan struct{})}
	f := serve(t, func(l net.Listener) net.Listener { gated.Listener = l; return gated }, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "whole") // Stays in the server's buffer until the handler returns.
		returned <- true
	})
	conn, reader := f.dial(t)
	sendRequest(t, conn)
	<-returned
	drained := make(chan int, 1)
	go func() { drained <- f.tracker.Drain(context.Background()) }()
	select {
	case <-drained:
		t.Fatal("Drain returned before the response was sent")
	case <-time.After(20 * time.Millisecond):
	}
	close(gated.writes)
	if left := <-drained; left != 0 {
		t.Errorf("%d requests left", left)
	}
	if !readResponse(reader) {
		t.Error("the response is incomplete")
	}
}

// TestDrainServesRequestAlreadyRead guards against a connection that is closed as idle
// although its request was already read.
func TestDrainServesRequestAlreadyRead(t *testing.T) {
	gated := &gatedListener{reads: make(chan struct{})}
	f := serve(t, func(l net.Listener) net.Listener { gated.Listener = l; return gated }, func(http.ResponseWriter, *http.Request) {})
	conn, reader := f.dial(t)
	sendRequest(t, conn)
	<-gated.reads // The request was read from the socket, but Read has not returned.
	drained := make(chan int, 1)
	go func() { drained <- f.tracker.Drain(context.Background()) }()
	time.Sleep(firstRequestTimeout + 20*time.Millisecond)
	gated.reads <- struct{}{}
	if left := <-drained; left != 0 || !readResponse(reader) {
		t.Errorf("%d requests left, or no response", left)
	}
}

// TestDrainServesUnreadRequest guards against a keep-alive connection that is closed
// although a request has arrived and was not read yet.
func TestDrainServesUnreadRequest(t *testing.T) {
	f := serve(t, unwrapped, func(http.ResponseWriter, *http.Request) {})
	conn, reader := f.dial(t)
	sendRequest(t, conn)
	if !readResponse(reader) {
		t.Fatal("no response")
	}
	for f.tracker.ActiveConns() > 0 {
		time.Sleep(time.Millisecond)
	}
	f.tracker.mu.Lock() // Blocks the server's reader until the drain has started.
	sendRequest(t, conn)
	time.Sleep(20 * time.Millisecond)
	drained := make(chan int, 1)
	go func() { drained <- f.tracker.Drain(context.Background()) }()
	f.tracker.mu.Unlock()
	if left := <-drained; left != 0 || !readResponse(reader) {
		t.Errorf("%d requests left, or no response", left)
	}
}

// delayedListener has connections whose first read times out with a delay.
type delayedListener struct {
	net.Listener
	firstReadDone   atomic.Bool
	reading, resume chan struct{}
}

func (l *delayedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &delayedConn{TCPConn: conn.(*net.TCPConn), listener: l}, nil
}

type delayedConn struct {
	*net.TCPConn
	listener *delayedListener
}

// Read returns a deadline error the first time, when the test allows it and even if data
// has arrived; later reads are normal.
func (c *delayedConn) Read(p []byte) (int, error) {
	if c.listener.firstReadDone.Swap(true) {
		return c.TCPConn.Read(p)
	}
	c.listener.reading <- struct{}{}
	<-c.listener.resume
	return 0, os.ErrDeadlineExceeded
}

// TestDrainServesRequestArrivingBeforeReaderResumes guards against a connection that is
// closed although a request arrived before its interrupted reader resumed, and against a
// drain that returns before that.
func TestDrainServesRequestArrivingBeforeReaderResumes(t *testing.T) {
	l := &delayedListener{reading: make(chan struct{}), resume: make(chan struct{})}
	f := serve(t, func(in net.Listener) net.Listener { l.Listener = in; return l }, func(http.ResponseWriter, *http.Request) {})
	conn, reader := f.dial(t)
	<-l.reading
	drained := make(chan int, 1)
	go func() { drained <- f.tracker.Drain(context.Background()) }()
	time.Sleep(firstRequestTimeout + 50*time.Millisecond) // The reader is interrupted now.
	sendRequest(t, conn)
	time.Sleep(20 * time.Millisecond)
	select {
	case <-drained:
		t.Error("Drain returned while a reader was interrupted")
	default:
	}
	close(l.resume)
	if !readResponse(reader) {
		t.Error("no response")
	}
}

// TestDrainWaitsForFirstRequestOfNewConn guards against a drain that returns before a new
// connection could send its request. The check is repeated if the host was too slow.
func TestDrainWaitsForFirstRequestOfNewConn(t *testing.T) {
	for !drainWithNewConn(t) {
		t.Log("the host was too slow: the request was sent after the timeout")
	}
}

// drainWithNewConn sends the first request of a new connection during a drain and checks
// the response; it returns false if the request was sent after the timeout.
func drainWithNewConn(t *testing.T) bool {
	accepted := make(chan struct{})
	f := serveWithHook(t, unwrapped, func(http.ResponseWriter, *http.Request) {}, func(state http.ConnState) {
		if state == http.StateNew {
			close(accepted)
		}
	})
	conn, reader := f.dial(t)
	<-accepted
	drained := make(chan int, 1)
	start := time.Now()
	go func() { drained <- f.tracker.Drain(context.Background()) }()
	time.Sleep(firstRequestTimeout / 3)
	returned := false
	select {
	case <-drained:
		returned = true
	default:
	}
	sendRequest(t, conn)
	if time.Since(start) >= firstRequestTimeout {
		return false
	}
	if returned {
		t.Error("Drain returned while a request was expected")
	}
	if !readResponse(reader) {
		t.Error("no response")
	}
	return true
}

// TestDrainInterruptSurvivesServerReadDeadline guards against a drain that waits for an
// idle connection because the server reset the read deadline right after the drain had
// interrupted the read.
func TestDrainInterruptSurvivesServerReadDeadline(t *testing.T) {
	idle, resume := make(chan struct{}), make(chan struct{})
	f := serveWithHook(t, unwrapped, func(http.ResponseWriter, *http.Request) {}, func(state http.ConnState) {
		if state == http.StateIdle {
			close(idle)
			<-resume
		}
	})
	conn, reader := f.dial(t)
	sendRequest(t, conn)
	if !readResponse(reader) {
		t.Fatal("no response")
	}
	<-idle
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	drained := make(chan int, 1)
	go func() { drained <- f.tracker.Drain(ctx) }()
	time.Sleep(20 * time.Millisecond) // The connection's reader is interrupted now.
	close(resume)
	<-drained
	if ctx.Err() != nil {
		t.Error("the drain took all its time")
	}
}

// TestDrainServesPartialHeader guards against a request that is dropped because only part
// of its header had arrived when the drain started; http.Server.Shutdown does that on new
// and on keep-alive connections.
func TestDrainServesPartialHeader(t *testing.T) {
	for _, keepAlive := range []bool{false, true} {
		f := serve(t, unwrapped, func(http.ResponseWriter, *http.Request) {})
		conn, reader := f.dial(t)
		if keepAlive {
			sendRequest(t, conn)
			if !readResponse(reader) {
				t.Fatal("no response")
			}
			for f.tracker.ActiveConns() > 0 {
				time.Sleep(time.Millisecond)
			}
		}
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHo"); err != nil {
			t.Fatal(err)
		}
		for f.tracker.ActiveConns() == 0 {
			time.Sleep(time.Millisecond)
		}
		drained := make(chan int, 1)
		go func() { drained <- f.tracker.Drain(context.Background()) }()
		time.Sleep(20 * time.Millisecond)
		if _, err := io.WriteString(conn, "st: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if !readResponse(reader) {
			t.Errorf("no response, keep-alive %v", keepAlive)
		}
		if left := <-drained; left != 0 {
			t.Errorf("%d requests left", left)
		}
	}
}

// TestDrainServesPipelinedRequest guards against a request that is aborted in its handler
// because its data arrived together with the previous request.
func TestDrainServesPipelinedRequest(t *testing.T) {
	release, entered := make(chan struct{}), make(chan struct{})
	f := serve(t, unwrapped, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/two" {
			close(entered)
			select {
			case <-release:
			case <-r.Context().Done():
			}
		}
	})
	conn, reader := f.dial(t)
	if _, err := io.WriteString(conn, "GET /one HTTP/1.1\r\nHost: h\r\n\r\nGET /two HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil || !readResponse(reader) {
		t.Fatal("no response", err)
	}
	<-entered
	drained := make(chan int, 1)
	go func() { drained <- f.tracker.Drain(context.Background()) }()
	select {
	case <-drained:
		t.Error("Drain returned while a request was in its handler")
	case <-time.After(20 * time.Millisecond):
	}
	close(release)
	if !readResponse(reader) {
		t.Error("no response")
	}
}

// TestDrainClearsReadDeadline guards against a read deadline of the drain that stays on a
// connection whose request is served: the server would respond with 400 or close it.
func TestDrainClearsReadDeadline(t *testing.T) {
	rows := []struct{ name, first, rest string }{
		{"header in parts", "GET / HTTP/1.1\r\nHo", "st: h\r\n\r\n"},
		{"long header", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 5000) + "\r\n\r\n", ""},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			gated := &gatedListener{reads: make(chan struct{})}
			f := serve(t, func(l net.Listener) net.Listener { gated.Listener = l; return gated }, func(http.ResponseWriter, *http.Request) {})
			conn, reader := f.dial(t)
			if _, err := io.WriteString(conn, row.first); err != nil {
				t.Fatal(err)
			}
			<-gated.reads // The first bytes are read when the drain stops waiting for new connections.
			drained := make(chan int, 1)
			go func() { drained <- f.tracker.Drain(context.Background()) }()
			time.Sleep(firstRequestTimeout + 20*time.Millisecond)
			gated.reads <- struct{}{}
			go func() {
				for range gated.reads {
					gated.reads <- struct{}{}
				}
			}()
			time.Sleep(20 * time.Millisecond)
			if _, err := io.WriteString(conn, row.rest); err != nil {
				t.Fatal(err)
			}
			if !readResponse(reader) {
				t.Error("no response")
			}
			if left := <-drained; left != 0 {
				t.Errorf("%d requests left", left)
			}
		})
	}
}

// delayedAcceptListener delays the return of Accept.
type delayedAcceptListener struct {
	net.Listener
	accepted, resume chan struct{}
}

func (l *delayedAcceptListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- struct{}{}
		<-l.resume
	}
	return conn, err
}

// TestDrainClosesConnsAcceptedLate guards against a drain that runs into its timeout
// because of a connection that was accepted late.
func TestDrainClosesConnsAcceptedLate(t *testing.T) {
	l := &delayedAcceptListener{accepted: make(chan struct{}), resume: make(chan struct{})}
	release := make(chan struct{})
	f := serve(t, func(in net.Listener) net.Listener { l.Listener = in; return l }, func(http.ResponseWriter, *http.Request) { <-release })
	busy, _ := f.dial(t)
	<-l.accepted
	l.resume <- struct{}{}
	sendRequest(t, busy)
	for f.tracker.ActiveConns() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.dial(t)
	<-l.accepted
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	drained := make(chan int, 1)
	go func() { drained <- f.tracker.Drain(ctx) }()
	for timedOut := false; !timedOut; time.Sleep(time.Millisecond) {
		f.tracker.mu.Lock()
		timedOut = f.tracker.firstRequestTimedOut
		f.tracker.mu.Unlock()
	}
	l.resume <- struct{}{}
	close(release)
	<-drained
	if ctx.Err() != nil {
		t.Error("the drain took all its time")
	}
}

// TestTrackedConnClosesWrite guards against connections that are reset while their
// response is in flight because the server cannot close its write side first.
func TestTrackedConnClosesWrite(t *testing.T) {
	f := serve(t, unwrapped, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(http.MaxBytesReader(w, r.Body, 10)) // The body is too large.
	})
	conn, reader := f.dial(t)
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 5000)); err != nil {
		t.Fatal(err)
	}
	if !readResponse(reader) {
		t.Error("no response")
	}
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("the connection ended with %v, want EOF", err)
	}
}

func TestDrain(t *testing.T) {
	release, entered := make(chan struct{}), make(chan struct{})
	f := serve(t, unwrapped, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/" {
			close(entered)
			<-release
		}
	})
	idle, idleReader := f.dial(t)
	if _, err := io.WriteString(idle, "GET /quick HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil || !readResponse(idleReader) {
		t.Fatal("no response", err)
	}
	busy, busyReader := f.dial(t)
	sendRequest(t, busy)
	<-entered
	for f.tracker.ActiveConns() > 1 {
		time.Sleep(time.Millisecond) // The response was received, but the server hasn't marked the connection idle.
	}
	short, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	drained := make(chan int, 1)
	go func() { drained <- f.tracker.Drain(short) }()
	if _, err := idleReader.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection ended with %v, want EOF", err)
	}
	if _, err := net.Dial("tcp", f.addr); err == nil {
		t.Error("a new connection was accepted")
	}
	if left := <-drained; left != 1 {
		t.Errorf("%d requests left, want the one in flight", left)
	}
	close(release)
	if !readResponse(busyReader) {
		t.Error("the response in flight is incomplete")
	}
	if _, err := busyReader.ReadByte(); err != io.EOF {
		t.Errorf("the connection stays open after its response: %v", err)
	}
}
