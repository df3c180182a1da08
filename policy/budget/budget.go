package budget

import "foxtailbridge/policy/clock"

// Bytes is an amount of memory.
type Bytes int64

// MB is 2^20 bytes.
const MB Bytes = 1 << 20

const (
	// smallRequest is the memory up to which a request is small: a chunked body of 64 KB takes
	// 80 KB in pieces and 64 KB when they are joined; the rest is for parsed headers. Larger
	// ones can't use the part of the budget beyond Limits.Large.
	smallRequest = 192 << 10
	// stallTime is how long a request may make no progress before it is evicted in favour of
	// any other. TCP retransmits lost packets sooner.
	stallTime = clock.Second
	// headStartBytes and headStartTime are added to what a request has received and to its
	// age, so that a request which has just begun counts as a fast one. Up to this age a request
	// doesn't count as slow.
	headStartBytes Bytes = 64 << 10
	headStartTime        = 250 * clock.Millis(1)
)

const (
	// lastResponse is the part of Limits.Responses that is kept for one response, which grows to
	// its end in it: 256 KB, and a buffer of half the size that is being copied. Otherwise
	// growing responses could take the whole share and all wait for more. A share of less than
	// lastRatio times as much has no such part.
	lastResponse = 384 << 10
	lastRatio    = 4
	// fullRatio is the part of Limits.Responses from which on it counts as nearly used up.
	fullRatio = 0.9
)

// Limits bounds a Budget; a bound of 0 means none.
type Limits struct {
	// Bytes bounds the memory of connections and requests.
	Bytes Bytes
	// Large bounds the part of it that large requests may take.
	Large Bytes
	// Responses bounds the memory of responses, which isn't part of Bytes.
	Responses Bytes
	// Connections bounds the open connections.
	Connections int
	// Forwarded bounds the requests that are forwarded at a time.
	Forwarded int
}

// Phase is the state of a connection.
type Phase string

const (
	// PhaseNew means that nothing was received yet.
	PhaseNew Phase = "new"
	// PhaseIdle means that the connection waits for its next request.
	PhaseIdle Phase = "idle"
	// PhaseActive means that a request is being received or answered by this instance itself.
	PhaseActive Phase = "active"
	// PhaseForwarded means that the request was forwarded to an endpoint.
	PhaseForwarded Phase = "forwarded"
	// PhaseEnding means that the connection is closed once its client had time to read the
	// response. Its request holds nothing any more.
	PhaseEnding Phase = "ending"
	// PhaseClosed means that the connection was closed or evicted.
	PhaseClosed Phase = "closed"
)

// Reservation is what a connection and its current request take. The zero value is ready for
// Open.
type Reservation struct {
	// Owner is the connection, for the caller of Open.
	Owner any

	phase Phase
	// connection, request, work and response are the memory of the connection itself, of its
	// request, of forwarding it, and of the response that waits for the client.
	connection, request, work, response Bytes
	// received is how much of the request has arrived.
	received Bytes
	// startedAt is when the phase began, and progressAt when the last bytes arrived.
	startedAt, progressAt clock.Millis
	// index is the position in Budget.open.
	index int
}

// Phase returns the state of the connection.
func (r *Reservation) Phase() Phase { return r.phase }

// rate returns the received bytes per millisecond.
func (r *Reservation) rate(now clock.Millis) float64 {
	return float64(r.received+headStartBytes) / float64(now-r.startedAt+headStartTime)
}

// ended reports whether nothing more is reserved for requests of the connection.
func (r *Reservation) ended() bool { return r.phase == PhaseEnding || r.phase == PhaseClosed }

func (r *Reservation) large() bool { return r.request > smallRequest }

// Usage is what a Budget holds.
type Usage struct {
	Bytes, Large, Responses Bytes
	Connections, Forwarded  int
}

