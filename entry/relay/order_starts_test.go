package relay

import (
	"context"
	"testing"
	"time"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/rollout"
	"foxtailbridge/policy/ticket"
)

const (
	// orderDuration is the duration of the roll-out order.
	orderDuration = 25 * clock.Second
	// maxStartSkew is the maximum difference between the order starts known to two instances.
	maxStartSkew = 100 * clock.Millis(1)
	// linkLatency delays requests between instances, so that a starting seed reads the store
	// before a peer responds.
	linkLatency = 5 * time.Millisecond
)

// writeOrder writes an operator's roll-out order and then a newer configuration to the store.
func (f *fleet) writeOrder() {
	f.rollout.Store(f.ordersHead.Load())
	f.ordersHead.Add(2)
}

// instance is an instance of the fleet that can be stopped and restarted.
type instance struct {
	name     string
	relay    *Relay
	registry *registry.Registry
	stop     context.CancelFunc
	// share is the last share of sessions that it assigned to the new release.
	share float64
}

// elapsed returns the time since the order's start as known to the instance, or -1 if it
// does not know the order.
func (l *instance) elapsed() clock.Millis {
	order := l.registry.View().Orders["s"]
	if order == nil {
		return -1
	}
	return l.relay.deps.Clock.Mono() - order.StartedAt
}

// start starts an instance, possibly in place of one that was stopped.
func (f *fleet) start(ctx context.Context, zone, name string, seeds []string) *instance {
	ctx, stop := context.WithCancel(ctx)
	f.add(ctx, ticket.ZoneName(zone), name, seeds)
	last := len(f.relays) - 1
	return &instance{name: name, relay: f.relays[last], registry: f.registries[last], stop: stop}
}

// kill stops an instance without a graceful shutdown.
func (f *fleet) kill(l *instance) {
	l.stop()
	f.mu.Lock()
	delete(f.handlers, l.name)
	f.mu.Unlock()
}

// Guards against an instance that restarts during a roll-out, reads the order from the store
// and takes it for a new one: it kept using the old release after the others had switched.
func TestOrderStartSurvivesRestart(t *testing.T) {
	all := []string{"z0-0", "z0-1", "z1-0", "z1-1", "z2-0", "z2-1"}
	rows := []struct {
		name string
		// restarts lists the instances that restart one after the other, the first one
		// when after has passed since the order.
		restarts []string
		after    time.Duration
		// only is the only other instance that restarted ones get as a seed, or "".
		only string
	}{
		{"a seed that reads the store at once", []string{"z0-0"}, 10 * time.Second, ""},
		{"late in the order", []string{"z1-0"}, 20 * time.Second, ""},
		{"an instance that syncs from a restarted one", []string{"z0-0", "z0-1"}, 10 * time.Second, "z0-0"},
		{"an instance that syncs from a restarted one in another zone", []string{"z0-0", "z2-1"}, 10 * time.Second, "z0-0"},
		{"a rolling restart of all instances", all, 6 * time.Second, ""},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			inVirtualTime(t, func(ctx context.Context) {
				f := newFleet(ctx, 0, 0)
				f.delay = linkLatency
				seeds := []string{"z0-0", "z1-0"}
				fleet := map[string]*instance{}
				for _, name := range all {
					fleet[name] = f.start(ctx, name[:2], name, seeds)
				}
				time.Sleep(5 * time.Second)
				f.writeOrder()
				ordered := time.Now()
				time.Sleep(row.after)
				f.checkOrderStart(t, fleet, ordered)
				for _, name := range row.restarts {
					f.kill(fleet[name])
					time.Sleep(time.Second)
					from := seeds
					if row.only != "" && name != row.only {
						from = []string{row.only, name}
					}
					share := fleet[name].share
					fleet[name] = f.start(ctx, name[:2], name, from)
					fleet[name].share = share
					time.Sleep(2 * exchangePeriod.Duration())
					f.checkOrderStart(t, fleet, ordered)
				}
				for time.Since(ordered) < orderDuration.Duration() {
					time.Sleep(exchangePeriod.Duration())
					f.checkOrderStart(t, fleet, ordered)
				}
			})
		})
	}
}

