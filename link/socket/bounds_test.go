package socket

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"foxtailbridge/policy/budget"
	"foxtailbridge/policy/clock"
)

// serveBounded serves a handler over connections with limits.
func serveBounded(t *testing.T, limits budget.Limits, handler http.HandlerFunc) *fixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{tracker: NewConnTracker(), addr: l.Addr().String()}
	f.tracker.SetBounds(Bounds{Budget: budget.New(limits), Now: clock.New().Mono})
	f.server = &http.Server{Handler: handler, ConnState: f.tracker.ConnState, ConnContext: ConnContext}
	tracked := f.tracker.Listener(l)
	go func() { _ = f.server.Serve(tracked) }() // Closed by the cleanup.
	t.Cleanup(func() { f.server.Close() })
	return f
}

// await waits until the usage fulfils a condition.
func (f *fixture) await(t *testing.T, what string, condition func(budget.Usage) bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		usage, closes := f.tracker.Usage()
		if condition(usage) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: usage %+v, closed %v", what, usage, closes)
		}
	}
}

// awaitIdle waits until one connection is idle.
func (f *fixture) awaitIdle(t *testing.T) {
	t.Helper()
	f.await(t, "idle", func(budget.Usage) bool {
		f.tracker.mu.Lock()
		defer f.tracker.mu.Unlock()
		return f.tracker.counts[phaseIdle] == 1
	})
}

// isClosed reports whether the server closes the connection.
func isClosed(r *bufio.Reader) bool {
	_, err := r.ReadByte()
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// TestConnectionBound guards against connections that use up all descriptors: at the bound the
// server accepts none, so that ordinary callers aren't served.
func TestConnectionBound(t *testing.T) {
	release := make(chan struct{})
	f := serveBounded(t, budget.Limits{Connections: 3}, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			RequestBudgetOf(r.Context()).Forward()
			<-release
		}
	})
	forwarded, forwardedReader := f.dial(t)
	if _, err := io.WriteString(forwarded, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	f.await(t, "forwarded", func(u budget.Usage) bool { return u.Forwarded == 1 })
	_, silentReader := f.dial(t)
	f.await(t, "two connections", func(u budget.Usage) bool { return u.Connections == 2 })
	idle, idleReader := f.dial(t)
	sendRequest(t, idle)
	if !readResponse(idleReader) {
		t.Fatal("no response on the third connection")
	}
	f.awaitIdle(t)
	second, _ := f.dial(t)
	if !isClosed(idleReader) {
		t.Error("the idle connection was not closed")
	}
	if _, err := io.WriteString(second, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	f.await(t, "second forwarded", func(u budget.Usage) bool { return u.Forwarded == 2 })
	third, thirdReader := f.dial(t)
	if !isClosed(silentReader) {
		t.Error("the connection that had sent nothing was not closed")
	}
	sendRequest(t, third)
	if !readResponse(thirdReader) {
		t.Error("no response on a new connection")
	}
	close(release)
	if !readResponse(forwardedReader) {
		t.Error("a forwarded request has no response")
	}
}

// TestNoRoomForConnection guards against closing a forwarded request's connection in favour of a
// new one. The new one gets a refusal.
func TestNoRoomForConnection(t *testing.T) {
	release := make(chan struct{})
	f := serveBounded(t, budget.Limits{Connections: 1}, func(_ http.ResponseWriter, r *http.Request) {
		RequestBudgetOf(r.Context()).Forward()
		<-release
	})
	forwarded, forwardedReader := f.dial(t)
	sendRequest(t, forwarded)
	f.await(t, "forwarded", func(u budget.Usage) bool { return u.Forwarded == 1 })
	_, reader := f.dial(t)
	response, err := http.ReadResponse(reader, nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || !response.Close {
		t.Errorf("response %+v, error %v", response, err)
	}
	close(release)
	if !readResponse(forwardedReader) {
		t.Error("the forwarded request has no response")
	}
}

// TestHeaderReservation guards against headers of many short fields, which take many times their
// size in memory once they are parsed.
func TestHeaderReservation(t *testing.T) {
	f := serveBounded(t, budget.Limits{Bytes: 1 << 20}, func(http.ResponseWriter, *http.Request) {})
	rows := []struct {
		name   string
		fields int
		status int
	}{
		{"more fields than fit", 4000, http.StatusServiceUnavailable},
		{"fields that fit", 1000, http.StatusOK},
	}
	for _, row := range rows {
		conn, reader := f.dial(t)
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:b\r\n", row.fields)+"\r\n"); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != row.status {
			t.Errorf("%s: response %+v, error %v, want %d", row.name, response, err, row.status)
		}
		conn.Close()
	}
	f.await(t, "everything released", func(u budget.Usage) bool { return u == budget.Usage{} })
}

// TestPipelinedHeader guards against the headers of pipelined requests, which are in the server's
// buffer and need no further read, being parsed without a reservation.
func TestPipelinedHeader(t *testing.T) {
	var reserved []budget.Bytes
	var f *fixture
	f = serveBounded(t, budget.Limits{Bytes: 4 << 20}, func(http.ResponseWriter, *http.Request) {
		usage, _ := f.tracker.Usage()
		reserved = append(reserved, usage.Bytes)
	})
	conn, reader := f.dial(t)
	if _, err := io.WriteString(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:b\r\n", 200)+"\r\n", 2)); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if !readResponse(reader) {
			t.Fatal("no response")
		}
	}
	for i, n := range reserved {
		if n < 200*headLineBytes {
			t.Errorf("request %d: %d bytes are reserved", i, n)
		}
	}
}

