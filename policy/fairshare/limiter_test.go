package fairshare

import (
	"math"
	"strconv"
	"testing"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/loadlist"
	"foxtailbridge/policy/ticket"
)

var (
	freeCapacity  = Capacity{Slots: 10, Places: 13, Room: 2, SlotTime: 1000}
	shortCapacity = Capacity{Slots: 10, Places: 13, Room: 0, SlotTime: 1000}
)

// TestFreeCapacity guards against a limit while endpoints have room, however much is demanded, and
// against demand that is told, at a cost, while no lack of capacity is near.
func TestFreeCapacity(t *testing.T) {
	rows := []struct {
		name     string
		capacity Capacity
		limited  bool
		reported int
	}{
		{"no endpoints", Capacity{}, false, 0},
		{"idle", Capacity{Slots: 10, Places: 13, Room: 13, SlotTime: 1000}, false, 0},
		{"some room", freeCapacity, false, 500},
		{"no room", shortCapacity, true, 500},
		{"no room, slot time unknown", Capacity{Slots: 10, Places: 13}, false, 500},
		{"endpoints refuse", Capacity{Slots: 10, Places: 13, Room: 13, SlotTime: 1000, Refusing: true}, true, 500},
	}
	for _, row := range rows {
		l := NewLimiter("s")
		l.SetPeers(loadlist.Sum{"s/1/w1": 5000, "other/1/w1": 9}, 1000)
		refused := 0
		for i := range uint64(500) {
			d := l.Decide(Request{Group: workspace(1, 1), Content: i * 0x9e3779b97f4a7c15, TimeLeft: 1000}, row.capacity, 9, Time{1000, 1000})
			if !d.Admitted {
				refused++
			}
		}
		sum := loadlist.Sum{}
		l.AddReport(sum, 1000)
		if row.limited != (refused > 400) || !row.limited && refused > 0 || sum["s/1/w1"] != row.reported {
			t.Errorf("%s: %d of 500 refused, told %v", row.name, refused, sum)
		}
	}
}

// TestColdEndpoints guards against a limit that ignores what endpoints in cold start accept, when a
// zone's endpoints have come back and carry part of the load.
func TestColdEndpoints(t *testing.T) {
	rows := []struct {
		name      string
		coldSlots int
		coldRate  Rate
		share     Rate
	}{
		{"none", 0, 0, 7.5},
		{"limited by their rate", 40, 8, 13.5},
		{"limited by their slots", 4, 8, 10.5},
	}
	for _, row := range rows {
		capacity := shortCapacity
		capacity.ColdSlots, capacity.ColdRate = row.coldSlots, row.coldRate
		l := NewLimiter("s")
		l.SetPeers(loadlist.Sum{"s/1/w1": 100}, 1000)
		if d := l.Decide(Request{Group: workspace(1, 1)}, capacity, 10, Time{1000, 1000}); d.Share < row.share-0.1 || d.Share > row.share+0.1 {
			t.Errorf("%s: share %.2f, want %.2f", row.name, d.Share, row.share)
		}
	}
}

// TestMissingDemand guards against shares that are computed from the demand of other instances
// after their reader has ended, or from none at all, as the own demand seems to fit then.
func TestMissingDemand(t *testing.T) {
	rows := []struct {
		name  string
		peers loadlist.Sum
		now   clock.Millis
		age   clock.Millis
		share Rate
	}{
		{"current", loadlist.Sum{"s/1/w1": 9}, 900, 900, 7.5},
		{"stale", loadlist.Sum{"s/1/w1": 9}, 1600, -1, 0.75},
		{"nothing told", loadlist.Sum{}, 100, -1, 0.75},
		{"another service's, and malformed", loadlist.Sum{"t/1/w1": 9, "s/x/w1": 9, "s/1": 9, "": 1}, 100, -1, 0.75},
	}
	for _, row := range rows {
		l := NewLimiter("s")
		l.SetPeers(row.peers, 0)
		d := l.Decide(Request{Group: workspace(1, 1)}, shortCapacity, 10, Time{row.now, row.now})
		if d.Age != row.age || d.Share < row.share-0.1 || d.Share > row.share+0.1 {
			t.Errorf("%s: age %d, share %.2f", row.name, d.Age, d.Share)
		}
	}
}

// TestIdenticalRequests guards against a group whose requests all have the same content: one draw
// for all would let in all of them or none for half a second.
func TestIdenticalRequests(t *testing.T) {
	l := NewLimiter("s")
	capacity := shortCapacity
	capacity.Slots = 80 // 60 of 120 requests a second are let in.
	admitted := 0
	for i := range 2000 {
		now := clock.Millis(1000 + 10*i)
		l.SetPeers(loadlist.Sum{"s/1/w1": 20}, now)
		d := l.Decide(Request{Group: workspace(1, 1), Content: 7, TimeLeft: 1000}, capacity, 2, Time{now, now})
		if i < 200 || !d.Admitted { // The demand of a second is known after one.
			continue
		}
		admitted++
		if want := 0.5 * float64(i-200); math.Abs(float64(admitted)-want) > 2*maxCredit+2 {
			t.Fatalf("%d of %d let in, want half", admitted, i-200)
		}
	}
	if admitted < 850 || admitted > 950 {
		t.Errorf("%d of 1800 let in, want half", admitted)
	}
}

// TestGroupsForgotten guards against a table of groups that grows with each workspace that ever sent
// a request, at an instance that reports to no others.
func TestGroupsForgotten(t *testing.T) {
	l := NewLimiter("s")
	for i := range 1000 {
		now := clock.Millis(i) * clock.Second
		g := Group{Workspace: ticket.WorkspaceName(strconv.Itoa(i)), Rank: 1}
		l.Decide(Request{Group: g, TimeLeft: 1000}, freeCapacity, 1, Time{now, now})
	}
	if n := len(l.groups); n > 12 {
		t.Errorf("%d groups kept", n)
	}
}
