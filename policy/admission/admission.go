package admission

import (
	"slices"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
)

// RequestID identifies a request on one instance.
type RequestID uint64

// Request is a request offered for admission.
type Request struct {
	ID        RequestID
	Workspace ticket.WorkspaceName
	Priority  ticket.Priority
	// Share is the workspace's weight among the workspaces of the same priority.
	Share int
	// MaxInFlight bounds the workspace's requests in flight.
	MaxInFlight int
	// Deadline is the latest time for the first token.
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

// Reason is the reason why a request is shed.
type Reason string

// Reasons why a request is shed.
const (
	ReasonDeadline  Reason = "deadline-out-of-reach"
	ReasonQueueFull Reason = "queue-full"
	ReasonEvicted   Reason = "yielded-to-urgent"
	ReasonExpired   Reason = "deadline-passed"
)

// Shed is a request that was rejected or removed from the queue without having run.
type Shed struct {
	ID     RequestID
	Reason Reason
	// RetryAfter estimates when a retry could start.
	RetryAfter clock.Millis
}

// Decision is the result of an offer.
type Decision struct {
	Verdict Verdict
	// Shed holds the offered request if it is shed, or the request evicted from the
	// queue in its favor.
	Shed []Shed
}

const (
	// DefaultLimit is the default limit of requests in flight.
	DefaultLimit = 64
	// DefaultQueueSize is the default limit of waiting requests of an instance.
	DefaultQueueSize = 2048
	// reservedTurnInterval is the number of turns of which one is reserved for the
	// lowest waiting priority, to prevent starvation.
	reservedTurnInterval = 16
	// averageWeight is the weight of a new observation in the exponential moving
	// averages.
	averageWeight      = 0.05
	initialServiceTime = float64(clock.Second)
	// firstTokenMargin is the multiple of the mean time to first token that a request
	// must have left before its deadline when it starts.
	firstTokenMargin = 3
)

// limitShares are the shares of the limit that requests of each priority may fill
// while urgent requests arrive, so that urgent requests can start immediately.
var limitShares = map[ticket.Priority]float64{
	ticket.PriorityUrgent:     1,
	ticket.PriorityNormal:     0.85,
	ticket.PriorityDeferrable: 0.62,
}

// urgentReserveTTL is how long limitShares apply after the last urgent request.
const urgentReserveTTL = clock.Minute

var priorities = []ticket.Priority{ticket.PriorityUrgent, ticket.PriorityNormal, ticket.PriorityDeferrable}

// Limiter admits, queues and sheds requests. It is not safe for concurrent use.
type Limiter struct {
	limit           int
	maxQueue        int
	inFlight        int
	running         map[ticket.WorkspaceName]int
	queues          map[ticket.Priority][]Request
	queued          int
	turns           int
	meanServiceTime float64
	// meanFirstToken is the mean time from start to first token.
	meanFirstToken float64
	now            clock.Millis
	// lastUrgent is the time of the last urgent offer.
	lastUrgent clock.Millis
}

// New returns a Limiter.
func New(opts ...Option) *Limiter {
	l := &Limiter{
		limit:           DefaultLimit,
		maxQueue:        DefaultQueueSize,
		running:         map[ticket.WorkspaceName]int{},
		queues:          map[ticket.Priority][]Request{},
		meanServiceTime: initialServiceTime,

		lastUrgent: -urgentReserveTTL,
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Option configures a Limiter.
type Option func(*Limiter)

// WithLimit sets the limit of requests in flight.
func WithLimit(limit int) Option {
	return func(l *Limiter) { l.limit = limit }
}

// WithQueueSize sets the limit of waiting requests.
func WithQueueSize(size int) Option {
	return func(l *Limiter) { l.maxQueue = size }
}

// SetLimit changes the limit of requests in flight, which is at least 1.
func (l *Limiter) SetLimit(limit int) {
	l.limit = max(1, limit)
}

// InFlight returns the number of requests in flight.
func (l *Limiter) InFlight() int {
	return l.inFlight
}

// Queued returns the number of waiting requests.
func (l *Limiter) Queued() int {
	return l.queued
}

// Offer starts, queues or sheds a request.
func (l *Limiter) Offer(request Request, now clock.Millis) Decision {
	l.now = now
	if request.Priority == ticket.PriorityUrgent {
		l.lastUrgent = now
	}
	if l.canStart(&request) && l.countAhead(request.Priority) == 0 {
		l.start(&request)
		return Decision{Verdict: VerdictStart}
	}
	wait := l.estimateWait(request.Priority)
	if now+wait > l.latestStart(&request) {
		return shed(request.ID, ReasonDeadline, wait)
	}
	decision := Decision{Verdict: VerdictQueue}
	if l.queued >= l.maxQueue {
		victim, ok := l.evict(request.Priority)
		if !ok {
			return shed(request.ID, ReasonQueueFull, wait)
		}
		decision.Shed = []Shed{{ID: victim.ID, Reason: ReasonEvicted, RetryAfter: wait}}
	}
	l.queues[request.Priority] = append(l.queues[request.Priority], request)
	l.queued++
	return decision
}

// shed returns the decision to shed the offered request.
func shed(id RequestID, reason Reason, retryAfter clock.Millis) Decision {
	return Decision{Verdict: VerdictShed, Shed: []Shed{{ID: id, Reason: reason, RetryAfter: retryAfter}}}
}

// Finish records that a started request of the workspace ended after the given
// service time, and frees its slot.
func (l *Limiter) Finish(workspace ticket.WorkspaceName, serviceTime clock.Millis) {
	l.inFlight--
	l.running[workspace]--
	if l.running[workspace] <= 0 {
		delete(l.running, workspace)
	}
	l.meanServiceTime += averageWeight * (float64(serviceTime) - l.meanServiceTime)
}

// RecordFirstToken records the time from start to first token of a started request.
func (l *Limiter) RecordFirstToken(timeToFirstToken clock.Millis) {
	l.meanFirstToken += averageWeight * (float64(timeToFirstToken) - l.meanFirstToken)
}

// latestStart returns the latest time at which a request can start and still be
// expected to get its first token by its deadline.
func (l *Limiter) latestStart(request *Request) clock.Millis {
	return request.Deadline - clock.Millis(firstTokenMargin*l.meanFirstToken)
}

// Cancel removes a waiting request and reports whether it was waiting.
func (l *Limiter) Cancel(id RequestID) bool {
	for _, priority := range priorities {
		queue := l.queues[priority]
		index := slices.IndexFunc(queue, func(request Request) bool { return request.ID == id })
		if index >= 0 {
			l.remove(priority, index)
			return true
		}
	}
	return false
}

// StartWaiting sheds the waiting requests that can no longer meet their deadline,
// and starts as many of the others as there is capacity for.
func (l *Limiter) StartWaiting(now clock.Millis) (started []RequestID, dropped []Shed) {
	l.now = now
	dropped = l.expire(now)
	for {
		priority, index, ok := l.pickNext()
		if !ok {
			break
		}
		l.turns++
		request := l.remove(priority, index)
		l.start(&request)
		started = append(started, request.ID)
	}
	return started, dropped
}

// canStart reports whether the limits of the instance and the workspace allow the
// request to start.
func (l *Limiter) canStart(request *Request) bool {
	return l.hasCapacity(request.Priority) && l.running[request.Workspace] < request.MaxInFlight
}

// hasCapacity reports whether another request of the priority may be in flight.
func (l *Limiter) hasCapacity(priority ticket.Priority) bool {
	if l.now-l.lastUrgent >= urgentReserveTTL {
		return l.inFlight < l.limit
	}
	ceiling := max(1, int(limitShares[priority]*float64(l.limit)))
	return l.inFlight < ceiling
}

func (l *Limiter) start(request *Request) {
	l.inFlight++
	l.running[request.Workspace]++
}

// countAhead counts the waiting requests of the same or a higher priority.
func (l *Limiter) countAhead(priority ticket.Priority) int {
	count := 0
	for _, p := range priorities {
		count += len(l.queues[p])
		if p == priority {
			break
		}
	}
	return count
}

// estimateWait estimates the time until a new request of the priority would start.
func (l *Limiter) estimateWait(priority ticket.Priority) clock.Millis {
	ahead := l.countAhead(priority) + 1
	return clock.Millis(l.meanServiceTime * float64(ahead) / float64(l.limit))
}

// evict removes the newest waiting request of the lowest priority below the given one.
func (l *Limiter) evict(above ticket.Priority) (Request, bool) {
	for i := len(priorities) - 1; i >= 0 && priorities[i] != above; i-- {
		if last := len(l.queues[priorities[i]]) - 1; last >= 0 {
			return l.remove(priorities[i], last), true
		}
	}
	return Request{}, false
}

func (l *Limiter) remove(priority ticket.Priority, index int) Request {
	request := l.queues[priority][index]
	l.queues[priority] = slices.Delete(l.queues[priority], index, index+1)
	l.queued--
	return request
}

// expire removes and returns the waiting requests that can no longer meet their deadline.
func (l *Limiter) expire(now clock.Millis) []Shed {
	var dropped []Shed
	for _, priority := range priorities {
		queue := l.queues[priority]
		remaining := slices.DeleteFunc(queue, func(request Request) bool {
			if l.latestStart(&request) >= now {
				return false
			}
			dropped = append(dropped, Shed{ID: request.ID, Reason: ReasonExpired, RetryAfter: l.estimateWait(priority)})
			return true
		})
		l.queued -= len(queue) - len(remaining)
		l.queues[priority] = remaining
	}
	return dropped
}

// pickNext returns the priority and queue index of the next request to start. It
// takes the highest priority with a startable request, or the lowest on a reserved
// turn.
func (l *Limiter) pickNext() (ticket.Priority, int, bool) {
	if l.turns%reservedTurnInterval == reservedTurnInterval-1 {
		for i := len(priorities) - 1; i >= 0; i-- {
			if index, ok := l.pickFair(priorities[i]); ok {
				return priorities[i], index, true
			}
		}
		return "", 0, false
	}
	for _, priority := range priorities {
		if index, ok := l.pickFair(priority); ok {
			return priority, index, true
		}
	}
	return "", 0, false
}

// pickFair returns the queue index of the oldest request of the workspace with the
// fewest requests in flight relative to its share.
func (l *Limiter) pickFair(priority ticket.Priority) (int, bool) {
	if !l.hasCapacity(priority) {
		return -1, false
	}
	best := -1
	var bestUsage float64
	seen := map[ticket.WorkspaceName]bool{}
	for index, request := range l.queues[priority] {
		if seen[request.Workspace] {
			continue
		}
		seen[request.Workspace] = true
		if l.running[request.Workspace] >= request.MaxInFlight {
			continue
		}
		usage := float64(l.running[request.Workspace]) / float64(max(1, request.Share))
		if best < 0 || usage < bestUsage {
			best, bestUsage = index, usage
		}
	}
	return best, best >= 0
}
