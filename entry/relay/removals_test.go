package relay

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestLateHeartbeatAfterReaderChange guards against an endpoint that has left and gets requests
// again because the store executes one of its heartbeats late, and the instance that reads it there
// had not read the later heartbeats before the removal.
func TestLateHeartbeatAfterReaderChange(t *testing.T) {
	const (
		heartbeats    = 8
		late          = 5 // sequence of the heartbeat that is executed late
		heartbeatGap  = 1200 * time.Millisecond
		lateAfter     = 2500 * time.Millisecond // from the removal until the late heartbeat
		observedAfter = 2 * time.Second         // from the late heartbeat
	)
	readersOf := func(f *fleet, zones string) []string {
		var names []string
		for _, r := range f.relays {
			if r.Rank() == 0 && strings.Contains(zones, string(r.members.self.Zone)) {
				names = append(names, r.members.self.Name)
			}
		}
		return names
	}
	rows := []struct {
		name string
		// killed returns the instances that are killed just before or after the removal.
		killed       func(f *fleet) []string
		afterRemoval bool
		restart      bool
	}{
		{"nothing else happens", func(*fleet) []string { return nil }, true, false},
		{"a zone's reader is killed after the removal", func(f *fleet) []string { return readersOf(f, "z0") }, true, false},
		{"a zone's reader is killed before the removal", func(f *fleet) []string { return readersOf(f, "z0") }, false, false},
		{"two zones' readers are killed before the removal", func(f *fleet) []string { return readersOf(f, "z0 z1") }, false, false},
		{"a zone's reader is killed and starts again", func(f *fleet) []string { return readersOf(f, "z0") }, true, true},
		{"the seeds are killed and start again", func(*fleet) []string { return []string{"z0-0", "z1-0"} }, true, true},
		{"a whole zone is killed and starts again", func(*fleet) []string { return []string{"z2-0", "z2-1", "z2-2"} }, true, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			inVirtualTime(t, func(ctx context.Context) {
				f := newFleet(ctx, 0, 0)
				f.delay = linkLatency
				seeds := []string{"z0-0", "z1-0"}
				instances := map[string]*instance{}
				for z := range 3 {
					for i := range 3 {
						name := fmt.Sprintf("z%d-%d", z, i)
						instances[name] = f.start(ctx, name[:2], name, seeds)
					}
				}
				for sequence := range heartbeats {
					f.writeEndpoint("e", sequence+1)
					f.writeEndpoint("other", sequence+1)
					time.Sleep(heartbeatGap)
				}
				kill := func() {
					for _, name := range row.killed(f) {
						f.kill(instances[name])
						delete(instances, name)
						if row.restart {
							instances[name] = f.start(ctx, name[:2], name, seeds)
						}
					}
				}
				if !row.afterRemoval {
					kill()
				}
				f.writeEndpoint("e", 0)
				if row.afterRemoval {
					time.Sleep(time.Second)
					kill()
				}
				time.Sleep(lateAfter)
				f.writeEndpoint("e", late)
				for range observedAfter / exchangePeriod.Duration() {
					time.Sleep(exchangePeriod.Duration())
					for name, i := range instances {
						if ids := i.endpointIDs(); ids != "other" {
							t.Errorf("%s uses %q after the removal", name, ids)
							return
						}
					}
				}
			})
		})
	}
}

// endpointIDs returns the endpoints that the instance uses.
func (l *instance) endpointIDs() string {
	var ids []string
	for _, e := range l.registry.View().Endpoints["s"] {
		ids = append(ids, string(e.ID))
	}
	return strings.Join(ids, " ")
}