// Budget accounts for the reservations of one listener. It is not safe for concurrent use.
type Budget struct {
	// Arrived reports whether unread data waits on a connection that is new, idle or stalled.
	// Such a connection has a request that makes progress, so it isn't evicted as an idle or a
	// stalled one. It may be nil.
	Arrived func(*Reservation) bool
	// ResponseReleased is called when memory of responses was released. It may be nil.
	ResponseReleased func()

	limits Limits
	usage  Usage
	open   []*Reservation
	// last is the reservation whose response uses the part of lastResponse, or nil.
	last *Reservation
	// shortSince is when a response had no room last while none was released since, or 0.
	shortSince clock.Millis
}

// New returns a Budget without reservations.
func New(l Limits) *Budget {
	return &Budget{limits: l}
}

// Usage returns what is held now.
func (b *Budget) Usage() Usage { return b.usage }

// Limits returns the bounds.
func (b *Budget) Limits() Limits { return b.limits }

// Open reserves a new connection that takes the given memory. It returns the reservations that
// were evicted for it, and false if there is no room. The phase of an evicted reservation is
// PhaseClosed if its connection must be closed at once, or PhaseEnding if its request may be
// answered before; this holds for all methods that evict.
func (b *Budget) Open(r *Reservation, connection Bytes, now clock.Millis) ([]*Reservation, bool) {
	*r = Reservation{Owner: r.Owner, phase: PhaseNew, connection: connection, startedAt: now, progressAt: now}
	e := eviction{budget: b, requester: r, now: now}
	fits := e.until(byConnections, func() bool {
		return b.limits.Connections == 0 || b.usage.Connections < b.limits.Connections
	})
	fits = fits && e.untilBytes(connection)
	if !fits {
		e.undo()
		r.phase = PhaseClosed
		return nil, false
	}
	b.add(r)
	return e.victims, true
}

// Begin marks the start of a request.
func (b *Budget) Begin(r *Reservation, now clock.Millis) {
	if r.phase == PhaseNew || r.phase == PhaseIdle {
		r.phase, r.received, r.startedAt, r.progressAt = PhaseActive, 0, now, now
	}
}

// Progress records that bytes of the request have arrived or that bytes of its response were
// written.
func (b *Budget) Progress(r *Reservation, n Bytes, now clock.Millis) {
	r.received += n
	r.progressAt = now
}

// Reserve adds memory to a request. It returns the reservations that were evicted for it, and
// false if there is no room or the reservation itself was evicted.
func (b *Budget) Reserve(r *Reservation, n Bytes, now clock.Millis) ([]*Reservation, bool) {
	if r.ended() {
		return nil, false
	}
	e := eviction{budget: b, requester: r, now: now}
	fits := true
	if request := r.request + n; request > smallRequest && b.limits.Large > 0 {
		more := n
		if !r.large() {
			more = request
		}
		fits = more <= b.limits.Large && e.until(byLarge, func() bool { return b.usage.Large+more <= b.limits.Large })
	}
	if !fits || !e.untilBytes(n) {
		e.undo()
		return nil, false
	}
	b.subtract(r)
	r.request += n
	b.account(r, 1)
	return e.victims, true
}

// ReserveResponse adds memory to the response of a request; it reports whether there is room.
// A response is never evicted, as its request may have run.
func (b *Budget) ReserveResponse(r *Reservation, n Bytes, now clock.Millis) bool {
	if r.ended() {
		return false
	}
	if limit := b.limits.Responses; limit > 0 {
		total := b.usage.Responses + n
		switch {
		case limit < lastRatio*lastResponse && total <= limit, total <= limit-lastResponse:
		case total <= limit && r.response > 0 && (b.last == nil || b.last == r):
			b.last = r
		default:
			if b.shortSince == 0 {
				b.shortSince = max(now, 1)
			}
			return false
		}
	}
	r.response += n
	b.usage.Responses += n
	return true
}

// ReleaseResponse takes memory off the response of a request before its end.
func (b *Budget) ReleaseResponse(r *Reservation, n Bytes) {
	if n = min(n, r.response); n > 0 {
		r.response -= n
		b.usage.Responses -= n
		b.responseReleased(r)
	}
}

// responseReleased is called after memory of a response was released.
func (b *Budget) responseReleased(r *Reservation) {
	if b.last == r && r.response == 0 {
		b.last = nil
	}
	b.shortSince = 0
	if b.ResponseReleased != nil {
		b.ResponseReleased()
	}
}

