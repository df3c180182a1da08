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
	// orderSpan is the time given for a roll-out.
	orderSpan = 25 * clock.Second
	// sameBegin is how far apart instances may put the begin of an order.
	sameBegin = 100 * clock.Millis(1)
	// linkDelay lets a seed that starts read the store before a peer answers.
	linkDelay = 5 * time.Millisecond
)

// order has operators give an order, and puts a newer configuration behind it.
func (f *fleet) order() {
	f.rollout.Store(f.offset.Load())
	f.offset.Add(2)
}

// live is an instance that can be stopped and started again.
type live struct {
	name  string
	relay *Relay
	store *registry.Registry
	stop  context.CancelFunc
	// share is the share of the sessions that it last gave the new release.
	share float64
}

// elapsed is the time since the order as the instance has it, or -1 if it knows of none.
func (l *live) elapsed() clock.Millis {
	order := l.store.View().Orders["s"]
	if order == nil {
		return -1
	}
	return l.relay.parts.Clock.Mono() - order.StartedAt
}

// start runs an instance in the place of a stopped one.
func (f *fleet) start(ctx context.Context, zone, name string, seeds []string) *live {
	ctx, stop := context.WithCancel(ctx)
	f.add(ctx, ticket.ZoneName(zone), name, seeds)
	last := len(f.relays) - 1
	return &live{name: name, relay: f.relays[last], store: f.stores[last], stop: stop}
}

// end stops an instance at once.
func (f *fleet) end(l *live) {
	l.stop()
	f.mu.Lock()
	delete(f.handlers, l.name)
	f.mu.Unlock()
}

// Guards against an instance that starts while an order is under way, reads the order from
// the store and takes it for new: it went on with the old release when the others had moved.
func TestOrderBeginOutlivesARestart(t *testing.T) {
	all := []string{"z0-0", "z0-1", "z1-0", "z1-1", "z2-0", "z2-1"}
	rows := []struct {
		name string
		// restarts stop and start again, one after the other, from after the order on.
		restarts []string
		after    time.Duration
		// only names the one instance that those that restart know of, or is "".
		only string
	}{
		{"a seed reads the store at once", []string{"z0-0"}, 10 * time.Second, ""},
		{"late in the order", []string{"z1-0"}, 20 * time.Second, ""},
		{"one that learns from one that restarted", []string{"z0-0", "z0-1"}, 10 * time.Second, "z0-0"},
		{"one in another zone that learns from one that restarted", []string{"z0-0", "z2-1"}, 10 * time.Second, "z0-0"},
		{"all of them, one after the other", all, 6 * time.Second, ""},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			inBubble(t, func(ctx context.Context) {
				f := newFleet(ctx, 0, 0)
				f.delay = linkDelay
				seeds := []string{"z0-0", "z1-0"}
				fleet := map[string]*live{}
				for _, name := range all {
					fleet[name] = f.start(ctx, name[:2], name, seeds)
				}
				time.Sleep(5 * time.Second)
				f.order()
				ordered := time.Now()
				time.Sleep(row.after)
				f.checkBegin(t, fleet, ordered)
				for _, name := range row.restarts {
					f.end(fleet[name])
					time.Sleep(time.Second)
					from := seeds
					if row.only != "" && name != row.only {
						from = []string{row.only, name}
					}
					share := fleet[name].share
					fleet[name] = f.start(ctx, name[:2], name, from)
					fleet[name].share = share
					time.Sleep(2 * period.Duration())
					f.checkBegin(t, fleet, ordered)
				}
				for time.Since(ordered) < orderSpan.Duration() {
					time.Sleep(period.Duration())
					f.checkBegin(t, fleet, ordered)
				}
			})
		})
	}
}

