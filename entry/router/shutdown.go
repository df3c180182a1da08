package router

import (
	"context"
	"errors"

	"foxtailbridge/link/caller"
	"foxtailbridge/policy/claim"
	"foxtailbridge/policy/clock"
)

// errShutdown is the cause with which StopWaiting cancels the contexts of requests.
var errShutdown = errors.New("this instance is shutting down")

// StopWaiting ends the wait of all requests that outlasted the drain, so that their callers get
// a response with the outcome while the process still runs.
func (r *Router) StopWaiting() {
	r.stopWaiting()
}

// untilStopped returns a context that StopWaiting cancels, and a function that releases it.
func (r *Router) untilStopped(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	release := context.AfterFunc(r.waiting, func() { cancel(errShutdown) })
	return ctx, func() {
		release()
		cancel(nil)
	}
}

// isStopped reports whether StopWaiting canceled the context.
func isStopped(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errShutdown)
}

// interruptedProblem returns the problem for a request whose context is done: its caller
// disconnected, or the instance shuts down.
func interruptedProblem(ctx context.Context, id claim.RequestID, outcome claim.State) *caller.Problem {
	if isStopped(ctx) {
		return unavailableProblem(id, caller.CodeDraining, outcome, errShutdown.Error(), clock.Second)
	}
	return newProblem(id, statusClientClosed, caller.CodeCanceled, claim.StateUnknown, "the caller went away", 0)
}
