package socket

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// ConnTracker tracks the channels of an HTTP server from the first byte of a request
// until its answer is flushed, and closes them only in between. http.Server.Shutdown
// would not do: it drops requests that it has read and whose handler has not begun.
type ConnTracker struct {
	mu        sync.Mutex
	listeners []net.Listener
	conns     map[*trackedConn]bool
	counts    map[phase]int
	draining  bool
	// rejectNew is true once a drain takes no new channels.
	rejectNew bool
	// idle is closed when no request is under way or may come; it is made by Drain.
	idle chan struct{}
}

// firstRequestTimeout is how long a new channel may go without a request in a drain: a
// caller sends it once it is connected, and lost packets are sent again after less.
const firstRequestTimeout = 300 * time.Millisecond

// NewConnTracker returns Channels.
func NewConnTracker() *ConnTracker {
	return &ConnTracker{conns: map[*trackedConn]bool{}, counts: map[phase]int{}}
}

// trackedConn is one accepted connection.
type trackedConn struct {
	net.Conn
	tracker *ConnTracker
	phase   phase // Guarded by the lock of the set.
}

// phase is where a channel stands.
type phase string

const (
	// phaseNew means that no byte was read yet.
	phaseNew phase = "new"
	// phaseBusy lasts from the first byte of a request to the end of its answer.
	phaseBusy phase = "busy"
	// phaseIdle means that the channel waits for a further request.
	phaseIdle phase = "idle"
	// phaseInterrupted means that the channel is closed unless a request has arrived.
	phaseInterrupted phase = "ending"
	// phaseClosed means that no further request is taken.
	phaseClosed phase = "closed"
)

// Listener returns a listener whose channels are tracked; Drain closes it.
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

// Accept waits for the next channel.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tc := &trackedConn{Conn: conn, tracker: l.tracker}
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	l.tracker.conns[tc] = true
	tc.setPhase(phaseNew)
	if l.tracker.rejectNew {
		tc.interruptRead()
	}
	return tc, nil
}

// Read reads from the channel. What arrives after the channel was closed between
// two requests is not handed on.
func (tc *trackedConn) Read(p []byte) (int, error) {
	n, err := tc.Conn.Read(p)
	if n == 0 && tc.resumeOrClose() {
		n, err = tc.Conn.Read(p)
	}
	if n == 0 {
		return n, err
	}
	tc.tracker.mu.Lock()
	defer tc.tracker.mu.Unlock()
	if tc.phase == phaseClosed {
		return 0, net.ErrClosed
	}
	tc.markBusy()
	return n, err
}

// markBusy marks a request as under way, also on a channel that was about to be closed;
// the caller holds the lock.
func (tc *trackedConn) markBusy() {
	if tc.phase == phaseInterrupted {
		_ = tc.Conn.SetReadDeadline(time.Time{}) // A channel that is gone fails its next read.
	}
	tc.setPhase(phaseBusy)
}

// setPhase moves the channel to a phase; the caller holds the lock.
func (tc *trackedConn) setPhase(p phase) {
	if tc.phase != "" {
		tc.tracker.counts[tc.phase]--
	}
	tc.tracker.counts[p]++
	tc.phase = p
}

// interruptRead ends the wait of the channel's reader, which closes the channel or takes what
// has arrived; the caller holds the lock.
func (tc *trackedConn) interruptRead() {
	if tc.Conn.SetReadDeadline(time.Unix(1, 0)) == nil {
		tc.setPhase(phaseInterrupted)
	}
}

// CloseWrite ends the sending direction, as the server does before it closes a
// channel whose request it has not read whole.
func (tc *trackedConn) CloseWrite() error {
	if half, ok := tc.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return tc.Conn.Close()
}

// resumeOrClose decides what becomes of an ending channel once its reader is awake: if the
// next request is there, it is taken.
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

// SetReadDeadline sets the deadline, but does not put an ending reader to sleep again.
func (tc *trackedConn) SetReadDeadline(t time.Time) error {
	tc.tracker.mu.Lock()
	defer tc.tracker.mu.Unlock()
	if tc.phase == phaseInterrupted {
		return nil
	}
	return tc.Conn.SetReadDeadline(t)
}

// ConnState follows a server's channels; it is the server's ConnState.
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
			tc.markBusy() // A request that came with the one before needs no further read.
		}
		return
	case http.StateIdle:
		tc.setPhase(phaseIdle)
		if c.draining {
			tc.close()
		}
	case http.StateClosed, http.StateHijacked:
		if c.conns[tc] {
			c.counts[tc.phase]--
			delete(c.conns, tc)
		}
	default:
		return
	}
	c.signalIfIdle()
}

// close closes a channel on which no request is under way; the caller holds the lock.
func (tc *trackedConn) close() {
	tc.setPhase(phaseClosed)
	tc.Conn.Close()
}

// Drain takes no more channels, closes each as soon as no request is under way on
// it, and waits until none is left or ctx ends. It returns the number of requests
// that are left. It is called once.
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
			c.rejectNew = true
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

// interruptReads wakes the readers of the channels in a phase; the caller holds the lock.
func (c *ConnTracker) interruptReads(p phase) {
	for tc := range c.conns {
		if tc.phase == p {
			tc.interruptRead()
		}
	}
}

// signalIfIdle ends the wait of Drain when no request is under way or to come; the caller
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

// ActiveConns returns the number of channels with a request under way.
func (c *ConnTracker) ActiveConns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[phaseBusy]
}
