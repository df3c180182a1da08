package socket

import (
	"context"
	"errors"
	"net"
	"slices"

	"foxtailbridge/policy/budget"
)

// RequestBudget accounts for the memory of the request that a connection serves. One without a
// bounded connection has no limits.
type RequestBudget struct {
	conn *trackedConn
}

type budgetKey struct{}

// ConnContext adds the connection's RequestBudget to a context; use it as
// http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if tc, ok := conn.(*trackedConn); ok && tc.tracker.bounds.Budget != nil {
		return context.WithValue(ctx, budgetKey{}, RequestBudget{tc})
	}
	return ctx
}

// RequestBudgetOf returns the RequestBudget of a request's context.
func RequestBudgetOf(ctx context.Context) RequestBudget {
	b, _ := ctx.Value(budgetKey{}).(RequestBudget) // Without one there are no limits.
	return b
}

// locked calls f with the tracker's lock held, and returns true without a bounded connection.
func (r RequestBudget) locked(f func(tc *trackedConn, b *budget.Budget) bool) bool {
	if r.conn == nil {
		return true
	}
	r.conn.tracker.mu.Lock()
	defer r.conn.tracker.mu.Unlock()
	return f(r.conn, r.conn.tracker.bounds.Budget)
}

// Reserve reserves memory for the request, until its end; it returns false if there is no room.
func (r RequestBudget) Reserve(n int) bool {
	return r.locked(func(tc *trackedConn, _ *budget.Budget) bool { return tc.reserve(budget.Bytes(n)) })
}

// Release releases a part of what was reserved.
func (r RequestBudget) Release(n int) {
	r.locked(func(tc *trackedConn, b *budget.Budget) bool {
		b.Release(&tc.bounded.reservation, budget.Bytes(n))
		return true
	})
}

// ReserveResponse reserves memory for the response, until its end. It waits for room until ctx is
// done, and returns false if there is none.
func (r RequestBudget) ReserveResponse(ctx context.Context, n int) bool {
	waiter := &responseWaiter{n: budget.Bytes(n), granted: make(chan struct{})}
	reserved := r.locked(func(tc *trackedConn, b *budget.Budget) bool {
		if b.ReserveResponse(&tc.bounded.reservation, waiter.n, tc.tracker.bounds.Now()) {
			return true
		}
		waiter.reservation = &tc.bounded.reservation
		tc.tracker.waiters = append(tc.tracker.waiters, waiter)
		return false
	})
	if reserved {
		return true
	}
	select {
	case <-waiter.granted:
		return true
	case <-ctx.Done():
	}
	return r.locked(func(tc *trackedConn, _ *budget.Budget) bool {
		select {
		case <-waiter.granted: // Meanwhile.
			return true
		default:
		}
		c := tc.tracker
		c.waiters = slices.DeleteFunc(c.waiters, func(w *responseWaiter) bool { return w == waiter })
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.closes[CloseNoRoom]++
		}
		return false
	})
}

// ReleaseResponse releases a part of what was reserved for the response.
func (r RequestBudget) ReleaseResponse(n int) {
	r.locked(func(tc *trackedConn, b *budget.Budget) bool {
		b.ReleaseResponse(&tc.bounded.reservation, budget.Bytes(n))
		return true
	})
}

// responseWaiter is a response that waits for room.
type responseWaiter struct {
	reservation *budget.Reservation
	n           budget.Bytes
	// granted is closed once the memory is reserved.
	granted chan struct{}
}

// grantResponses reserves memory for the responses that wait for it, the oldest first, as far as
// there is room. The caller holds the lock.
func (c *ConnTracker) grantResponses() {
	c.waiters = slices.DeleteFunc(c.waiters, func(w *responseWaiter) bool {
		if !c.bounds.Budget.ReserveResponse(w.reservation, w.n, c.bounds.Now()) {
			return false
		}
		close(w.granted)
		return true
	})
}

// BeginBody marks that the handler reads the body, so that a read that is ended for lack of
// room fails with os.ErrDeadlineExceeded.
func (r RequestBudget) BeginBody() { r.setReadsBody(true) }

// EndBody marks that the handler doesn't read the body any more.
func (r RequestBudget) EndBody() { r.setReadsBody(false) }

func (r RequestBudget) setReadsBody(reads bool) {
	r.locked(func(tc *trackedConn, _ *budget.Budget) bool {
		tc.bounded.readsBody = reads
		return true
	})
}

// Forward marks that the request is about to be forwarded. It returns false if it must not be.
func (r RequestBudget) Forward() bool {
	return r.locked(func(tc *trackedConn, b *budget.Budget) bool {
		victims, ok := b.Forward(&tc.bounded.reservation, forwardBytes, tc.tracker.bounds.Now())
		tc.tracker.evict(victims)
		if !ok && !tc.evicted() {
			tc.tracker.closes[CloseNoRoom]++
		}
		return ok
	})
}

// Refuse marks that a request was not sent to an endpoint after Forward and is refused.
func (r RequestBudget) Refuse() {
	r.locked(func(tc *trackedConn, b *budget.Budget) bool {
		b.Refuse(&tc.bounded.reservation, tc.tracker.bounds.Now())
		return true
	})
}

// StopReading makes every further read of the connection fail, and releases what the request has
// reserved. The server has to close the connection after the response.
func (r RequestBudget) StopReading() {
	r.locked(func(tc *trackedConn, b *budget.Budget) bool {
		tc.stopReading()
		b.Stop(&tc.bounded.reservation, tc.tracker.bounds.Now())
		return true
	})
}
