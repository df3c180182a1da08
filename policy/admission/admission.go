package admission

import (
	"slices"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
)

// RequestID identifies one waiting request on one instance.
type RequestID uint64

// Request is a request that asks to start.
type Request struct {
	ID        RequestID
	Workspace ticket.WorkspaceName
	Priority  ticket.Priority
	// Share is the workspace's weight among those of the same priority.
	Share int
	// MaxInFlight bounds the workspace's own requests.
	MaxInFlight int
	// Deadline is when the request must have its first token.
	Deadline clock.Millis
}

// Verdict is the outcome of an offer.
type Verdict string

// Verdicts.
const (
	VerdictStart Verdict = "start"
	VerdictQueue Verdict = "queue"
	VerdictShed  Verdict = "shed"
)

// Reason explains why a request is shed.
type Reason string

// Reasons to shed.
const (
	ReasonDeadline  Reason = "deadline-out-of-reach"
	ReasonQueueFull Reason = "queue-full"
	ReasonEvicted   Reason = "yielded-to-urgent"
	ReasonExpired   Reason = "deadline-passed"
)

// Shed is a request that leaves the queue without having run.
type Shed struct {
	ID     RequestID
	Reason Reason
	// RetryAfter estimates when a retry could start.
	RetryAfter clock.Millis
}

// Decision is the answer to an offer.
type Decision struct {
	Verdict Verdict
	// Shed holds the offered request if it is shed, and any that yields to it.
	Shed []Shed
}

const (
	// DefaultLimit is the limit until SetLimit is called.
	DefaultLimit = 64
	// DefaultQueueSize bounds the waiting requests of an instance.
	DefaultQueueSize = 2048
	// reservedTurn lets the lowest waiting priority start once in so many turns.
	reservedTurn = 16
	// spanWeight is the weight of a new observation in the mean service time.
	spanWeight  = 0.05
	initialSpan = float64(clock.Second)
	// firstMargin is how many mean times to the first token a request must
	// still have when it starts.
	firstMargin = 3
)

// ceilings are the shares of the limit up to which each priority may fill it
// while urgent requests come in, so that those find room at once.
var ceilings = map[ticket.Priority]float64{
	ticket.PriorityUrgent:     1,
	ticket.PriorityNormal:     0.85,
	ticket.PriorityDeferrable: 0.62,
}

// urgentMemory is how long room is kept free after the last urgent request.
const urgentMemory = clock.Minute

var order = []ticket.Priority{ticket.PriorityUrgent, ticket.PriorityNormal, ticket.PriorityDeferrable}

// Limiter admits requests; it is not safe for concurrent use.
type Limiter struct {
	limit    int
	maxQueue int
	inFlight int
	running  map[ticket.WorkspaceName]int
	queues   map[ticket.Priority][]Request
	queued   int
	turns    int
	span     float64
	// first is the mean time from the start to the first token.
	first float64
	now   clock.Millis
	// lastUrgent is when the last urgent request came in.
	lastUrgent clock.Millis
}