// TestEvictedBody guards against a body that stops short and keeps its memory: the read must end
// so that the handler can answer, and the memory is free for another request.
func TestEvictedBody(t *testing.T) {
	const size = 60 << 10
	f := serveBounded(t, budget.Limits{Bytes: 120 << 10}, func(w http.ResponseWriter, r *http.Request) {
		memory := RequestBudgetOf(r.Context())
		if !memory.Reserve(size) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		memory.BeginBody()
		_, err := io.Copy(io.Discard, r.Body)
		memory.EndBody()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			w.WriteHeader(http.StatusRequestTimeout)
		}
	})
	stalled, stalledReader := f.dial(t)
	if _, err := io.WriteString(stalled, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n12345"); err != nil {
		t.Fatal(err)
	}
	f.await(t, "the body is read", func(u budget.Usage) bool { return u.Bytes > size })
	time.Sleep(1100 * time.Millisecond) // The time without progress after which it may be evicted.
	conn, reader := f.dial(t)
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n1234567890"); err != nil {
		t.Fatal(err)
	}
	if !readResponse(reader) {
		t.Error("the second request is not served")
	}
	response, err := http.ReadResponse(stalledReader, nil)
	if err != nil || response.StatusCode != http.StatusRequestTimeout {
		t.Errorf("response %+v, error %v to the body that stopped", response, err)
	}
	if _, closes := f.tracker.Usage(); closes[CloseSending] != 1 {
		t.Errorf("closed: %v", closes)
	}
}

// TestRefusalArrives guards against a refusal that the client can't read, because closing a
// connection with unread data resets it.
func TestRefusalArrives(t *testing.T) {
	f := serveBounded(t, budget.Limits{Bytes: 1 << 20}, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		RequestBudgetOf(r.Context()).StopReading()
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	conn, reader := f.dial(t)
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n"+strings.Repeat("b", 50000)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	response, err := http.ReadResponse(reader, nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("response %+v, error %v", response, err)
	}
	f.await(t, "the connection is closed", func(u budget.Usage) bool { return u == budget.Usage{} })
}