// checkOrderStart checks that all instances know the order's actual start, and that no instance's
// share of sessions for the new release decreases.
func (f *fleet) checkOrderStart(t *testing.T, fleet map[string]*instance, ordered time.Time) {
	t.Helper()
	const bound = 0.15
	since := clock.Millis(time.Since(ordered).Milliseconds())
	for name, l := range fleet {
		elapsed := l.elapsed()
		// The readers long-poll the store and so get the order at once.
		if since > clock.Second && (elapsed < since-ordersPollTimeout || elapsed > since+maxStartSkew) {
			t.Errorf("%s: order started %d ms ago, want %d ms", name, elapsed, since)
		}
		for other, o := range fleet {
			if apart := elapsed - o.elapsed(); apart > maxStartSkew {
				t.Errorf("%s: order start is %d ms before that of %s, %d ms after the order", name, apart, other, since)
			}
		}
		share := rollout.Schedule{Duration: orderDuration}.Share("r", elapsed, bound)
		if share < l.share {
			t.Errorf("share of %s decreased from %.2f to %.2f", name, l.share, share)
		}
		l.share = share
	}
}

// Guards against order starts that are repeated in each exchange, and against an order start
// that an instance never receives because the response that carried it was lost.
func TestOrderStartsAreSentOnce(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context) {
		f := newFleet(ctx, 0, 0)
		f.delay = linkLatency
		names := []string{"z0-0", "z0-1", "z0-2"}
		fleet := map[string]*instance{}
		for _, name := range names {
			fleet[name] = f.start(ctx, "z0", name, names[:1])
		}
		time.Sleep(5 * time.Second)
		f.writeOrder()
		ordered := time.Now()
		time.Sleep(5 * time.Second)
		countSent := func() int {
			count := 0
			for _, l := range fleet {
				for _, name := range names {
					count += len(l.relay.newMessage(name, l.relay.deps.Clock.Mono(), false).OrderStarts)
				}
			}
			return count
		}
		if n := countSent(); n > 0 {
			t.Errorf("%d order starts sent again to instances that know them", n)
		}
		// The restarted instance receives nothing, but its own requests arrive.
		f.kill(fleet["z0-0"])
		time.Sleep(time.Second)
		f.mu.Lock()
		f.dropped = func(_, address string) bool { return address == "z0-0" }
		f.responsesLost = func(address string) bool { return address == "z0-0" }
		f.mu.Unlock()
		fleet["z0-0"] = f.start(ctx, "z0", "z0-0", names)
		time.Sleep(3 * time.Second)
		f.mu.Lock()
		f.dropped = func(string, string) bool { return false }
		f.responsesLost = func(string) bool { return false }
		f.mu.Unlock()
		time.Sleep(3 * time.Second)
		f.checkOrderStart(t, fleet, ordered)
		if n := countSent(); n > 0 {
			t.Errorf("%d order starts sent again after a response was lost", n)
		}
	})
}

// Guards against a split fleet after all seeds restarted at once: the seeds knew only each
// other, and the other instances no longer contacted peers that had announced to leave.
func TestSeedsRestartTogether(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context) {
		f := newFleet(ctx, 0, 0)
		f.delay = linkLatency
		seeds := []string{"z0-0", "z1-0"}
		fleet := map[string]*instance{}
		for _, name := range []string{"z0-0", "z1-0", "z2-0", "z2-1", "z3-0"} {
			fleet[name] = f.start(ctx, name[:2], name, seeds)
		}
		time.Sleep(5 * time.Second)
		f.writeOrder()
		ordered := time.Now()
		time.Sleep(6 * time.Second)
		for _, name := range seeds {
			fleet[name].relay.Leave()
		}
		time.Sleep(3 * time.Second)
		for _, name := range seeds {
			f.kill(fleet[name])
		}
		time.Sleep(time.Second)
		for _, name := range seeds {
			fleet[name] = f.start(ctx, name[:2], name, seeds)
		}
		// The seeds are probed, exchange with their peers in the next round, and the others
		// get the updates in the round after that.
		time.Sleep((reprobePeriod + 4*exchangePeriod).Duration())
		f.checkOrderStart(t, fleet, ordered)
		for name, l := range fleet {
			if n := l.relay.InstanceCount(); n < len(fleet) {
				t.Errorf("%s counts %d instances, want %d", name, n, len(fleet))
			}
		}
	})
}
