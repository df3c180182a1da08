package router

import (
	"context"
	"sync"

	"foxtailbridge/policy/admission"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
)

const (
	queueTickPeriod = 50 * clock.Millis(1)
	// limitHeadroom is the factor by which an instance may exceed its equal
	// share of the slots, since callers are distributed unevenly over the
	// instances.
	limitHeadroom = 1.25
	minLimit      = 8
)

// inFlightLimit returns the limit on in-flight requests of one instance, given
// the total slots of the engines and the number of instances.
func inFlightLimit(slots, instances int) int {
	return max(minLimit, int(limitHeadroom*float64(slots)/float64(max(1, instances))))
}

// admissionQueue blocks requests until an admission.Limiter admits or sheds them.
type admissionQueue struct {
	clock *clock.Clock

	mu      sync.Mutex
	limiter *admission.Limiter
	waiters map[admission.RequestID]chan *admission.Shed
	next    admission.RequestID
}

func newQueue(c *clock.Clock) *admissionQueue {
	return &admissionQueue{clock: c, limiter: admission.New(), waiters: map[admission.RequestID]chan *admission.Shed{}}
}

func (q *admissionQueue) setLimit(limit int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.SetLimit(limit)
}

// admissionSlot is held by an admitted request until it calls release.
type admissionSlot struct {
	workspace ticket.WorkspaceName
	startedAt clock.Millis
}

// acquire waits until the request is admitted. If it is shed instead, it returns
// the reason.
func (q *admissionQueue) acquire(ctx context.Context, w *ticket.Workspace, deadline clock.Millis) (*admissionSlot, *admission.Shed) {
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
	q.notifyShed(decision.Shed)
	if decision.Verdict == admission.VerdictStart {
		q.mu.Unlock()
		return q.newSlot(w), nil
	}
	result := make(chan *admission.Shed, 1)
	q.waiters[item.ID] = result
	q.mu.Unlock()
	select {
	case shed := <-result:
		return q.admit(w, shed)
	case <-ctx.Done():
		return q.abandon(w, item.ID, result)
	}
}

func (q *admissionQueue) newSlot(w *ticket.Workspace) *admissionSlot {
	return &admissionSlot{workspace: w.Name, startedAt: q.clock.Mono()}
}

func (q *admissionQueue) admit(w *ticket.Workspace, shed *admission.Shed) (*admissionSlot, *admission.Shed) {
	if shed != nil {
		return nil, shed
	}
	return q.newSlot(w), nil
}

// abandon removes a canceled request from the queue. If the limiter decided on
// the request concurrently, that decision is returned.
func (q *admissionQueue) abandon(w *ticket.Workspace, id admission.RequestID, result chan *admission.Shed) (*admissionSlot, *admission.Shed) {
	q.mu.Lock()
	removed := q.limiter.Cancel(id)
	delete(q.waiters, id)
	q.mu.Unlock()
	if removed {
		return nil, &admission.Shed{ID: id, Reason: admission.ReasonExpired}
	}
	return q.admit(w, <-result)
}

func (q *admissionQueue) release(slot *admissionSlot) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.Finish(slot.workspace, q.clock.Mono()-slot.startedAt)
	q.admitNext()
}

// recordFirstToken reports a request's time to first token to the limiter.
func (q *admissionQueue) recordFirstToken(slot *admissionSlot) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.RecordFirstToken(q.clock.Mono() - slot.startedAt)
}

func (q *admissionQueue) tick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.admitNext()
}

// admitNext admits queued requests up to the limit and notifies those that are
// shed. The caller holds q.mu.
func (q *admissionQueue) admitNext() {
	started, dropped := q.limiter.StartWaiting(q.clock.Mono())
	q.notifyShed(dropped)
	for _, id := range started {
		q.notify(id, nil)
	}
}

func (q *admissionQueue) notifyShed(dropped []admission.Shed) {
	for i := range dropped {
		q.notify(dropped[i].ID, &dropped[i])
	}
}

func (q *admissionQueue) notify(id admission.RequestID, shed *admission.Shed) {
	if result, ok := q.waiters[id]; ok {
		result <- shed
		delete(q.waiters, id)
	}
}
