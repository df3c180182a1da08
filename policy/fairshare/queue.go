package fairshare

import (
	"cmp"
	"slices"

	"foxtailbridge/policy/clock"
)

// Ticket identifies a waiting request of a Limiter.
type Ticket uint64

// WaitEnd says how a request's wait has ended.
type WaitEnd string

// Ends of a wait.
const (
	// WaitReleased means that the request may take capacity now.
	WaitReleased WaitEnd = "released"
	// WaitTooLate means that the request would not be served in time any more.
	WaitTooLate WaitEnd = "too-late"
	// WaitDisplaced means that the queue was full and a more urgent request came.
	WaitDisplaced WaitEnd = "displaced"
)

const (
	// MaxWaiting bounds the waiting requests of a service at an instance. The smallest instance
	// serves a few requests a second, so that more could not be served in MaxWait.
	MaxWaiting = 64
	// MaxWait is the longest wait. A lack of capacity that lasts longer is not bridged by waiting: a
	// caller that is told to return later frees its place.
	MaxWait = 2 * clock.Second
	// waitShare is the part of the time to spare that a request may wait. The rest is for its caller to
	// try again, if it waited in vain.
	waitShare = 0.5
	// PollPeriod is how often the queue should be polled.
	PollPeriod = 50 * clock.Millis(1)
)

// waiter is a waiting request.
type waiter struct {
	Request
	ticket Ticket
	// deadline is the request's deadline, until the latest time at which it can be released and still
	// be served in time.
	deadline, until clock.Millis
	// drawn is true if the request is within its share and waits only for a place.
	drawn  bool
	drawAt clock.Millis
}

// queue is the waiting requests of a Limiter.
type queue struct {
	waiting []*waiter
	last    Ticket
	// released counts the requests of each group that were released since the queue was empty.
	released map[Group]int
	// credit is the number of requests that may be released without a draw, at creditAt.
	credit   float64
	creditAt clock.Millis
	ended    map[Ticket]WaitEnd
}

// Wait puts a request into the queue, unless it could not be served in time: the expected wait is
// longer than waitShare of its time left, less need, the time in which it is usually served.
// admitted is true if the request was admitted but found no place.
func (l *Limiter) Wait(r Request, c Capacity, instances int, t Time, need clock.Millis, admitted bool) (Ticket, bool) {
	available := min(MaxWait, clock.Millis(waitShare*float64(r.TimeLeft-need)))
	if available <= 0 || l.expectedWait(&r, &c, instances, t.Now, admitted) > float64(available) {
		return 0, false
	}
	q := &l.queue
	if len(q.waiting) >= MaxWaiting {
		i := q.leastUrgent()
		if q.waiting[i].Rank <= r.Rank {
			return 0, false
		}
		q.end(i, WaitDisplaced)
	}
	if len(q.waiting) == 0 {
		q.released, q.credit, q.creditAt = map[Group]int{}, 0, t.Now
	}
	if q.ended == nil {
		q.ended = map[Ticket]WaitEnd{}
	}
	q.last++
	q.waiting = append(q.waiting, &waiter{Request: r, ticket: q.last, deadline: t.Now + r.TimeLeft, until: t.Now + available, drawn: admitted, drawAt: t.Now + untilDraw(r.Content, t.Wall)})
	return q.last, true
}

// expectedWait returns the expected wait of a request in milliseconds.
func (l *Limiter) expectedWait(r *Request, c *Capacity, instances int, now clock.Millis, admitted bool) float64 {
	if !admitted && c.Short() {
		demand, capacity, _ := l.known(c, instances, now)
		group := max(1, demand[r.Group])
		share := Allocate(demand, capacity).Share(r.Rank, group)
		return float64(drawPeriod) / max(0.01, float64(share/group))
	}
	ahead := 1
	for _, w := range l.queue.waiting {
		if w.Rank <= r.Rank {
			ahead++
		}
	}
	return float64(ahead) * float64(clock.Second) / max(0.01, l.ownRate(c, instances, now))
}