// New returns a Limiter.
func New(opts ...Option) *Limiter {
	l := &Limiter{
		limit:    DefaultLimit,
		maxQueue: DefaultQueueSize,
		running:  map[ticket.WorkspaceName]int{},
		queues:   map[ticket.Priority][]Request{},
		span:     initialSpan,

		lastUrgent: -urgentMemory,
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Option changes a Limiter.
type Option func(*Limiter)

// WithLimit sets the number of requests in flight.
func WithLimit(limit int) Option {
	return func(l *Limiter) { l.limit = limit }
}

// WithQueueSize sets the number of waiting requests.
func WithQueueSize(size int) Option {
	return func(l *Limiter) { l.maxQueue = size }
}

// SetLimit changes the number of requests in flight, at least 1.
func (l *Limiter) SetLimit(limit int) {
	l.limit = max(1, limit)
}

// InFlight returns the number of started requests.
func (l *Limiter) InFlight() int {
	return l.inFlight
}

// Queued returns the number of waiting requests.
func (l *Limiter) Queued() int {
	return l.queued
}

// Offer starts, queues or sheds a request.
func (l *Limiter) Offer(item Request, now clock.Millis) Decision {
	l.now = now
	if item.Priority == ticket.PriorityUrgent {
		l.lastUrgent = now
	}
	if l.startable(&item) && l.ahead(item.Priority) == 0 {
		l.start(&item)
		return Decision{Verdict: VerdictStart}
	}
	wait := l.wait(item.Priority)
	if now+wait > l.latestStart(&item) {
		return shed(item.ID, ReasonDeadline, wait)
	}
	decision := Decision{Verdict: VerdictQueue}
	if l.queued >= l.maxQueue {
		victim, ok := l.evict(item.Priority)
		if !ok {
			return shed(item.ID, ReasonQueueFull, wait)
		}
		decision.Shed = []Shed{{ID: victim.ID, Reason: ReasonEvicted, RetryAfter: wait}}
	}
	l.queues[item.Priority] = append(l.queues[item.Priority], item)
	l.queued++
	return decision
}

func shed(id RequestID, reason Reason, wait clock.Millis) Decision {
	return Decision{Verdict: VerdictShed, Shed: []Shed{{ID: id, Reason: reason, RetryAfter: wait}}}
}

// Finish frees the place of a started request that took the given span.
func (l *Limiter) Finish(workspace ticket.WorkspaceName, span clock.Millis) {
	l.inFlight--
	l.running[workspace]--
	if l.running[workspace] <= 0 {
		delete(l.running, workspace)
	}
	l.span += spanWeight * (float64(span) - l.span)
}

// RecordFirstToken notes that a started request had its first token after the given span.
func (l *Limiter) RecordFirstToken(span clock.Millis) {
	l.first += spanWeight * (float64(span) - l.first)
}

// latestStart is when a request must start to have its first token in time.
func (l *Limiter) latestStart(item *Request) clock.Millis {
	return item.Deadline - clock.Millis(firstMargin*l.first)
}

// Cancel removes a waiting request and reports whether it was waiting.
func (l *Limiter) Cancel(id RequestID) bool {
	for _, priority := range order {
		queue := l.queues[priority]
		at := slices.IndexFunc(queue, func(item Request) bool { return item.ID == id })
		if at >= 0 {
			l.remove(priority, at)
			return true
		}
	}
	return false
}

// StartWaiting starts as many waiting requests as there is room for, and sheds those
// whose deadline has passed.
func (l *Limiter) StartWaiting(now clock.Millis) (started []RequestID, dropped []Shed) {
	l.now = now
	dropped = l.expire(now)
	for {
		priority, at, ok := l.pick()
		if !ok {
			break
		}
		l.turns++
		item := l.remove(priority, at)
		l.start(&item)
		started = append(started, item.ID)
	}
	return started, dropped
}

func (l *Limiter) startable(item *Request) bool {
	return l.room(item.Priority) && l.running[item.Workspace] < item.MaxInFlight
}

// room reports whether a request of the priority may be added.
func (l *Limiter) room(priority ticket.Priority) bool {
	if l.now-l.lastUrgent >= urgentMemory {
		return l.inFlight < l.limit
	}
	ceiling := max(1, int(ceilings[priority]*float64(l.limit)))
	return l.inFlight < ceiling
}

func (l *Limiter) start(item *Request) {
	l.inFlight++
	l.running[item.Workspace]++
}

// ahead counts the waiting requests of the same or a higher priority.
func (l *Limiter) ahead(priority ticket.Priority) int {
	count := 0
	for _, p := range order {
		count += len(l.queues[p])
		if p == priority {
			break
		}
	}
	return count
}

// wait estimates the time until a new request of the priority would start.
func (l *Limiter) wait(priority ticket.Priority) clock.Millis {
	ahead := l.ahead(priority) + 1
	return clock.Millis(l.span * float64(ahead) / float64(l.limit))
}

// evict removes the youngest request of the lowest priority below the given one.
func (l *Limiter) evict(above ticket.Priority) (Request, bool) {
	for i := len(order) - 1; i >= 0 && order[i] != above; i-- {
		if last := len(l.queues[order[i]]) - 1; last >= 0 {
			return l.remove(order[i], last), true
		}
	}
	return Request{}, false
}

func (l *Limiter) remove(priority ticket.Priority, at int) Request {
	item := l.queues[priority][at]
	l.queues[priority] = slices.Delete(l.queues[priority], at, at+1)
	l.queued--
	return item
}

func (l *Limiter) expire(now clock.Millis) []Shed {
	var dropped []Shed
	for _, priority := range order {
		queue := l.queues[priority]
		kept := slices.DeleteFunc(queue, func(item Request) bool {
			if l.latestStart(&item) >= now {
				return false
			}
			dropped = append(dropped, Shed{ID: item.ID, Reason: ReasonExpired, RetryAfter: l.wait(priority)})
			return true
		})
		l.queued -= len(queue) - len(kept)
		l.queues[priority] = kept
	}
	return dropped
}

// pick returns the next request to start: of the highest priority that waits,
// or on a reserved turn of the lowest, the oldest of the workspace that has
// least in flight for its share.
func (l *Limiter) pick() (ticket.Priority, int, bool) {
	if l.turns%reservedTurn == reservedTurn-1 {
		for i := len(order) - 1; i >= 0; i-- {
			if at, ok := l.fairest(order[i]); ok {
				return order[i], at, true
			}
		}
		return "", 0, false
	}
	for _, priority := range order {
		if at, ok := l.fairest(priority); ok {
			return priority, at, true
		}
	}
	return "", 0, false
}

func (l *Limiter) fairest(priority ticket.Priority) (int, bool) {
	if !l.room(priority) {
		return -1, false
	}
	best := -1
	var bestUse float64
	seen := map[ticket.WorkspaceName]bool{}
	for at, item := range l.queues[priority] {
		if seen[item.Workspace] {
			continue
		}
		seen[item.Workspace] = true
		if l.running[item.Workspace] >= item.MaxInFlight {
			continue
		}
		use := float64(l.running[item.Workspace]) / float64(max(1, item.Share))
		if best < 0 || use < bestUse {
			best, bestUse = at, use
		}
	}
	return best, best >= 0
}
