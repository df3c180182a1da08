package socket

import (
	"bytes"
	"io"
	"maps"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"foxtailbridge/policy/budget"
	"foxtailbridge/policy/clock"
)

const (
	// connBytes is the memory of an idle connection of net/http: its goroutine's stack, a read
	// and a write buffer of 4 KB each, and small objects.
	connBytes budget.Bytes = 16 << 10
	// forwardBytes is the memory of forwarding a request: the stacks of its goroutines, the
	// connection to the endpoint, the state of its attempts, and a small response.
	forwardBytes budget.Bytes = 24 << 10
	// headFactor and headLineBytes estimate the memory of a parsed header: copies of its bytes,
	// and for each field the entries of the two maps that hold it, which grow by doubling.
	headFactor    = 3
	headLineBytes = 400
	// wholeFactor estimates the memory of a body whose handler uses no RequestBudget: the
	// buffer into which it is read doubles.
	wholeFactor = 3
	// serverBuffer is the size of net/http's read buffer. What a read of this size has brought
	// may be the begin of the next request.
	serverBuffer = 4 << 10
	// backgroundReadSize is the size of the read with which net/http detects during a handler that
	// the client has disconnected. What it brings follows the data in the read buffer; any other
	// read during a handler starts with an empty buffer.
	backgroundReadSize = 1
	// headerDeadlines is how often net/http sets the read deadline between the end of a request and
	// parsing the next header: before and after it waits for the first bytes. If it reads before
	// that, its buffer was empty, and what was read last was no part of the header.
	headerDeadlines = 2
	// lingerTime is how long a connection whose request was not read completely stays open
	// after the response. Closing it at once would reset it, and the client could lose the
	// response.
	lingerTime = 500 * time.Millisecond
	// refusalTimeout bounds writing a refusal on a connection without a handler.
	refusalTimeout = 50 * time.Millisecond
)

// refusal is the response to a request that there is no room to read.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// headEnd ends a header.
var headEnd = []byte("\r\n\r\n")

// Bounds limits what the connections of a ConnTracker take.
type Bounds struct {
	Budget *budget.Budget
	Now    func() clock.Millis
	// WholeRequests makes the tracker account for bodies. Otherwise the handler does, with a
	// RequestBudget.
	WholeRequests bool
}

// CloseReason says why a connection was closed in favour of others, or not accepted.
type CloseReason string

// Reasons for closing a connection.
const (
	// CloseIdle, CloseNew and CloseSending are for connections that were idle, had sent
	// nothing, or were sending a request.
	CloseIdle    CloseReason = "idle"
	CloseNew     CloseReason = "new"
	CloseSending CloseReason = "sending"
	// CloseNoRoom is for requests and connections that were refused as nothing else could be
	// closed, and for responses that had no room until the deadline.
	CloseNoRoom CloseReason = "no-room"
)

// boundedConn is the part of a tracked connection that its tracker's Bounds need; it is
// guarded by the tracker's lock.
type boundedConn struct {
	reservation budget.Reservation
	// inHandler is true from the end of a request's header to the end of its response.
	inHandler bool
	// readsBody is true while the handler reads the body and can still answer.
	readsBody bool
	// carried is the memory that the header of the next request may take that is already in
	// net/http's buffer.
	carried budget.Bytes
	// deadlinesSet is how often the server has set the read deadline since the last request.
	deadlinesSet int
	// readStopped means that nothing more is read.
	readStopped bool
	// lingering means that the server has closed the connection, which is still open.
	lingering   bool
	writeClosed bool
	closed      bool
}

// SetBounds limits what connections take; call it before Listener.
func (c *ConnTracker) SetBounds(b Bounds) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bounds = b
	b.Budget.Arrived = func(r *budget.Reservation) bool {
		tc, ok := r.Owner.(*trackedConn)
		return ok && !tc.bounded.lingering && (tc.readPending.Load() || hasUnread(tc.Conn))
	}
	b.Budget.ResponseReleased = c.grantResponses
}

// Usage returns what the connections take, and how many were closed in favour of others or
// refused.
func (c *ConnTracker) Usage() (budget.Usage, map[CloseReason]int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bounds.Budget == nil {
		return budget.Usage{}, nil
	}
	return c.bounds.Budget.Usage(), maps.Clone(c.closes)
}

// hasUnread reports whether data has arrived on a connection that another goroutine reads.
func hasUnread(conn net.Conn) bool {
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return unread && err == nil
}

// writeRefusal tells the client of a connection without a handler that its request is refused.
func writeRefusal(conn net.Conn) {
	if conn.SetWriteDeadline(time.Now().Add(refusalTimeout)) == nil {
		_, _ = io.WriteString(conn, refusal) // The client may have disconnected.
	}
}

// refuseConn refuses a connection that was not tracked.
func refuseConn(conn net.Conn) {
	writeRefusal(conn)
	conn.Close()
}

// The following methods, up to Close, are called with the tracker's lock held.

// open reserves a new connection; it returns false if there is no room.
func (tc *trackedConn) open() bool {
	b := tc.tracker.bounds
	if b.Budget == nil {
		return true
	}
	tc.bounded.reservation.Owner = tc
	victims, ok := b.Budget.Open(&tc.bounded.reservation, connBytes, b.Now())
	tc.tracker.evict(victims)
	if !ok {
		tc.tracker.closes[CloseNoRoom]++
	}
	return ok
}

