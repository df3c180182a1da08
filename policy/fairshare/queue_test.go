package fairshare

import (
	"slices"
	"testing"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/loadlist"
)

// waitingLimiter returns a limiter with half of a service's demand, of which it lets in about half.
func waitingLimiter() *Limiter {
	l := NewLimiter("s")
	for i := range 10 {
		l.Decide(Request{Group: workspace(0, 3), Content: uint64(i), TimeLeft: 1000}, freeCapacity, 2, Time{900, 900})
	}
	l.SetPeers(loadlist.Sum{"s/3/w0": 10}, 900)
	return l
}

// pollAll polls all tickets until no wait goes on, and returns the tickets in the order of their
// release and how all waits ended.
func pollAll(l *Limiter, tickets []Ticket, c Capacity, now clock.Millis) (released []Ticket, ends map[Ticket]WaitEnd, endedAt map[Ticket]clock.Millis) {
	ends, endedAt = map[Ticket]WaitEnd{}, map[Ticket]clock.Millis{}
	for end := now + 2*MaxWait; now < end; now += 10 {
		l.SetPeers(loadlist.Sum{"s/3/w0": 10}, now)
		l.Decide(Request{Group: workspace(0, 3), Content: uint64(now), TimeLeft: 1000}, freeCapacity, 2, Time{now, now})
		for _, ticket := range tickets {
			if end := l.Poll(ticket, func() Capacity { return c }, 2, Time{now, now}); end != "" {
				ends[ticket], endedAt[ticket] = end, now
				if end == WaitReleased {
					released = append(released, ticket)
				}
			}
		}
	}
	return released, ends, endedAt
}

// TestQueueOrder guards against a queue that releases in order of arrival when the lack of capacity
// ends, behind a workspace's many requests or less urgent ones (priority inversion, noisy neighbour,
// head-of-line blocking), or that releases all at once.
func TestQueueOrder(t *testing.T) {
	l := waitingLimiter()
	capacity := freeCapacity
	capacity.Slots = 40 // 10 waiting requests a second are released here at most.
	var tickets []Ticket
	for i, r := range []Request{
		{Group: workspace(1, 2), TimeLeft: 9000},
		{Group: workspace(1, 1), TimeLeft: 8000}, {Group: workspace(1, 1), TimeLeft: 7000}, {Group: workspace(1, 1), TimeLeft: 7500},
		{Group: workspace(2, 1), TimeLeft: 9000}, {Group: workspace(2, 0), TimeLeft: 9000},
	} {
		r.Content = uint64(i)
		ticket, ok := l.Wait(r, capacity, 2, Time{1000, 1000}, 100, true)
		if !ok {
			t.Fatalf("request %d does not wait", i)
		}
		tickets = append(tickets, ticket)
	}
	l.Leave(tickets[3]) // Its caller disconnected.
	released, _, at := pollAll(l, tickets, capacity, 1000)
	if want := []Ticket{tickets[5], tickets[2], tickets[4], tickets[1], tickets[0]}; !slices.Equal(released, want) {
		t.Errorf("released %v, want %v", released, want)
	}
	if first, last := at[released[0]], at[released[len(released)-1]]; last-first < 300 {
		t.Errorf("released within %d ms", last-first)
	}
}

// TestQueueInTime guards against a request that waits although it can't be served in time, or is not
// told until its deadline that it was not.
func TestQueueInTime(t *testing.T) {
	rows := []struct {
		name     string
		group    Group
		capacity Capacity
		timeLeft clock.Millis
		admitted bool
		waits    bool
		end      WaitEnd
	}{
		{"no place comes free", workspace(1, 1), shortCapacity, 1200, true, true, WaitTooLate},
		{"its share comes in time", workspace(1, 1), Capacity{Slots: 30, Places: 39, Room: 3, SlotTime: 1000}, 8000, false, true, WaitReleased},
		{"its share comes too late", workspace(1, 3), Capacity{Slots: 2, Places: 39, Room: 3, SlotTime: 1000}, 8000, false, false, ""},
		{"much room", workspace(1, 1), Capacity{Slots: 100, Places: 130, Room: 100, SlotTime: 1000}, 8000, true, true, WaitReleased},
		{"too little time left", workspace(1, 1), shortCapacity, 350, true, false, ""},
		{"unknown slot time", workspace(1, 1), Capacity{Slots: 10, Places: 13}, 8000, true, false, ""},
	}
	for _, row := range rows {
		l := waitingLimiter()
		r := Request{Group: row.group, Content: 3, TimeLeft: row.timeLeft}
		for range 8 { // Another request of the group has the capacity that there is.
			l.count(&r, 1000)
		}
		ticket, waits := l.Wait(r, row.capacity, 2, Time{1000, 1000}, 200, row.admitted)
		if waits != row.waits {
			t.Errorf("%s: waits %v", row.name, waits)
			continue
		}
		_, ends, at := pollAll(l, []Ticket{ticket}, row.capacity, 1000)
		if latest := 1000 + min(MaxWait, (row.timeLeft-200)/2) + 2*PollPeriod; ends[ticket] != row.end || at[ticket] > latest {
			t.Errorf("%s: %s at %d, latest %d", row.name, ends[ticket], at[ticket], latest)
		}
		if l.Waiting() > 0 {
			t.Errorf("%s: %d still waiting", row.name, l.Waiting())
		}
	}
}

