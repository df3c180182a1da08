package main

import (
	"fmt"
	"time"
)

const (
	// crashAfter is when the zone's replicas go down after the route was added, and zoneDown how
	// long they are down.
	crashAfter = 6 * time.Second
	zoneDown   = 4500 * time.Millisecond
	// steadyAfter is how long the replicas are back when the steady state begins, and watchTime how
	// long it is watched.
	steadyAfter = 8 * time.Second
	watchTime   = 15 * time.Second
	// lookupTime is how long a replica works on a lookup.
	lookupTime = 60 * time.Millisecond
	// minRequests and minShare are the figures of the rule.
	minRequests = 20
	minShare    = 0.25
)

// tally counts requests and those of them that were served.
type tally struct{ sent, served int }

func (t tally) share() float64 { return float64(t.served) / float64(max(1, t.sent)) }

// lookupAfterCrash checks CONFIG on a route that was added later. All its requests are the same
// lookup, and the replicas of the only zone go down and come back together.
func lookupAfterCrash(l *lab) bool {
	first := route("look", "app", "safe", 3*time.Second, 2)
	l.publish(1, []string{key}, []map[string]any{first})
	for range 4 {
		r := l.addReplica("app", "zone-1", 6)
		r.work, r.downFor = lookupTime, zoneDown
	}
	l.startMachines(7, []string{"zone-1"}, smallMachine)
	time.Sleep(2 * time.Second)
	l.publish(2, []string{key}, []map[string]any{first, route("stock", "app", "safe", 3*time.Second, 2)})
	time.Sleep(configApplyTime)

	stop := make(chan struct{})
	counts := make(chan func(), 4096)
	var steady bool
	var added, old tally
	answers := map[string]int{}
	caller := func(path func(n int) string, t *tally) func(n int) {
		return func(n int) {
			c := call{machine: l.machines[n%len(l.machines)], method: "GET", path: path(n), id: newID("get"), key: key, wait: 3 * time.Second}
			a := l.send(c)
			counts <- func() {
				if !steady {
					return
				}
				t.sent++
				if a.status == 200 && a.err == nil {
					t.served++
				}
				answers[c.path[:6]+" "+a.String()]++
			}
		}
	}
	every(5*time.Millisecond, stop, caller(func(int) string { return "/stock/today" }, &added))
	every(20*time.Millisecond, stop, caller(func(n int) string { return fmt.Sprintf("/look/bin-%d", n%997) }, &old))
	count := func(d time.Duration) {
		for end := time.After(d); ; {
			select {
			case f := <-counts:
				f()
			case <-end:
				return
			}
		}
	}
	count(crashAfter)
	if l.trouble {
		l.note("the replicas of zone-1 go down")
		for _, r := range l.replicas {
			go r.crash()
		}
	}
	count(zoneDown + steadyAfter)
	steady = true
	l.note("the steady state begins")
	count(watchTime)
	close(stop)
	l.note("in the steady state: %d of %d served on the added route, %d of %d on the first one; %v", added.served, added.sent, old.served, old.sent, answers)
	return added.sent >= minRequests && added.share() < minShare*old.share()
}