// TestPanicReleases guards against a handler that panics and keeps its reservation.
func TestPanicReleases(t *testing.T) {
	f := serveBounded(t, budget.Limits{Bytes: 1 << 20, Responses: 1 << 20}, func(_ http.ResponseWriter, r *http.Request) {
		memory := RequestBudgetOf(r.Context())
		if !memory.Reserve(1000) || !memory.Forward() || !memory.ReserveResponse(r.Context(), 1000) {
			t.Error("no room")
		}
		panic(http.ErrAbortHandler)
	})
	conn, reader := f.dial(t)
	sendRequest(t, conn)
	if !isClosed(reader) {
		t.Error("the connection is open")
	}
	f.await(t, "everything released", func(u budget.Usage) bool { return u == budget.Usage{} })
}

// TestResponseWaits guards against responses that fail although others are about to release their
// memory, and against requests that are forwarded although responses have no room.
func TestResponseWaits(t *testing.T) {
	const share = 100 << 10
	proceed := make(chan struct{})
	results := make(chan string, 3)
	f := serveBounded(t, budget.Limits{Responses: share}, func(w http.ResponseWriter, r *http.Request) {
		memory := RequestBudgetOf(r.Context())
		if !memory.Forward() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		wait := 10 * time.Second
		if r.URL.Path == "/short" {
			wait = time.Millisecond
		}
		ctx, cancel := context.WithTimeout(r.Context(), wait)
		defer cancel()
		results <- fmt.Sprint(r.URL.Path, " ", memory.ReserveResponse(ctx, share))
		if r.URL.Path == "/first" {
			<-proceed
		}
	})
	var readers []*bufio.Reader
	send := func(path string) {
		conn, reader := f.dial(t)
		readers = append(readers, reader)
		if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	for i, path := range []string{"/first", "/short", "/second"} {
		send(path)
		if i < 2 {
			want := fmt.Sprint(path, " ", i == 0)
			if got := <-results; got != want {
				t.Fatalf("%q, want %q", got, want)
			}
		}
	}
	if _, closes := f.tracker.Usage(); closes[CloseNoRoom] != 1 {
		t.Errorf("closed or refused: %v", closes)
	}
	f.await(t, "the second waits", func(budget.Usage) bool {
		f.tracker.mu.Lock()
		defer f.tracker.mu.Unlock()
		return len(f.tracker.waiters) == 1
	})
	time.Sleep(1100 * time.Millisecond) // The time without a release after which requests are refused.
	send("/refused")
	response, err := http.ReadResponse(readers[3], nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("response %+v, error %v while no response has room", response, err)
	}
	close(proceed)
	if got := <-results; got != "/second true" {
		t.Errorf("%q", got)
	}
	f.await(t, "everything released", func(u budget.Usage) bool { return u.Responses == 0 })
	send("/short")
	if got := <-results; got != "/short true" {
		t.Errorf("%q after the release", got)
	}
}

// TestReadRequestStays guards against closing an idle connection whose next request its reader has
// taken from the kernel and is about to account for.
func TestReadRequestStays(t *testing.T) {
	f := serveBounded(t, budget.Limits{Connections: 1}, func(http.ResponseWriter, *http.Request) {})
	idle, reader := f.dial(t)
	sendRequest(t, idle)
	if !readResponse(reader) {
		t.Fatal("no first response")
	}
	f.awaitIdle(t)
	func() {
		f.tracker.mu.Lock()
		defer f.tracker.mu.Unlock()
		sendRequest(t, idle)
		time.Sleep(50 * time.Millisecond) // The reader now waits for the lock.
		client, server := net.Pipe()
		defer client.Close()
		defer server.Close()
		if other := (&trackedConn{Conn: server, tracker: f.tracker}); other.open() {
			t.Error("the idle connection was closed in favour of a new one")
		}
	}()
	if !readResponse(reader) {
		t.Error("the second request has no response")
	}
}

// TestBodyLines guards against a body of short lines that counts as the header of the next request
// on the connection, which then has no room.
func TestBodyLines(t *testing.T) {
	var reserved []budget.Bytes
	var f *fixture
	f = serveBounded(t, budget.Limits{Bytes: 4 << 20}, func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			t.Error(err)
		}
		usage, _ := f.tracker.Usage()
		reserved = append(reserved, usage.Bytes)
	})
	conn, reader := f.dial(t)
	const size = 4000
	for _, text := range []string{fmt.Sprint("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ", size, "\r\n\r\n"), strings.Repeat("\n", size), ""} {
		if text == "" {
			if !readResponse(reader) {
				t.Fatal("no response to the body")
			}
			text = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
		}
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond) // The parts are read one by one.
	}
	if !readResponse(reader) {
		t.Fatal("no response to the second request")
	}
	const most = 64 << 10
	if reserved[1] > most {
		t.Errorf("%d bytes are reserved for a request without a body, want at most %d", reserved[1], most)
	}
}

