package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
)

// discoveryPeriod is the same as in the program: how long an instance without a connection
// to any peer waits before it reads the members from the store.
const discoveryPeriod = 1500 * time.Millisecond

// startWithDiscovery starts a run of an instance that discovers members as the program does.
func (f *fleet) startWithDiscovery(ctx context.Context, zone ticket.ZoneName, name, run string, seeds []string, announced func() []Member) {
	f.configure = func(_ int, r *Relay) { r.members.self.RunID = run }
	f.add(ctx, zone, name, seeds)
	r := f.relays[len(f.relays)-1]
	go func() {
		for r.deps.Clock.Sleep(ctx, clock.Millis(discoveryPeriod/time.Millisecond)) == nil {
			if !r.EverConnected() || r.deps.Registry.Age(registry.FeedEndpoints) > 2*clock.Millis(discoveryPeriod/time.Millisecond) {
				r.AddMembers(announced())
			}
		}
	}()
}

// Guards against restarted instances that know only each other: they kept sending requests
// to a replaced release, because the outcome of the roll-out did not reach them.
func TestUpdatesReachInstancesRestartedTogether(t *testing.T) {
	const (
		stopInterval   = 1500 * time.Millisecond // between the stops of two instances
		listenerClosed = 2500 * time.Millisecond // from the stop signal until the listener for peers is closed
		drain          = 7200 * time.Millisecond // from the stop signal until the process exits
		restart        = 540 * time.Millisecond  // from the exit until the next run
	)
	seeds := []string{"z0-0", "z1-0", "z2-0"}
	rows := []struct {
		name  string
		order []string
		// early is by how much the second drain is shorter than the others.
		early time.Duration
	}{
		{"no seed stops", []string{"z0-1", "z0-2", "z1-1", "z2-1"}, 400 * time.Millisecond},
		{"seeds only, the second drains longer", []string{"z2-0", "z0-0", "z1-0"}, -200 * time.Millisecond},
		{"seeds only, the second drains sooner", []string{"z2-0", "z0-0", "z1-0"}, 400 * time.Millisecond},
		{"seeds and others, the second drains longer", []string{"z0-2", "z2-0", "z0-0", "z1-0", "z0-1"}, -200 * time.Millisecond},
		{"seeds and others, the second drains sooner", []string{"z0-2", "z2-0", "z0-0", "z1-0", "z0-1"}, 400 * time.Millisecond},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			inVirtualTime(t, func(ctx context.Context) {
				f := newFleet(ctx, 0, 0)
				var members []Member
				cancels := map[string]context.CancelFunc{}
				relayIndex := map[string]int{}
				announced := func() []Member { return members }
				start := func(m Member, run string) {
					runCtx, cancel := context.WithCancel(ctx)
					cancels[m.Name] = cancel
					relayIndex[m.Name] = len(f.relays)
					f.startWithDiscovery(runCtx, m.Zone, m.Name, run, seeds, announced)
				}
				for z, size := range []int{3, 2, 2, 2} {
					for i := range size {
						name := fmt.Sprintf("z%d-%d", z, i)
						members = append(members, Member{Name: name, Zone: ticket.ZoneName(fmt.Sprint("z", z)), Address: name, RunID: "1"})
					}
				}
				for _, m := range members {
					start(m, "1")
				}
				time.Sleep(5 * time.Second)
				began := time.Now()
				type step struct {
					at   time.Duration
					name string
					do   func(Member)
				}
				var steps []step
				for i, name := range row.order {
					at := time.Duration(i) * stopInterval
					stop := at + drain
					if i == 1 {
						stop -= row.early
					}
					steps = append(steps,
						step{at, name, func(m Member) { f.relays[relayIndex[m.Name]].Leave() }},
						step{at + listenerClosed, name, func(m Member) { f.mu.Lock(); delete(f.handlers, m.Name); f.mu.Unlock() }},
						step{stop, name, func(m Member) { cancels[m.Name]() }},
						step{stop + restart, name, func(m Member) { start(m, "2") }},
					)
				}
				for len(steps) > 0 {
					next := 0
					for i, s := range steps {
						if s.at < steps[next].at {
							next = i
						}
					}
					s := steps[next]
					steps = append(steps[:next], steps[next+1:]...)
					time.Sleep(s.at - time.Since(began))
					for _, m := range members {
						if m.Name == s.name {
							s.do(m)
						}
					}
				}
				time.Sleep(4 * time.Second)
				// An instance that did not restart gets an outcome and broadcasts it.
				from := f.relays[relayIndex["z3-0"]]
				from.deps.Registry.Merge(registry.Batch{Feed: registry.FeedOutcomes, Records: []registry.Record{{Key: "rollout", Offset: 4, Value: []byte("x")}}, Head: 5})
				from.TriggerBroadcast()
				time.Sleep(1300 * time.Millisecond) // The same bound as in TestTwoReadersMerge.
				for _, m := range members {
					if head, _ := f.registries[relayIndex[m.Name]].Head(registry.FeedOutcomes); head.Offset < 5 {
						t.Errorf("%s has not received the outcome", m.Name)
					}
				}
			})
		})
	}
}