// reserveRead accounts for what was read. It returns false if there is no room, and whether the
// client has to be told, which needs no answer of the handler.
func (tc *trackedConn) reserveRead(data []byte, background bool) (ok, refuse bool) {
	b := tc.tracker.bounds
	if b.Budget == nil {
		return true, false
	}
	s, now := &tc.bounded, b.Now()
	if tc.evicted() {
		return false, false
	}
	var cost budget.Bytes
	if s.begin(b.Budget, now) && s.deadlinesSet >= headerDeadlines {
		cost = s.carried
	}
	b.Budget.Progress(&s.reservation, budget.Bytes(len(data)), now)
	switch {
	case background && s.inHandler:
		s.carried += headBytes(data)
	case len(data) <= serverBuffer:
		s.carried = headBytes(data)
	}
	switch {
	case !s.inHandler:
		if end := bytes.Index(data, headEnd); end >= 0 {
			data = data[:end+len(headEnd)] // The rest belongs to the body, or is carried.
		}
		cost += headBytes(data)
	case b.WholeRequests:
		cost += budget.Bytes(len(data) * wholeFactor)
	}
	if cost == 0 || tc.reserve(cost) {
		return true, false
	}
	s.readStopped = true
	b.Budget.Stop(&s.reservation, now) // The server gives the request up.
	return false, !s.inHandler
}

// headBytes estimates the memory of a parsed header.
func headBytes(data []byte) budget.Bytes {
	return budget.Bytes(len(data)*headFactor + bytes.Count(data, []byte{'\n'})*headLineBytes)
}

// begin marks the start of a request; it returns false if it has begun already.
func (s *boundedConn) begin(b *budget.Budget, now clock.Millis) bool {
	if p := s.reservation.Phase(); p != budget.PhaseNew && p != budget.PhaseIdle {
		return false
	}
	b.Begin(&s.reservation, now)
	return true
}

// reserve adds memory to the request and evicts others for it.
func (tc *trackedConn) reserve(n budget.Bytes) bool {
	b := tc.tracker.bounds
	victims, ok := b.Budget.Reserve(&tc.bounded.reservation, n, b.Now())
	tc.tracker.evict(victims)
	if !ok && !tc.evicted() {
		tc.tracker.closes[CloseNoRoom]++
	}
	return ok
}

// headRead marks that a request's header was read.
func (tc *trackedConn) headRead() {
	b := tc.tracker.bounds
	if b.Budget == nil {
		return
	}
	tc.bounded.inHandler = true
	// Without a read since the last request, the whole header is in the server's buffer.
	if tc.bounded.begin(b.Budget, b.Now()) && tc.bounded.carried > 0 && !tc.reserve(tc.bounded.carried) {
		tc.bounded.readStopped = true
		tc.close()
	}
}

// requestEnded releases what the request has taken.
func (tc *trackedConn) requestEnded() {
	if b := tc.tracker.bounds; b.Budget != nil {
		tc.bounded.inHandler, tc.bounded.deadlinesSet = false, 0
		b.Budget.End(&tc.bounded.reservation, b.Now())
	}
}

// released is called when the server has closed the connection.
func (tc *trackedConn) released() {
	b := tc.tracker.bounds
	switch {
	case b.Budget == nil:
	case tc.bounded.lingering:
		b.Budget.Stop(&tc.bounded.reservation, b.Now())
	default:
		b.Budget.Close(&tc.bounded.reservation)
	}
}

// evicted reports whether nothing more is reserved for the connection.
func (tc *trackedConn) evicted() bool {
	p := tc.bounded.reservation.Phase()
	return p == budget.PhaseClosed || p == budget.PhaseEnding
}

// evict ends connections whose reservations were evicted.
func (c *ConnTracker) evict(victims []*budget.Reservation) {
	for _, victim := range victims {
		if tc, ok := victim.Owner.(*trackedConn); ok {
			tc.evict()
		}
	}
}

// evict ends the connection. The handler answers if it is reading the body and only its memory is
// needed; otherwise the connection is closed.
func (tc *trackedConn) evict() {
	s := &tc.bounded
	if s.closed {
		return
	}
	if !s.readStopped { // Otherwise it was counted as refused.
		reason := CloseSending
		switch tc.phase {
		case phaseIdle, phaseInterrupted:
			reason = CloseIdle
		case phaseNew:
			reason = CloseNew
		}
		tc.tracker.closes[reason]++
	}
	if s.readsBody && s.reservation.Phase() == budget.PhaseEnding {
		tc.stopReading()
		return
	}
	tc.tracker.bounds.Budget.Close(&s.reservation)
	if s.lingering { // It isn't tracked any more.
		s.closed = true
		tc.Conn.Close()
		return
	}
	tc.close()
	tc.tracker.signalIfIdle()
}

// Close closes the connection, or only its write side if the client may still be reading the
// response to a request that was not read completely.
func (tc *trackedConn) Close() error {
	tc.tracker.mu.Lock()
	defer tc.tracker.mu.Unlock()
	s := &tc.bounded
	if s.closed {
		return nil
	}
	half, ok := tc.Conn.(interface{ CloseWrite() error })
	if ok && s.readStopped && !s.writeClosed && tc.tracker.bounds.Budget != nil && half.CloseWrite() == nil {
		s.writeClosed, s.lingering = true, true
		time.AfterFunc(lingerTime, tc.endLinger)
		return nil
	}
	s.closed = true
	return tc.Conn.Close()
}

func (tc *trackedConn) endLinger() {
	tc.tracker.mu.Lock()
	defer tc.tracker.mu.Unlock()
	tc.tracker.bounds.Budget.Close(&tc.bounded.reservation)
	if !tc.bounded.closed {
		tc.bounded.closed = true
		tc.Conn.Close()
	}
}

// stopReading ends the pending read and fails later ones; the caller holds the lock.
func (tc *trackedConn) stopReading() {
	tc.bounded.readStopped = true
	_ = tc.Conn.SetReadDeadline(time.Unix(1, 0)) // If it fails, the connection is closed.
}
