package router

import (
	"context"
	"sync"

	"foxtailbridge/policy/admission"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
)

const (
	queueTick = 50 * clock.Millis(1)
	// limitHeadroom is how much more than its part of the slots an instance
	// may use, since callers spread unevenly over the instances.
	limitHeadroom = 1.25
	minLimit      = 8
)

// limitFor returns the number of requests in flight for one of several instances.
func limitFor(slots, instances int) int {
	return max(minLimit, int(limitHeadroom*float64(slots)/float64(max(1, instances))))
}

// queue lets requests wait for an admission.Limiter.
type queue struct {
	clock *clock.Clock

	mu      sync.Mutex
	limiter *admission.Limiter
	waiting map[admission.RequestID]chan *admission.Shed
	next    admission.RequestID
}

func newQueue(c *clock.Clock) *queue {
	return &queue{clock: c, limiter: admission.New(), waiting: map[admission.RequestID]chan *admission.Shed{}}
}

func (q *queue) setLimit(limit int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.SetLimit(limit)
}

// place is a request's admission, to be given back with leave.
type place struct {
	workspace ticket.WorkspaceName
	began     clock.Millis
}

// enter waits until the request may start; otherwise it returns why it is shed.
func (q *queue) enter(ctx context.Context, w *ticket.Workspace, deadline clock.Millis) (*place, *admission.Shed) {
	q.mu.Lock()
	q.next++
	item := admission.Request{
		ID: q.next, Workspace: w.Name, Priority: w.Priority, Share: w.Share,
		MaxInFlight: w.MaxInFlight, Deadline: deadline,
	}
	decision := q.limiter.Offer(item, q.clock.Mono())
	if decision.Verdict == admission.VerdictShed {
		q.mu.Unlock()
		return nil, &decision.Shed[0]
	}
	q.drop(decision.Shed)
	if decision.Verdict == admission.VerdictStart {
		q.mu.Unlock()
		return q.placeOf(w), nil
	}
	result := make(chan *admission.Shed, 1)
	q.waiting[item.ID] = result
	q.mu.Unlock()
	select {
	case shed := <-result:
		return q.started(w, shed)
	case <-ctx.Done():
		return q.abandon(w, item.ID, result)
	}
}

func (q *queue) placeOf(w *ticket.Workspace) *place {
	return &place{workspace: w.Name, began: q.clock.Mono()}
}

func (q *queue) started(w *ticket.Workspace, shed *admission.Shed) (*place, *admission.Shed) {
	if shed != nil {
		return nil, shed
	}
	return q.placeOf(w), nil
}

// abandon leaves the queue, or keeps the place if it was given at the same time.
func (q *queue) abandon(w *ticket.Workspace, id admission.RequestID, result chan *admission.Shed) (*place, *admission.Shed) {
	q.mu.Lock()
	removed := q.limiter.Cancel(id)
	delete(q.waiting, id)
	q.mu.Unlock()
	if removed {
		return nil, &admission.Shed{ID: id, Reason: admission.ReasonExpired}
	}
	return q.started(w, <-result)
}

func (q *queue) leave(p *place) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.Finish(p.workspace, q.clock.Mono()-p.began)
	q.advance()
}

// begun notes the first token of a request.
func (q *queue) begun(p *place) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.RecordFirstToken(q.clock.Mono() - p.began)
}

func (q *queue) tick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance()
}

// advance starts what there is room for; the caller holds the lock.
func (q *queue) advance() {
	started, dropped := q.limiter.StartWaiting(q.clock.Mono())
	q.drop(dropped)
	for _, id := range started {
		q.resolve(id, nil)
	}
}

func (q *queue) drop(dropped []admission.Shed) {
	for i := range dropped {
		q.resolve(dropped[i].ID, &dropped[i])
	}
}

func (q *queue) resolve(id admission.RequestID, shed *admission.Shed) {
	if result, ok := q.waiting[id]; ok {
		result <- shed
		delete(q.waiting, id)
	}
}