// responsesStuck reports whether the memory of responses is nearly used up and none was released
// for some time although others wait. In a burst of ordinary responses some is released all the
// time.
func (b *Budget) responsesStuck(now clock.Millis) bool {
	full := float64(b.usage.Responses) >= fullRatio*float64(b.limits.Responses)
	return full && b.shortSince > 0 && now-b.shortSince >= stallTime
}

// Release takes memory off a request before its end.
func (b *Budget) Release(r *Reservation, n Bytes) {
	if r.phase == PhaseClosed {
		return
	}
	b.subtract(r)
	r.request -= min(n, r.request)
	b.account(r, 1)
}

// Forward marks that a request is about to be forwarded, which takes more memory; from then on
// it isn't evicted. It returns the reservations that were evicted for it, and false if the
// reservation itself was evicted or there is no room, also not for its response.
func (b *Budget) Forward(r *Reservation, work Bytes, now clock.Millis) ([]*Reservation, bool) {
	if r.ended() || b.limits.Forwarded > 0 && b.usage.Forwarded >= b.limits.Forwarded || b.responsesStuck(now) {
		return nil, false
	}
	e := eviction{budget: b, requester: r, now: now}
	if !e.untilBytes(work) {
		e.undo()
		return nil, false
	}
	b.subtract(r)
	r.phase, r.work = PhaseForwarded, work
	b.account(r, 1)
	return e.victims, true
}

// Refuse marks that a request that had been admitted by Forward has not been sent to an
// endpoint and is answered by this instance.
func (b *Budget) Refuse(r *Reservation, now clock.Millis) {
	if r.phase != PhaseForwarded {
		return
	}
	b.ReleaseResponse(r, r.response) // A local reply is small.
	b.subtract(r)
	r.phase, r.work, r.startedAt, r.progressAt = PhaseActive, 0, now, now
	b.account(r, 1)
}

// End marks the end of a request and releases its memory.
func (b *Budget) End(r *Reservation, now clock.Millis) {
	if !r.ended() {
		b.finish(r, PhaseIdle, now)
	}
}

// Stop marks that the connection is closed after the response that is being written, and
// releases the memory of its request.
func (b *Budget) Stop(r *Reservation, now clock.Millis) {
	if !r.ended() {
		b.finish(r, PhaseEnding, now)
	}
}

func (b *Budget) finish(r *Reservation, p Phase, now clock.Millis) {
	held := r.response > 0
	b.subtract(r)
	r.phase, r.request, r.work, r.response = p, 0, 0, 0
	r.startedAt, r.progressAt = now, now
	b.account(r, 1)
	if held {
		b.responseReleased(r)
	}
}

// Close releases everything. It may be called more than once, and after an eviction.
func (b *Budget) Close(r *Reservation) {
	if r.phase == PhaseClosed || r.phase == "" {
		return
	}
	b.remove(r)
	r.phase = PhaseClosed
	if r.response > 0 {
		r.response = 0
		b.responseReleased(r)
	}
}

func (b *Budget) add(r *Reservation) {
	r.index = len(b.open)
	b.open = append(b.open, r)
	b.usage.Connections++
	b.account(r, 1)
}

func (b *Budget) remove(r *Reservation) {
	last := len(b.open) - 1
	b.open[r.index] = b.open[last]
	b.open[r.index].index = r.index
	b.open[last] = nil
	b.open = b.open[:last]
	b.usage.Connections--
	b.subtract(r)
}

func (b *Budget) subtract(r *Reservation) { b.account(r, -1) }

// account adds the memory of a reservation, times the sign, to the usage.
func (b *Budget) account(r *Reservation, sign Bytes) {
	b.usage.Bytes += sign * (r.connection + r.request + r.work)
	b.usage.Responses += sign * r.response
	if r.large() {
		b.usage.Large += sign * r.request
	}
	if r.phase == PhaseForwarded {
		b.usage.Forwarded += int(sign)
	}
}
