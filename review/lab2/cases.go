package main

import (
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	service   = "returns-app"
	drainTime = 2 * time.Second
)

// fleet starts a machine in each of three zones and a replica in each of four.
func (l *lab) fleet() (machines []*machine, replicas []*replica) {
	l.publish()
	for _, zone := range []string{"vantaa", "espoo", "lahti", "hameenlinna"} {
		r := l.newReplica("i-"+zone, zone, service)
		replicas = append(replicas, r)
		if zone != "hameenlinna" {
			machines = append(machines, l.newMachine("front-"+zone+"-1", zone))
		}
	}
	return machines, replicas
}

func (l *lab) startAll(machines []*machine, replicas []*replica) {
	for _, r := range replicas {
		r.startBeats()
	}
	for _, m := range machines {
		m.writeSettings(true, machines...)
		m.start()
	}
	for _, m := range machines {
		m.awaitReady(10 * time.Second)
	}
}

// lateReport: the answer to one status report of a replica is lost, and the report is executed 6 s
// later, when the replica has left.
func lateReport(l *lab) {
	machines, replicas := l.fleet()
	leaver := replicas[2]
	var delayed atomic.Int64
	var lostUntil atomic.Int64
	leaver.onBeat = func(sequence int64, write func()) {
		if l.trouble && time.Now().UnixMilli() < lostUntil.Load() && delayed.CompareAndSwap(0, sequence) {
			l.record("platform", "report %d of %s gets no answer and is executed 5.9 s later", sequence, leaver.id)
			time.AfterFunc(5900*time.Millisecond, func() {
				l.record("platform", "report %d of %s is executed", sequence, leaver.id)
				write()
			})
			return
		}
		write()
	}
	l.startAll(machines, replicas)
	var traffic []*consumers
	for _, m := range machines {
		traffic = append(traffic, l.startConsumers(m, 1, time.Second))
	}
	l.until(5.8)
	lostUntil.Store(time.Now().Add(400 * time.Millisecond).UnixMilli())
	l.record("platform", "the store loses answers of writes for 0.4 s")
	l.until(8)
	for _, c := range traffic {
		c.end() // No requests come for some seconds: the replica tells nobody that it leaves.
	}
	earlier := len(traffic)
	l.until(9.35) // The store has been stable for contactMs.
	leaver.stopBeats()
	leaver.leaving.Store(true)
	removedAt := time.Now()
	l.store.put(topicServers, leaver.id, nil)
	l.record("platform", "the entry of %s is removed; the replica serves on for 6 s", leaver.id)
	l.until(12)
	for _, m := range machines {
		traffic = append(traffic, l.startConsumers(m, 4, 200*time.Millisecond))
	}
	l.until(15.35)
	l.record("platform", "%s ends", leaver.id)
	leaver.server.Close()
	l.until(16)
	for _, c := range traffic[earlier:] {
		c.end()
	}
	late := l.runsOf(func(n run) bool { return n.replica == leaver && n.at.After(removedAt.Add(drainTime)) })
	l.finish(len(late) > 0, "%d requests reached %s later than drainMs after its removal was acknowledged;%s", len(late), leaver.id, l.summary(late))
}

// falsePromise: a replica fails part of its requests after it has run them, with status 503.
func falsePromise(l *lab) {
	machines, replicas := l.fleet()
	var failing atomic.Bool
	replicas[1].fault = func(*http.Request) bool { return l.trouble && failing.Load() && rand.Float64() < 0.4 }
	l.startAll(machines, replicas)
	var traffic []*consumers
	for _, m := range machines {
		traffic = append(traffic, l.startConsumers(m, 4, 150*time.Millisecond))
	}
	l.until(6)
	failing.Store(true)
	l.record("platform", "%s fails part of its requests for 5 s", replicas[1].id)
	l.until(11)
	failing.Store(false)
	l.until(13)
	ranAt := map[string]bool{}
	for _, n := range l.runsOf(func(run) bool { return true }) {
		ranAt[n.id] = true
	}
	count, first := 0, ""
	for _, c := range traffic {
		c.end()
		for _, a := range c.all() {
			if a.unsafe && (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421) && ranAt[a.id] {
				count++
				if first == "" {
					first = a.id
				}
			}
		}
	}
	l.finish(count > 0, "%d unsafe requests were answered with a promise not to have run, and had run; first %s", count, first)
}
