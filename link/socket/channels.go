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
	open      map[*channel]bool
	counts    map[phase]int
	draining  bool
	// late is true once a drain takes no new channels.
	late bool
	// idle is closed when no request is under way or may come; it is made by Drain.
	idle chan struct{}
}

// firstRequest is how long a new channel may go without a request in a drain: a
// caller sends it once it is connected, and lost packets are sent again after less.
const firstRequest = 300 * time.Millisecond

// NewConnTracker returns Channels.
func NewConnTracker() *ConnTracker {
	return &ConnTracker{open: map[*channel]bool{}, counts: map[phase]int{}}
}

// channel is one accepted connection.
type channel struct {
	net.Conn
	set   *ConnTracker
	phase phase // Guarded by the lock of the set.
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
	// phaseEnding means that the channel is closed unless a request has arrived.
	phaseEnding phase = "ending"
	// phaseClosed means that no further request is taken.
	phaseClosed phase = "closed"
)

// Listener returns a listener whose channels are tracked; Drain closes it.
func (c *ConnTracker) Listener(l net.Listener) net.Listener {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listeners = append(c.listeners, l)
	return &listener{Listener: l, set: c}
}

type listener struct {
	net.Listener
	set *ConnTracker
}

// Accept waits for the next channel.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	ch := &channel{Conn: conn, set: l.set}
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	l.set.open[ch] = true
	ch.enter(phaseNew)
	if l.set.late {
		ch.wake()
	}
	return ch, nil
}

// Read reads from the channel. What arrives after the channel was closed between
// two requests is not handed on.
func (ch *channel) Read(p []byte) (int, error) {
	n, err := ch.Conn.Read(p)
	if n == 0 && ch.arrived() {
		n, err = ch.Conn.Read(p)
	}
	if n == 0 {
		return n, err
	}
	ch.set.mu.Lock()
	defer ch.set.mu.Unlock()
	if ch.phase == phaseClosed {
		return 0, net.ErrClosed
	}
	ch.take()
	return n, err
}

// take marks a request as under way, also on a channel that was about to be closed;
// the caller holds the lock.
func (ch *channel) take() {
	if ch.phase == phaseEnding {
		_ = ch.Conn.SetReadDeadline(time.Time{}) // A channel that is gone fails its next read.
	}
	ch.enter(phaseBusy)
}

// enter moves the channel to a phase; the caller holds the lock.
func (ch *channel) enter(p phase) {
	if ch.phase != "" {
		ch.set.counts[ch.phase]--
	}
	ch.set.counts[p]++
	ch.phase = p
}

// wake ends the wait of the channel's reader, which closes the channel or takes what
// has arrived; the caller holds the lock.
func (ch *channel) wake() {
	if ch.Conn.SetReadDeadline(time.Unix(1, 0)) == nil {
		ch.enter(phaseEnding)
	}
}

// CloseWrite ends the sending direction, as the server does before it closes a
// channel whose request it has not read whole.
func (ch *channel) CloseWrite() error {
	if half, ok := ch.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return ch.Conn.Close()
}

// arrived decides what becomes of an ending channel once its reader is awake: if the
// next request is there, it is taken.
func (ch *channel) arrived() bool {
	ch.set.mu.Lock()
	defer ch.set.mu.Unlock()
	if ch.phase != phaseEnding {
		return false
	}
	if ch.Conn.SetReadDeadline(time.Time{}) == nil && Stale(ch.Conn) {
		ch.enter(phaseBusy)
		return true
	}
	ch.close()
	ch.set.settle()
	return false
}

// SetReadDeadline sets the deadline, but does not put an ending reader to sleep again.
func (ch *channel) SetReadDeadline(t time.Time) error {
	ch.set.mu.Lock()
	defer ch.set.mu.Unlock()
	if ch.phase == phaseEnding {
		return nil
	}
	return ch.Conn.SetReadDeadline(t)
}

// ConnState follows a server's channels; it is the server's ConnState.
func (c *ConnTracker) ConnState(conn net.Conn, state http.ConnState) {
	ch, ok := conn.(*channel)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		if ch.phase != phaseClosed {
			ch.take() // A request that came with the one before needs no further read.
		}
		return
	case http.StateIdle:
		ch.enter(phaseIdle)
		if c.draining {
			ch.close()
		}
	case http.StateClosed, http.StateHijacked:
		if c.open[ch] {
			c.counts[ch.phase]--
			delete(c.open, ch)
		}
	default:
		return
	}
	c.settle()
}

// close closes a channel on which no request is under way; the caller holds the lock.
func (ch *channel) close() {
	ch.enter(phaseClosed)
	ch.Conn.Close()
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
	c.wake(phaseIdle)
	c.settle()
	c.mu.Unlock()
	first := time.NewTimer(firstRequest)
	defer first.Stop()
	for {
		select {
		case <-first.C:
			c.mu.Lock()
			c.late = true
			c.wake(phaseNew)
			c.settle()
			c.mu.Unlock()
			continue
		case <-c.idle:
		case <-ctx.Done():
		}
		return c.ActiveConns()
	}
}

// wake wakes the readers of the channels in a phase; the caller holds the lock.
func (c *ConnTracker) wake(p phase) {
	for ch := range c.open {
		if ch.phase == p {
			ch.wake()
		}
	}
}

// settle ends the wait of Drain when no request is under way or to come; the caller
// holds the lock.
func (c *ConnTracker) settle() {
	if c.idle == nil || c.counts[phaseBusy]+c.counts[phaseNew]+c.counts[phaseEnding] > 0 {
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
