package main

import (
	"time"
)

const (
	// coldTime, coldPerS, coldOvershoot and coldSlack are the figures of a cold replica, from the
	// users' sheet of kylma-returns.
	coldTime      = 3 * time.Second
	coldPerS      = 17.0
	coldOvershoot = 1.5
	coldSlack     = 5.0
	// coldCrash is the number of requests in a second above which a cold replica crashes, five times
	// what it tolerates.
	coldCrash = 5 * coldPerS
	// coldRate is how many requests a second the callers send, and coldWork how long each runs.
	coldRate = 800
	coldWork = 20 * time.Millisecond
)

// coldAgain checks FAILBACK with a replica that turns cold again.
func coldAgain(l *lab) bool {
	config := manifest(1, []string{key}, route("post", "app", "unsafe", 1500*time.Millisecond, 1))
	for _, s := range config["services"].([]map[string]any) {
		s["coldStartS"], s["coldPerS"] = coldTime.Seconds(), coldPerS
	}
	l.store.put("keyed.op", "config", config)
	for n := range 4 {
		r := l.addReplica("app", []string{"zone-1", "zone-2"}[n%2], 48)
		r.work = coldWork
	}
	l.startMachines(2, []string{"zone-1", "zone-2"}, smallMachine)
	stop := make(chan struct{})
	defer close(stop)
	var answers outcomes
	every(time.Second/coldRate, stop, func(n int) {
		a := l.send(call{machine: l.machines[n%len(l.machines)], method: "POST", path: "/post/order", id: newID("post"), key: key, body: newID("order"), wait: 1500 * time.Millisecond})
		if a.status == 0 {
			answers.add("no answer")
			return
		}
		answers.add(a.String())
	})
	time.Sleep(6 * time.Second)
	l.note("before: %v", &answers)
	r := l.replicas[0]
	id := r.id
	begin := time.Now()
	if l.trouble {
		r.turnCold(coldTime)
		begin = time.Now()
	}
	time.Sleep(coldTime)
	var times []time.Time
	for _, one := range l.ranSince(begin) {
		if one.replica == id && one.at.Before(begin.Add(coldTime)) {
			times = append(times, one.at)
		}
	}
	most := 0
	for i := range times {
		n := 0
		for n < len(times)-i && times[i+n].Sub(times[i]) < time.Second {
			n++
		}
		most = max(most, n)
	}
	time.Sleep(2 * time.Second)
	bound := coldPerS*coldOvershoot + coldSlack
	l.note("replica %s: %d requests in the %v after the confirmation, at most %d in one second; the bound for a cold one is %v; answers: %v", id, len(times), coldTime, most, bound, &answers)
	return l.trouble && float64(most) > bound
}
