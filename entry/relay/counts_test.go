package relay

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/loadlist"
	"foxtailbridge/policy/rollout"
	"foxtailbridge/policy/ticket"
)

// TestInstanceCount checks that every instance divides the fleet's limits by the number of
// instances, however long the fleet has run: it sees few of the other zones' instances itself.
// Guards against a count that no longer grew or fell once those were forgotten.
func TestInstanceCount(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context) {
		const zones, perZone = 3, 8
		f := newFleet(ctx, zones, perZone)
		check := func(when string, alive func(name string) bool, want int) {
			t.Helper()
			for _, r := range f.relays {
				if n := r.InstanceCount(); alive(r.Self().Name) && n != want {
					t.Errorf("%s: %s counts %d instances, want %d", when, r.Self().Name, n, want)
				}
			}
		}
		all := func(string) bool { return true }
		time.Sleep(3 * time.Second)
		check("after the start", all, zones*perZone)
		time.Sleep(3 * time.Minute)
		check("after minutes", all, zones*perZone)
		for i := range 4 {
			f.add(ctx, "z2", fmt.Sprint("more", i), []string{"z0-0", "z1-0"})
		}
		time.Sleep(4 * time.Second)
		check("after more instances started", all, zones*perZone+4)

		inLostZone := func(name string) bool { return strings.HasPrefix(name, "z1") }
		f.mu.Lock()
		f.dropped = func(from, to string) bool { return inLostZone(from) != inLostZone(to) }
		f.mu.Unlock()
		rest := func(name string) bool { return !inLostZone(name) }
		time.Sleep(20 * time.Second)
		check("a zone is cut off: its instances may still reach endpoints", rest, zones*perZone+4)
		time.Sleep(3 * time.Minute)
		check("the zone is gone", rest, (zones-1)*perZone+4)
	})
}

// TestInstanceCountAtStart checks the number of instances 3 s after they all started at once.
// Guards against instances of a zone that followed a reader of their own for longer: at the
// start each instance knows only the seeds, and a seed lists only who contacted it before.
func TestInstanceCountAtStart(t *testing.T) {
	for range 100 {
		inVirtualTime(t, func(ctx context.Context) {
			const zones, perZone = 3, 8
			f := newFleet(ctx, zones, perZone)
			time.Sleep(3 * time.Second)
			for _, r := range f.relays {
				if n := r.InstanceCount(); n != zones*perZone {
					t.Errorf("%s counts %d instances, want %d", r.Self().Name, n, zones*perZone)
				}
			}
		})
	}
}

// TestNonsense checks that contents of a message that make no sense are bounded, logged and
// change nothing else.
func TestNonsense(t *testing.T) {
	var members []MemberEntry
	for i := range 10_000 {
		members = append(members, MemberEntry{Member: Member{Name: fmt.Sprint("m", i), Zone: "z", Address: "m"}, Age: -clock.Minute})
	}
	rows := []struct {
		name    string
		message Message
		// most is the largest number of instances that may be counted afterwards.
		most   int
		logged bool
	}{
		{"no count", Message{ZoneCounts: map[ticket.ZoneName]ZoneCount{"z": {Count: 0}}}, 2, true},
		{"a negative count", Message{ZoneCounts: map[ticket.ZoneName]ZoneCount{"z": {Count: -5}}}, 2, true},
		{"a billion instances", Message{ZoneCounts: map[ticket.ZoneName]ZoneCount{"z": {Count: 1_000_000_000}}}, 2, true},
		{"a count from the future", Message{ZoneCounts: map[ticket.ZoneName]ZoneCount{"z": {Count: 7, Age: -clock.Hour}}}, 2, true},
		{"loads that cannot be right", Message{LoadsScope: ScopeOthers, LoadsVersion: 1, Loads: loadlist.Counts{"e": -7, "f": 1 << 60, "none": 3}, Failures: loadlist.Counts{"e": -7, "f": 1 << 60}}, 2, false},
		{"plans for light load that make no sense", Message{LightLoads: map[catalog.OrderNumber]*rollout.LightLoad{9: nil, 8: {Start: -3, By: "b"}, 7: {Routes: []catalog.RouteName{"r"}, Start: -3}}}, 2, false},
		{"10,000 members", Message{Members: members}, maxPeers + 1, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var log bytes.Buffer
			r := newRelay(nil)
			r.logger = hclog.New(&hclog.LoggerOptions{Output: &log})
			var loads loadlist.Loads
			r.OnRemoteLoads = func(others loadlist.Loads) { loads = others }
			row.message.From = Member{Name: "b", Zone: "z", Address: "b", RunID: "1"}
			row.message.Stops = append(row.message.Stops, 9)
			r.merge(&row.message, r.deps.Clock.Mono())
			if n := r.InstanceCount(); n < 2 || n > row.most {
				t.Errorf("%d instances counted, want 2 to %d", n, row.most)
			}
			for _, counts := range []loadlist.Counts{loads.InFlight, loads.Failures} {
				for endpoint, n := range counts {
					if n < 0 || n > 1000 {
						t.Errorf("%d requests at %s", n, endpoint)
					}
				}
			}
			for number := range row.message.LightLoads {
				if plan := r.LightLoad(number); plan != nil {
					t.Errorf("plan %+v", plan)
				}
			}
			if !r.ReleaseStopped(9) {
				t.Error("the rest of the message was lost")
			}
			if got := strings.Contains(log.String(), "message-nonsense"); got != row.logged {
				t.Errorf("logged: %v, want %v\n%s", got, row.logged, log.String())
			}
		})
	}
}
