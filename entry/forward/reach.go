package forward

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fairshare"
	"foxtailbridge/policy/fault"
	"foxtailbridge/policy/readiness"
	"foxtailbridge/policy/ticket"
)

const (
	// reachPeriod is how often the reach of the endpoints is checked without a request that asks
	// for it: some times in the second of evidence that a change takes.
	reachPeriod = 200 * clock.Millis(1)
	// probePeriod is how often one endpoint of each zone is probed while a service is unservable.
	probePeriod = clock.Second
	// firstProbePeriod is the least time from the last probe to the first one of a service that has
	// just become unservable, so that its result arrives within the second of evidence.
	firstProbePeriod = probePeriod / 2
)

// reach is the state of the readiness check.
type reach struct {
	mu    sync.Mutex
	check readiness.Check
}

// CanServe reports whether this instance can reach an endpoint of each service that others may be
// able to reach. A change is logged.
func (f *Forwarder) CanServe() bool {
	serves, _ := f.checkReach()
	return serves
}

// checkReach updates the readiness check. It also returns the services that are unservable now.
func (f *Forwarder) checkReach() (serves bool, unservable []ticket.ServiceName) {
	view := f.deps.Registry.View()
	f.reach.mu.Lock()
	defer f.reach.mu.Unlock()
	var services []readiness.Service
	if view.Config != nil {
		services = f.endpoints.Reach(view, f.limits.Load().Zone)
	}
	changed, lasted := f.reach.check.Update(services, f.clock.Mono())
	serves, unservable = !f.reach.check.Failing(), f.reach.check.Unservable()
	switch {
	case changed && serves:
		f.deps.Scope.Gauge("out_of_reach").Update(0)
		f.logger.Info("in-reach", "ms", int64(lasted))
	case changed:
		f.deps.Scope.Gauge("out_of_reach").Update(1)
		f.deps.Scope.Counter("out_of_reach_begun").Inc(1)
		for _, s := range services {
			f.logger.Warn("out-of-reach", "service", s.Name, "listed", s.Listed, "cut-off", s.CutOff)
		}
	}
	return serves, unservable
}

// WatchReach checks the reach of the endpoints until ctx is done. While a service is unservable, it
// probes endpoints, so that this state ends without requests.
func (f *Forwarder) WatchReach(ctx context.Context) {
	probed, round := clock.Millis(0), 0
	for f.clock.Sleep(ctx, reachPeriod) == nil {
		_, unservable := f.checkReach()
		if len(unservable) == 0 {
			round = 0
			continue
		}
		period := probePeriod
		if round == 0 {
			period = firstProbePeriod
		}
		if now := f.clock.Mono(); now >= probed+period {
			probed = now
			f.probeZones(ctx, unservable, round)
			round++
		}
	}
}

// probeZones probes one endpoint of each zone and records the results.
func (f *Forwarder) probeZones(ctx context.Context, services []ticket.ServiceName, round int) {
	view := f.deps.Registry.View()
	var probes sync.WaitGroup
	for _, target := range f.endpoints.ProbeTargets(view, services, round) {
		probes.Go(func() {
			err := f.deps.Sender.Probe(ctx, target.Endpoint)
			switch {
			case ctx.Err() != nil:
				return
			case err != nil:
				f.markUnreachable(target.State, fault.KindOf[Kind](err))
				return
			}
			f.endpoints.RecordProbe(target.State, serviceOf(view.Config, target.Endpoint))
		})
	}
	probes.Wait()
}

// serviceOf returns the configured service of an endpoint, or an empty one.
func serviceOf(config *catalog.Config, e *catalog.Endpoint) *catalog.Service {
	if config != nil && config.Services[e.Service] != nil {
		return config.Services[e.Service]
	}
	return &catalog.Service{Name: e.Service}
}

// takeoverTime is how long it takes until the load balancer sends a caller's new connection to an
// instance that can serve: the check fails after a second, and the load balancer asks once a second
// and needs two failures.
const takeoverTime = 3 * clock.Second

// redirectIfOutOfReach makes a refusal close its connection while other instances can serve and
// this one cannot, so that the caller's next connection goes to one that is ready. From the first
// evidence on, callers are told to return once that is so: most of them return only once.
func (t *task) redirectIfOutOfReach(result *Result) {
	if !result.LocalReply || result.Status != http.StatusServiceUnavailable || t.service == nil {
		return
	}
	serves, unservable := t.checkReach()
	if slices.Contains(unservable, t.service.Name) {
		left := max(0, t.deadline-t.clock.Mono())
		result.RetryAfter = max(result.RetryAfter, min(takeoverTime, fairshare.LongestReturn(left)))
	}
	if serves {
		return
	}
	result.CloseConnection = true
	t.deps.Scope.Counter("out_of_reach_refusals").Inc(1)
}
