package forward

import (
	"context"
	"net/http"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fairshare"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// waitStopped is the end of a wait because the instance stops, and waitCanceled because the
// request's context is done.
const (
	waitStopped  fairshare.WaitEnd = "stopped"
	waitCanceled fairshare.WaitEnd = "canceled"
)

// StopQueues refuses the requests that wait for capacity, and lets no further ones wait, as the
// instance is about to stop and others can serve them.
func (f *Forwarder) StopQueues() {
	n := f.fairness.waiting()
	f.fairness.stop()
	f.logger.Info("queues-stopped", "requests", n)
}

// waiting returns the number of requests that wait for capacity.
func (f *fairness) waiting() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.services {
		n += s.Waiting()
	}
	return n
}

// wait puts a request into its service's queue and returns when its wait has ended. It returns ""
// at once if the request can't be served in time.
func (f *fairness) wait(ctx context.Context, name ticket.ServiceName, r fairshare.Request, admitted bool, need clock.Millis, capacity func() fairshare.Capacity, instances int) fairshare.WaitEnd {
	now := func() fairshare.Time { return fairshare.Time{Now: f.clock.Mono(), Wall: f.clock.Wall()} }
	if f.stopping.Err() != nil {
		return ""
	}
	c := capacity()
	f.mu.Lock()
	s := f.service(name)
	place, ok := s.Wait(r, c, instances, now(), need, admitted)
	f.mu.Unlock()
	if !ok {
		return ""
	}
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		s.Leave(place)
	}()
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(f.stopping, cancel)()
	for f.clock.Sleep(waitCtx, fairshare.PollPeriod) == nil {
		f.mu.Lock()
		end := s.Poll(place, capacity, instances, now())
		f.mu.Unlock()
		if end != "" {
			return end
		}
	}
	if ctx.Err() != nil {
		return waitCanceled
	}
	return waitStopped
}

// awaitCapacity waits until the request may take capacity, and returns true then. If it returns
// false, the request ends with the returned Result if that has a reason; else the request did not
// wait, as it could not be served in time, or waited in vain.
func (t *task) awaitCapacity(ctx context.Context, admitted bool) (Result, bool) {
	if t.waited >= fairshare.MaxWait {
		return Result{}, false
	}
	start, c := t.clock.Mono(), t.capacity()
	need := max(minAttemptTime, c.SlotTime, t.delays.Expected(t.route.Name, t.model))
	end := t.fairness.wait(ctx, t.service.Name, t.fairRequest(), admitted, need, t.capacity, t.deps.Relay.InstanceCount())
	if end == "" {
		return Result{}, false
	}
	t.waitEnd = end
	t.waited += t.clock.Mono() - start
	t.deps.Scope.Tagged(map[string]string{"end": string(end)}).Counter("waits").Inc(1)
	t.deps.Scope.Histogram("waited", latencyBuckets).RecordDuration((t.clock.Mono() - start).Duration())
	switch end {
	case fairshare.WaitReleased:
		return Result{}, true
	case waitCanceled:
		return t.canceled(ctx), false
	case waitStopped:
		return localReply(http.StatusServiceUnavailable, ReasonShutdown, ShutdownRetryAfter), false
	}
	return Result{}, false
}

// mayWait reports whether a request that found no endpoint may wait for one: nothing has been
// sent, and endpoints are full. The reason of the choice is that of a single endpoint.
func (t *task) mayWait(ctx context.Context, choice placement.Choice) bool {
	return ctx.Err() == nil && choice.State == nil && choice.Rejections[routing.ReasonFull] > 0 && t.sends == 0 && t.unsent == 0 && !t.headSent
}