// TestPartialHeader guards against the begin of a header that arrives with the previous request and
// isn't accounted for.
func TestPartialHeader(t *testing.T) {
	const fields = 400
	var reserved []budget.Bytes
	var f *fixture
	f = serveBounded(t, budget.Limits{Bytes: 4 << 20}, func(http.ResponseWriter, *http.Request) {
		usage, _ := f.tracker.Usage()
		reserved = append(reserved, usage.Bytes)
	})
	conn, reader := f.dial(t)
	head := "GET / HTTP/1.1\r\nHost: h\r\n"
	for _, text := range []string{head + "\r\n" + head + strings.Repeat("a:b\r\n", fields), "\r\n"} {
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
		if !readResponse(reader) {
			t.Fatal("no response")
		}
	}
	if reserved[1] < fields*headLineBytes {
		t.Errorf("%d bytes are reserved for a header of %d fields", reserved[1], fields)
	}
}

// TestPartialHeaderAndBackgroundRead guards against the byte that the server reads in the background
// while a handler runs replacing the reservation for the header data that arrived before it.
func TestPartialHeaderAndBackgroundRead(t *testing.T) {
	const fields = 400
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counting := &countingListener{Listener: l}
	head := "GET / HTTP/1.1\r\nHost: h\r\n"
	begin := head + "\r\n" + head + strings.Repeat("a:b\r\n", fields)
	var reserved []budget.Bytes
	f := &fixture{tracker: NewConnTracker(), addr: l.Addr().String()}
	inHandler := make(chan struct{})
	handler := func(http.ResponseWriter, *http.Request) {
		usage, _ := f.tracker.Usage()
		reserved = append(reserved, usage.Bytes)
		if len(reserved) > 1 {
			return
		}
		close(inHandler)
		for deadline := time.Now().Add(10 * time.Second); counting.read.Load() <= int64(len(begin)); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Error("no background read")
				return
			}
		}
	}
	f.tracker.SetBounds(Bounds{Budget: budget.New(budget.Limits{Bytes: 4 << 20}), Now: clock.New().Mono})
	f.server = &http.Server{Handler: http.HandlerFunc(handler), ConnState: f.tracker.ConnState, ConnContext: ConnContext}
	tracked := f.tracker.Listener(counting)
	go func() { _ = f.server.Serve(tracked) }() // Closed by the cleanup.
	t.Cleanup(func() { f.server.Close() })
	conn, reader := f.dial(t)
	if _, err := io.WriteString(conn, begin); err != nil {
		t.Fatal(err)
	}
	<-inHandler
	if _, err := io.WriteString(conn, "\r\n"); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if !readResponse(reader) {
			t.Fatal("no response")
		}
	}
	if reserved[1] < fields*headLineBytes {
		t.Errorf("%d bytes are reserved for a header of %d fields", reserved[1], fields)
	}
}

// countingListener counts the bytes that its connections have read.
type countingListener struct {
	net.Listener
	read atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{Conn: conn, read: &l.read}, err
}

type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}
