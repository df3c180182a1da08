package main

import (
	"strings"
	"sync"
	"time"
)

const (
	deadlyPath = "/refund/deadly"
	// downTime is how long a replica is down after a crash: "back after some seconds".
	downTime = 3 * time.Second
	// deadlyPause is the time between two attempts with the deadly request.
	deadlyPause = 2 * time.Second
	// deadlyRetries is the number of later arrivals that BUDGET allows.
	deadlyRetries = 3
	contactTime   = 3 * time.Second
)

// deadlyRefund: an unsafe request without a body crashes each replica that begins to run it, and
// comes again every two seconds, at each machine in turn.
func deadlyRefund(l *lab) {
	machines, replicas := l.fleet()
	var mu sync.Mutex
	var crashes []time.Time
	var arm func(*replica)
	arm = func(r *replica) {
		r.onRun = func(path string) bool {
			if path != deadlyPath || !l.trouble {
				return false
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			l.record("platform", "%s crashes", r.id)
			go func() {
				r.server.Close()
				r.stopBeats()
				time.Sleep(downTime)
				if l.ending.Load() {
					return
				}
				fresh := l.newReplica(r.id+"b", r.zone, r.service)
				arm(fresh)
				fresh.startBeats()
				l.record("platform", "%s is started", fresh.id)
			}()
			return true
		}
	}
	for _, r := range replicas {
		arm(r)
	}
	l.startAll(machines, replicas)
	var traffic []*consumers
	for _, m := range machines {
		traffic = append(traffic, l.startConsumers(m, 4, 150*time.Millisecond))
	}
	l.until(5)
	for n := range 14 {
		m := machines[n%len(machines)]
		c := &consumers{lab: l, machine: m}
		ch := &channel{address: m.at(l.ports.front)}
		c.sendRequest(ch, "POST", deadlyPath, "", true)
		ch.close()
		time.Sleep(deadlyPause)
	}
	lost := 0
	for _, c := range traffic {
		c.end()
		for _, a := range c.all() {
			if a.unsafe && (a.status == 0 || a.status >= 500 && a.status != 503) {
				lost++
			}
		}
	}
	mu.Lock()
	defer mu.Unlock()
	arrivals := l.runsOf(func(n run) bool { return strings.HasSuffix(n.path, deadlyPath) })
	if len(crashes) < 3 {
		l.finish(false, "%d crashes by %d arrivals; %d unsafe requests of others were lost", len(crashes), len(arrivals), lost)
	}
	late := l.runsOf(func(n run) bool { return n.path == deadlyPath && n.at.After(crashes[2].Add(contactTime)) })
	l.finish(len(late) > deadlyRetries, "%d crashes by %d arrivals, %d of them later than contactMs after the third crash (%d are allowed); %d unsafe requests of others were lost",
		len(crashes), len(arrivals), len(late), deadlyRetries, lost)
}