// checkBegin checks that all instances put the order's begin where it was, and that no
// instance's share of the sessions falls.
func (f *fleet) checkBegin(t *testing.T, fleet map[string]*live, ordered time.Time) {
	t.Helper()
	const bound = 0.15
	since := clock.Millis(time.Since(ordered).Milliseconds())
	for name, l := range fleet {
		elapsed := l.elapsed()
		// The readers wait at the store for the order: they have it at once.
		if since > clock.Second && (elapsed < since-ordersWait || elapsed > since+sameBegin) {
			t.Errorf("%s puts the order %d ms back, it was %d ms ago", name, elapsed, since)
		}
		for other, o := range fleet {
			if apart := elapsed - o.elapsed(); apart > sameBegin {
				t.Errorf("%s puts the order %d ms before %s, %d ms after it", name, apart, other, since)
			}
		}
		share := rollout.Share(elapsed, orderSpan, bound)
		if share < l.share {
			t.Errorf("the share of %s falls from %.2f to %.2f", name, l.share, share)
		}
		l.share = share
	}
}

// Guards against begins that are told in each exchange, and against one that an instance
// never hears of because the answer with it was lost on its way.
func TestBeginsAreToldOnce(t *testing.T) {
	inBubble(t, func(ctx context.Context) {
		f := newFleet(ctx, 0, 0)
		f.delay = linkDelay
		names := []string{"z0-0", "z0-1", "z0-2"}
		fleet := map[string]*live{}
		for _, name := range names {
			fleet[name] = f.start(ctx, "z0", name, names[:1])
		}
		time.Sleep(5 * time.Second)
		f.order()
		ordered := time.Now()
		time.Sleep(5 * time.Second)
		told := func() int {
			count := 0
			for _, l := range fleet {
				for _, name := range names {
					count += len(l.relay.message(name, l.relay.parts.Clock.Mono(), false).OrderStarts)
				}
			}
			return count
		}
		if n := told(); n > 0 {
			t.Errorf("%d begins told again to instances that know them", n)
		}
		// Nothing reaches the one that restarts, whose own questions arrive.
		f.end(fleet["z0-0"])
		time.Sleep(time.Second)
		f.mu.Lock()
		f.cut = func(_, address string) bool { return address == "z0-0" }
		f.lost = func(address string) bool { return address == "z0-0" }
		f.mu.Unlock()
		fleet["z0-0"] = f.start(ctx, "z0", "z0-0", names)
		time.Sleep(3 * time.Second)
		f.mu.Lock()
		f.cut = func(string, string) bool { return false }
		f.lost = func(string) bool { return false }
		f.mu.Unlock()
		time.Sleep(3 * time.Second)
		f.checkBegin(t, fleet, ordered)
		if n := told(); n > 0 {
			t.Errorf("%d begins told again after an answer was lost", n)
		}
	})
}

// Guards against a fleet in two parts after all seeds stopped and started again at once:
// those knew only each other, and the rest left alone whoever had said that it leaves.
func TestSeedsStartAgainTogether(t *testing.T) {
	inBubble(t, func(ctx context.Context) {
		f := newFleet(ctx, 0, 0)
		f.delay = linkDelay
		seeds := []string{"z0-0", "z1-0"}
		fleet := map[string]*live{}
		for _, name := range []string{"z0-0", "z1-0", "z2-0", "z2-1", "z3-0"} {
			fleet[name] = f.start(ctx, name[:2], name, seeds)
		}
		time.Sleep(5 * time.Second)
		f.order()
		ordered := time.Now()
		time.Sleep(6 * time.Second)
		for _, name := range seeds {
			fleet[name].relay.Leave()
		}
		time.Sleep(3 * time.Second)
		for _, name := range seeds {
			f.end(fleet[name])
		}
		time.Sleep(time.Second)
		for _, name := range seeds {
			fleet[name] = f.start(ctx, name[:2], name, seeds)
		}
		// They are found, meet in the round after it, and tell the others in one more.
		time.Sleep((revisitPause + 4*period).Duration())
		f.checkBegin(t, fleet, ordered)
		for name, l := range fleet {
			if n := l.relay.InstanceCount(); n < len(fleet) {
				t.Errorf("%s counts %d instances of %d", name, n, len(fleet))
			}
		}
	})
}
