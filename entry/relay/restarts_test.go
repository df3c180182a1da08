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

// lonelyWait is the program's: how long an instance that no peer has answered waits
// before it asks the store for members.
const lonelyWait = 1500 * time.Millisecond

// startRun adds a run of an instance that looks for members as the program does.
func (f *fleet) startRun(ctx context.Context, zone ticket.ZoneName, name, run string, seeds []string, announced func() []Member) {
	f.prepare = func(_ int, r *Relay) { r.members.self.RunID = run }
	f.add(ctx, zone, name, seeds)
	r := f.relays[len(f.relays)-1]
	go func() {
		for r.parts.Clock.Sleep(ctx, clock.Millis(lonelyWait/time.Millisecond)) == nil {
			if !r.EverConnected() || r.parts.Registry.Age(registry.FeedEndpoints) > 2*clock.Millis(lonelyWait/time.Millisecond) {
				r.AddMembers(announced())
			}
		}
	}()
}

// Guards against restarted instances that know only each other: requests there went on
// to a release that was replaced, as the outcome of its roll-out did not reach them.
func TestNewsReachInstancesThatRestartedTogether(t *testing.T) {
	const (
		stops   = 1500 * time.Millisecond // between two instances
		deaf    = 2500 * time.Millisecond // from the signal to the end of the peers' listener
		drain   = 7200 * time.Millisecond // from the signal to the end of the process
		restart = 540 * time.Millisecond  // until the next run
	)
	seeds := []string{"z0-0", "z1-0", "z2-0"}
	rows := []struct {
		name  string
		order []string
		// early is by how much sooner the second drain ends than the others.
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
			inBubble(t, func(ctx context.Context) {
				f := newFleet(ctx, 0, 0)
				var members []Member
				ends := map[string]context.CancelFunc{}
				last := map[string]int{}
				announced := func() []Member { return members }
				begin := func(m Member, run string) {
					one, end := context.WithCancel(ctx)
					ends[m.Name] = end
					last[m.Name] = len(f.relays)
					f.startRun(one, m.Zone, m.Name, run, seeds, announced)
				}
				for z, size := range []int{3, 2, 2, 2} {
					for i := range size {
						name := fmt.Sprintf("z%d-%d", z, i)
						members = append(members, Member{Name: name, Zone: ticket.ZoneName(fmt.Sprint("z", z)), Address: name, RunID: "1"})
					}
				}
				for _, m := range members {
					begin(m, "1")
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
					at := time.Duration(i) * stops
					stop := at + drain
					if i == 1 {
						stop -= row.early
					}
					steps = append(steps,
						step{at, name, func(m Member) { f.relays[last[m.Name]].Leave() }},
						step{at + deaf, name, func(m Member) { f.mu.Lock(); delete(f.handlers, m.Name); f.mu.Unlock() }},
						step{stop, name, func(m Member) { ends[m.Name]() }},
						step{stop + restart, name, func(m Member) { begin(m, "2") }},
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
				// An instance that did not restart writes an outcome and spreads it.
				from := f.relays[last["z3-0"]]
				from.parts.Registry.Merge(registry.Batch{Feed: registry.FeedOutcomes, Records: []registry.Record{{Key: "rollout", Offset: 4, Value: []byte("x")}}, Head: 5})
				from.TriggerBroadcast()
				time.Sleep(1300 * time.Millisecond) // As long as in TestTwoReadersMeet.
				for _, m := range members {
					if head, _ := f.stores[last[m.Name]].Head(registry.FeedOutcomes); head < 5 {
						t.Errorf("%s has not heard of the outcome", m.Name)
					}
				}
			})
		})
	}
}
