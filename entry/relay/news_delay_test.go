package relay

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"foxtailbridge/policy/catalog"
)

// TestNewsDelay checks that a configuration reaches every instance within the users' smallest
// bound of two seconds, whatever the number of instances, and logs what a zone's reader sends
// and receives for that.
func TestNewsDelay(t *testing.T) {
	const bound = 2 * time.Second
	for _, size := range []struct{ zones, perZone int }{{6, 3}, {3, 23}, {6, 49}} {
		t.Run(fmt.Sprintf("%d instances", size.zones*size.perZone), func(t *testing.T) {
			inVirtualTime(t, func(ctx context.Context) {
				f := newFleet(ctx, size.zones, size.perZone)
				time.Sleep(4 * time.Second)
				f.mu.Lock()
				clear(f.bytes)
				f.mu.Unlock()
				start := time.Now()
				head := f.ordersHead.Add(1)
				delays := make([]time.Duration, len(f.registries))
				for missing := len(delays); missing > 0 && time.Since(start) < 2*bound; time.Sleep(10 * time.Millisecond) {
					for i, view := range f.registries {
						if c := view.View().Config; delays[i] == 0 && c != nil && c.Revision == catalog.Revision(head-1) {
							delays[i] = max(1, time.Since(start))
							missing--
						}
					}
				}
				time.Sleep(time.Second)
				elapsed := time.Since(start)
				busiest := 0
				f.mu.Lock()
				for _, n := range f.bytes {
					busiest = max(busiest, n)
				}
				f.mu.Unlock()
				slices.Sort(delays)
				if delays[0] == 0 || delays[len(delays)-1] > bound {
					t.Errorf("the last instance knows after %v, the first after %v", delays[len(delays)-1], delays[0])
				}
				t.Logf("median %v, last %v; busiest instance %.1f KB/s", delays[len(delays)/2], delays[len(delays)-1], float64(busiest)/1024/elapsed.Seconds())
			})
		})
	}
}