// Poll returns how the wait of a request has ended, or "" if it goes on. It asks for the capacity
// only once in PollPeriod, whatever the number of waiting requests.
func (l *Limiter) Poll(ticket Ticket, capacity func() Capacity, instances int, t Time) WaitEnd {
	if t.Now-l.polledAt >= PollPeriod {
		l.polledAt = t.Now
		c := capacity()
		l.advance(&c, instances, t)
	}
	end := l.queue.ended[ticket]
	delete(l.queue.ended, ticket)
	return end
}

// Leave removes a request whose caller disconnected, or that waits no longer.
func (l *Limiter) Leave(ticket Ticket) {
	l.queue.waiting = slices.DeleteFunc(l.queue.waiting, func(w *waiter) bool { return w.ticket == ticket })
	delete(l.queue.ended, ticket)
}

// Waiting returns the number of waiting requests.
func (l *Limiter) Waiting() int { return len(l.queue.waiting) }

// advance ends the waits that are over at this time.
func (l *Limiter) advance(c *Capacity, instances int, t Time) {
	q := &l.queue
	rate := l.ownRate(c, instances, t.Now)
	// The rate of a fast service releases several in the time between two polls.
	earned := rate * float64(t.Now-q.creditAt) / float64(clock.Second)
	q.credit = min(max(1, earned), q.credit+earned)
	q.creditAt = t.Now
	short := c.Short()
	for _, w := range slices.Clone(q.waiting) {
		drawn := short && !w.drawn && l.redraw(w, c, instances, t)
		if drawn && c.Room >= 1 {
			q.endOf(w, WaitReleased)
		} else if t.Now > w.until || short && !w.drawn && w.drawAt > w.until {
			q.endOf(w, WaitTooLate)
		}
	}
	q.sort()
	// With much room, as after the return of a zone, all are released: it takes those of all instances.
	for room := c.Room; len(q.waiting) > 0 && room >= 1 && (q.credit >= 1 || !c.nearShort()); room-- {
		i := slices.IndexFunc(q.waiting, func(w *waiter) bool { return !short || w.drawn })
		if i < 0 {
			return
		}
		q.credit--
		q.end(i, WaitReleased)
		q.sort()
	}
}

// redraw draws for a waiting request again once its draw has changed, as if its caller had sent it
// again, and reports whether it is within its share.
func (l *Limiter) redraw(w *waiter, c *Capacity, instances int, t Time) bool {
	if t.Now < w.drawAt {
		return false
	}
	r := w.Request
	r.TimeLeft = max(0, w.deadline-t.Now)
	d := l.Decide(r, *c, instances, t)
	w.drawn, w.drawAt = d.Admitted, t.Now+untilDraw(r.Content, t.Wall)
	return d.Admitted
}

// ownRate returns this instance's part of the rate at which requests that wait for a place, or
// return, are let in.
func (l *Limiter) ownRate(c *Capacity, instances int, now clock.Millis) float64 {
	demand, capacity, _ := l.known(c, instances, now)
	return returnShare * float64(capacity) * float64(l.ownDemand(now).Sum()/max(1, demand.Sum()))
}

// sort orders the queue by rank, then by the requests that were released of the workspace, then by
// the time left.
func (q *queue) sort() {
	slices.SortStableFunc(q.waiting, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(q.released[a.Group], q.released[b.Group]), cmp.Compare(a.deadline, b.deadline))
	})
}

// leastUrgent returns the index of the request that is displaced first.
func (q *queue) leastUrgent() int {
	q.sort()
	return len(q.waiting) - 1
}

func (q *queue) endOf(w *waiter, end WaitEnd) {
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.end(i, end)
	}
}

// end ends the wait of the request at an index.
func (q *queue) end(i int, end WaitEnd) {
	w := q.waiting[i]
	q.waiting = slices.Delete(q.waiting, i, i+1)
	q.ended[w.ticket] = end
	if end == WaitReleased {
		q.released[w.Group]++
	}
}
