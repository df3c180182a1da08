package socket

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// ConnTracker tracks the connections of an HTTP server and drains them gracefully: it
// closes a connection only between requests, where a request lasts from its first byte
// until its response is flushed. http.Server.Shutdown is no substitute: it drops
// requests that it has read but whose handler has not started.
type ConnTracker struct {
	mu        sync.Mutex
	listeners []net.Listener
	conns     map[*trackedConn]bool
	counts    map[phase]int
	draining  bool
	// firstRequestTimedOut is set once a drain no longer waits for the first request of a new connection.
	firstRequestTimedOut bool
	// idle is created by Drain, and closed when no request is in flight or expected.
	idle chan struct{}
	// bounds limits what connections take, if its Budget isn't nil.
	bounds Bounds
	closes map[CloseReason]int64
	// waiters are the responses that wait for room, the oldest first.
	waiters []*responseWaiter
}

// firstRequestTimeout is how long a drain waits for the first request of a new connection:
// callers send it as soon as they are connected, and TCP retransmits lost packets sooner.
const firstRequestTimeout = 300 * time.Millisecond

// NewConnTracker returns a ConnTracker without connections.
func NewConnTracker() *ConnTracker {
	return &ConnTracker{conns: map[*trackedConn]bool{}, counts: map[phase]int{}, closes: map[CloseReason]int64{}}
}

// trackedConn is an accepted connection.
type trackedConn struct {
	net.Conn
	tracker *ConnTracker
	phase   phase // Guarded by tracker.mu.
	bounded boundedConn
	// readPending is true while data was read that isn't accounted for yet.
	readPending atomic.Bool
}

// phase is the state of a connection.
type phase string

const (
	// phaseNew means that nothing was read yet.
	phaseNew phase = "new"
	// phaseBusy lasts from the first byte of a request to the end of its response.
	phaseBusy phase = "busy"
	// phaseIdle means that the connection waits for its next request.
	phaseIdle phase = "idle"
	// phaseInterrupted means that the pending read was interrupted: the connection is
	// closed unless a request has arrived.
	phaseInterrupted phase = "ending"
	// phaseClosed means that no further request is accepted.
	phaseClosed phase = "closed"
)

// Listener returns a listener whose connections are tracked; Drain closes it.
func (c *ConnTracker) Listener(l net.Listener) net.Listener {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listeners = append(c.listeners, l)
	return &trackedListener{Listener: l, tracker: c}
}

type trackedListener struct {
	net.Listener
	tracker *ConnTracker
}

// Accept waits for the next connection for which there is room, and tracks it.
func (l *trackedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tc := l.tracker.track(conn); tc != nil {
			return tc, nil
		}
		refuseConn(conn)
	}
}

// track adds a connection, or returns nil if there is no room for it.
func (c *ConnTracker) track(conn net.Conn) *trackedConn {
	tc := &trackedConn{Conn: conn, tracker: c}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !tc.open() {
		return nil
	}
	c.conns[tc] = true
	tc.setPhase(phaseNew)
	if c.firstRequestTimedOut {
		tc.interruptRead()
	}
	return tc
}

// Read reads from the connection and marks a request as in flight. Data that arrives
// after the connection was closed between two requests is discarded.
func (tc *trackedConn) Read(p []byte) (int, error) {
	n, err := tc.Conn.Read(p)
	if n == 0 && tc.resumeOrClose() {
		n, err = tc.Conn.Read(p)
	}
	if n == 0 {
		return n, err
	}
	tc.readPending.Store(true)
	if ok, refuse := tc.received(p[:n], len(p) == backgroundReadSize); !ok {
		if refuse {
			writeRefusal(tc.Conn)
		}
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
	}
	return n, err
}

// received marks a request as in flight and accounts for what was read, in the background while
// the handler runs or otherwise. It returns false if the connection must not be read any further;
// refuse says that the client has to be told.
func (tc *trackedConn) received(data []byte, background bool) (ok, refuse bool) {
	tc.tracker.mu.Lock()
	defer tc.tracker.mu.Unlock()
	tc.readPending.Store(false)
	if tc.phase == phaseClosed {
		return false, false
	}
	tc.markBusy()
	return tc.reserveRead(data, background)
}

// markBusy marks a request as in flight, even on a connection whose read was interrupted;
// the caller holds the lock.
func (tc *trackedConn) markBusy() {
	if tc.phase == phaseInterrupted {
		_ = tc.Conn.SetReadDeadline(time.Time{}) // If it fails, so does the next read.
	}
	tc.setPhase(phaseBusy)
}