// TestFullQueue guards against a queue without bound, and against one that is full of less urgent
// requests when an urgent one comes.
func TestFullQueue(t *testing.T) {
	l := waitingLimiter()
	capacity := freeCapacity
	capacity.Slots = 400
	wait := func(rank int) (Ticket, bool) {
		return l.Wait(Request{Group: workspace(1, rank), TimeLeft: 9000}, capacity, 2, Time{1000, 1000}, 100, true)
	}
	var first Ticket
	for i := range MaxWaiting {
		ticket, ok := wait(1)
		if !ok {
			t.Fatalf("%d requests wait", i)
		}
		first = max(first, ticket)
	}
	if _, ok := wait(1); ok {
		t.Error("one more request waits")
	}
	if _, ok := wait(0); !ok || l.Waiting() != MaxWaiting {
		t.Errorf("an urgent request waits: %v, %d waiting", ok, l.Waiting())
	}
	if end := l.Poll(first, func() Capacity { return shortCapacity }, 2, Time{1000, 1000}); end != WaitDisplaced {
		t.Errorf("the last request's wait ended: %q", end)
	}
}

// TestQueuesOfFleet guards against waiting requests of all instances that are let in at the same
// moment, when the lack of capacity has ended for all of them (herding).
func TestQueuesOfFleet(t *testing.T) {
	for _, instances := range fleetSizes {
		f := newFleet(instances)
		demand := Rates{workspace(0, 0): 250, workspace(1, 1): 250}
		f.run(2*clock.Second, demand, nil)
		f.inFlight = fleetSlots * 12 / 10
		f.run(clock.Second, demand, nil) // Short of capacity for a moment.
		tickets := make([][]Ticket, instances)
		waiting := 0
		for i := range 600 {
			instance := i % instances
			r := Request{Group: workspace(1, 1), Content: f.random.Uint64(), TimeLeft: 9 * clock.Second}
			if ticket, ok := f.limiters[instance].Wait(r, f.capacity(), instances, Time{f.now, f.now}, 100, true); ok {
				tickets[instance] = append(tickets[instance], ticket)
				waiting++
			}
		}
		start, early, all := f.now, 0, 0
		f.run(3*clock.Second, demand, func() {
			for i, l := range f.limiters {
				for _, ticket := range tickets[i] {
					if l.Poll(ticket, f.capacity, instances, Time{f.now, f.now}) != WaitReleased {
						continue
					}
					all++
					if f.now < start+clock.Second/2 {
						early++
					}
				}
			}
		})
		bound := returnShare*maxGain*fleetRate/2 + float64(instances)
		t.Logf("%d instances: %d of %d released, %d in the first half second, bound %.0f", instances, all, waiting, early, bound)
		if float64(early) > bound || 2*all < waiting || waiting < 100 {
			t.Errorf("%d instances: %d of %d released, %d in the first half second, bound %.0f", instances, all, waiting, early, bound)
		}
	}
}

// TestQueueRate guards against requests that are held although endpoints have room, at an instance
// that takes a large part of a fast service: a queue that releases one request in each PollPeriod
// lets new requests take the places and refuses the waiting ones as too late.
func TestQueueRate(t *testing.T) {
	capacity := Capacity{Slots: 18, Places: 45, Room: 20, SlotTime: 30} // 375 a second are released.
	l := NewLimiter("s")
	var tickets []Ticket
	for i := range MaxWaiting {
		r := Request{Group: workspace(1, 1), Content: uint64(i), TimeLeft: 2000}
		l.Decide(r, capacity, 1, Time{1000, 1000})
		ticket, ok := l.Wait(r, capacity, 1, Time{1000, 1000}, 100, true)
		if !ok {
			t.Fatalf("request %d does not wait", i)
		}
		tickets = append(tickets, ticket)
	}
	released := 0
	for now := 1000 + PollPeriod; now <= 1400; now += PollPeriod {
		for _, ticket := range tickets {
			if l.Poll(ticket, func() Capacity { return capacity }, 1, Time{now, now}) == WaitReleased {
				released++
			}
		}
		if now == 1000+PollPeriod && released > 19 {
			t.Errorf("%d released at once", released)
		}
	}
	if released < MaxWaiting {
		t.Errorf("%d of %d released in 400 ms", released, MaxWaiting)
	}
}
