package relay

import (
	"context"
	"testing"
	"time"

	"foxtailbridge/policy/catalog"
)

// newFleetWithLateConfig returns a fleet of two zones of three whose store has revision 3 of the
// configuration and behind it revision 2, which was written late. All instances know both.
func newFleetWithLateConfig(ctx context.Context, t *testing.T) (f *fleet, instances []*instance, seeds []string) {
	f = newFleet(ctx, 0, 0)
	seeds = []string{"z0-0", "z1-0"}
	for _, name := range []string{"z0-0", "z0-1", "z0-2", "z1-0", "z1-1", "z1-2"} {
		instances = append(instances, f.start(ctx, name[:2], name, seeds))
	}
	time.Sleep(4 * time.Second)
	f.ordersHead.Store(4)
	time.Sleep(2 * time.Second)
	if n := f.countBehind(3); n != 0 {
		t.Fatalf("%d instances lack revision 3", n)
	}
	f.lateConfig.Store(4)
	f.ordersHead.Store(5)
	time.Sleep(3 * time.Second)
	if n := f.countBehind(3); n != 0 {
		t.Errorf("%d instances went back to revision 2", n)
	}
	return f, instances, seeds
}

// TestLateConfigAtStart guards against an instance that starts after an older configuration was
// written late and keeps it: the store's listing shows only that one, and the heads of its peers
// are the same as its own.
func TestLateConfigAtStart(t *testing.T) {
	rows := []struct{ name, zone, instance string }{
		{"a member of a zone", "z0", "z0-9"},
		{"the reader of a new zone", "z2", "z2-0"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			inVirtualTime(t, func(ctx context.Context) {
				f, _, seeds := newFleetWithLateConfig(ctx, t)
				f.mu.Lock()
				f.dropped = func(from, to string) bool { return from == row.instance || to == row.instance }
				f.mu.Unlock()
				late := f.start(ctx, row.zone, row.instance, seeds)
				time.Sleep(3 * time.Second)
				if c := late.registry.View().Config; c == nil || c.Revision != 2 {
					t.Fatalf("without peers it has configuration %+v, want revision 2 of the store", c)
				}
				f.mu.Lock()
				f.dropped = func(string, string) bool { return false }
				f.mu.Unlock()
				time.Sleep(2 * time.Second)
				if revision := late.registry.View().Config.Revision; revision != 3 {
					t.Errorf("with peers it has revision %d, want 3", revision)
				}
				if n := f.countBehind(3); n != 0 {
					t.Errorf("%d instances lack revision 3", n)
				}
			})
		})
	}
}

// TestLateConfigOutlivesRestarts guards against a configuration that is lost as most instances
// restart at once, although one of them still knows it.
func TestLateConfigOutlivesRestarts(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context) {
		f, instances, seeds := newFleetWithLateConfig(ctx, t)
		survivor := instances[len(instances)-1]
		var restarted []*instance
		for _, l := range instances[:len(instances)-1] {
			f.kill(l)
		}
		time.Sleep(time.Second)
		for _, l := range instances[:len(instances)-1] {
			restarted = append(restarted, f.start(ctx, l.name[:2], l.name, seeds))
		}
		time.Sleep(5 * time.Second)
		for _, l := range append(restarted, survivor) {
			if c := l.registry.View().Config; c == nil || c.Revision != catalog.Revision(3) {
				t.Errorf("%s has configuration %+v, want revision 3", l.name, c)
			}
		}
	})
}