// setPhase changes the phase and the counts; the caller holds the lock.
func (tc *trackedConn) setPhase(p phase) {
	if tc.phase != "" {
		tc.tracker.counts[tc.phase]--
	}
	tc.tracker.counts[p]++
	tc.phase = p
}

// interruptRead interrupts the pending read with a deadline in the past; the reader then
// closes the connection, or serves a request that has arrived. The caller holds the lock.
func (tc *trackedConn) interruptRead() {
	if tc.Conn.SetReadDeadline(time.Unix(1, 0)) == nil {
		tc.setPhase(phaseInterrupted)
	}
}

// CloseWrite closes the write side. The HTTP server calls it before it closes a connection
// whose request it has not read completely.
func (tc *trackedConn) CloseWrite() error {
	tc.tracker.mu.Lock()
	tc.bounded.writeClosed = true
	tc.tracker.mu.Unlock()
	if half, ok := tc.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return tc.Conn.Close()
}

// resumeOrClose is called after an interrupted read. It returns true if the next request
// has arrived and must be read, and closes the connection otherwise.
func (tc *trackedConn) resumeOrClose() bool {
	tc.tracker.mu.Lock()
	defer tc.tracker.mu.Unlock()
	if tc.phase != phaseInterrupted {
		return false
	}
	if tc.Conn.SetReadDeadline(time.Time{}) == nil && Stale(tc.Conn) {
		tc.setPhase(phaseBusy)
		return true
	}
	tc.close()
	tc.tracker.signalIfIdle()
	return false
}

// SetReadDeadline sets the deadline, but doesn't override that of an interrupted or stopped read.
func (tc *trackedConn) SetReadDeadline(t time.Time) error {
	tc.tracker.mu.Lock()
	defer tc.tracker.mu.Unlock()
	tc.bounded.deadlinesSet++
	if tc.phase == phaseInterrupted || tc.bounded.readStopped {
		return nil
	}
	return tc.Conn.SetReadDeadline(t)
}

// ConnState updates the phase of a connection; use it as http.Server.ConnState.
func (c *ConnTracker) ConnState(conn net.Conn, state http.ConnState) {
	tc, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		if tc.phase != phaseClosed {
			tc.markBusy() // A pipelined request may already be buffered, so that it needs no further read.
			tc.headRead()
		}
		return
	case http.StateIdle:
		if tc.phase == phaseClosed {
			return // Evicted; the server notices it at the next read.
		}
		tc.setPhase(phaseIdle)
		tc.requestEnded()
		if c.draining {
			tc.close()
		}
	case http.StateClosed, http.StateHijacked:
		tc.released()
		if c.conns[tc] {
			c.counts[tc.phase]--
			delete(c.conns, tc)
		}
	default:
		return
	}
	c.signalIfIdle()
}

// close closes a connection without a request in flight; the caller holds the lock.
func (tc *trackedConn) close() {
	tc.setPhase(phaseClosed)
	tc.bounded.closed = true
	tc.Conn.Close()
}

// Drain stops listening, closes each connection as soon as it has no request in flight,
// and waits until no request is in flight or expected, or ctx is done. It returns the
// number of requests still in flight, and must be called only once.
func (c *ConnTracker) Drain(ctx context.Context) int {
	c.mu.Lock()
	c.draining = true
	c.idle = make(chan struct{})
	for _, l := range c.listeners {
		l.Close()
	}
	c.interruptReads(phaseIdle)
	c.signalIfIdle()
	c.mu.Unlock()
	first := time.NewTimer(firstRequestTimeout)
	defer first.Stop()
	for {
		select {
		case <-first.C:
			c.mu.Lock()
			c.firstRequestTimedOut = true
			c.interruptReads(phaseNew)
			c.signalIfIdle()
			c.mu.Unlock()
			continue
		case <-c.idle:
		case <-ctx.Done():
		}
		return c.ActiveConns()
	}
}

// interruptReads interrupts the pending reads of all connections in a phase; the caller
// holds the lock.
func (c *ConnTracker) interruptReads(p phase) {
	for tc := range c.conns {
		if tc.phase == p {
			tc.interruptRead()
		}
	}
}

// signalIfIdle lets Drain return when no request is in flight or expected; the caller
// holds the lock.
func (c *ConnTracker) signalIfIdle() {
	if c.idle == nil || c.counts[phaseBusy]+c.counts[phaseNew]+c.counts[phaseInterrupted] > 0 {
		return
	}
	select {
	case <-c.idle:
	default:
		close(c.idle)
	}
}

// ActiveConns returns the number of connections with a request in flight.
func (c *ConnTracker) ActiveConns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[phaseBusy]
}
