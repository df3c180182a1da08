package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["bodyless-killer"] = bodylessKiller }

// fall ends the replica's process: all its channels are reset and its address refuses new ones. After
// a while it starts again at its address, with a new id.
func (r *replica) fall(back time.Duration) {
	r.mu.Lock()
	if r.crashed {
		r.mu.Unlock()
		return
	}
	r.crashed, r.silent = true, true
	r.mu.Unlock()
	r.world.log("%s: crashes", r.id)
	r.server.Close()
	time.AfterFunc(back, func() {
		r.mu.Lock()
		r.boots++
		boots := r.boots
		r.mu.Unlock()
		name, _, _ := cutLast(r.id, "-b")
		next := &replica{id: fmt.Sprintf("%s-b%d", name, boots), boots: boots, service: r.service, zone: r.zone, version: r.version,
			slots: r.slots, queue: r.queue, run: r.run, arrived: r.arrived}
		r.world.startReplica(next)
		r.world.log("%s: is back as %s", r.id, next.id)
	})
	// Its entry is removed after three intervals of silence.
	time.AfterFunc(3*heartbeat, func() { r.world.store.put("keyed.servers", r.id, nil) })
}

// cutLast cuts s around the last separator.
func cutLast(s, separator string) (before, after string, found bool) {
	for i := len(s) - len(separator); i >= 0; i-- {
		if s[i:i+len(separator)] == separator {
			return s[:i], s[i+len(separator):], true
		}
	}
	return s, "", false
}

// bodylessKiller sends an unsafe request without a body again and again that crashes each replica
// which begins to run it.
func bodylessKiller(w *world) {
	const (
		path    = "/refund/4711/void"
		backIn  = 3 * time.Second
		comesIn = 1500 * time.Millisecond
		times   = 20
	)
	w.config(1, nil)
	var mu sync.Mutex
	var crashes []time.Time
	ordinary := plainRun(50 * time.Millisecond)
	run := func(r *replica, out http.ResponseWriter, request *http.Request, body []byte) {
		if request.URL.Path != path || !w.trouble {
			ordinary(r, out, request, body)
			return
		}
		mu.Lock()
		crashes = append(crashes, time.Now())
		mu.Unlock()
		go r.fall(backIn)
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	for i := range 4 {
		w.startReplica(&replica{id: "i-" + strconv.Itoa(i+1), service: "returns-app", zone: "vantaa", version: "v1", slots: 6, queue: 24, run: run})
	}
	w.startMachines("vantaa", "vantaa")
	time.Sleep(3 * time.Second) // Longer than contactMs after the start.

	var all sync.WaitGroup
	end := make(chan struct{})
	lost, answered := 0, 0
	for i := range 8 { // Consumers with refunds of their own.
		all.Go(func() {
			for {
				select {
				case <-end:
					return
				case <-time.After(100 * time.Millisecond):
				}
				m := w.machines[i%2]
				c := w.connect(m)
				a := w.send(m, c, request{method: "POST", host: "desk.example", path: "/refund/" + strconv.Itoa(i), deadline: 1500 * time.Millisecond, headers: []string{keyLine}, body: []byte("credit 100")})
				c.close()
				mu.Lock()
				if a.status == http.StatusOK {
					answered++
				} else {
					lost++
				}
				mu.Unlock()
			}
		})
	}
	type sent struct {
		id string
		at time.Time
	}
	var killers []sent
	for n := range times {
		m := w.machines[n%2]
		c := w.connect(m)
		a := w.send(m, c, request{method: "POST", host: "desk.example", path: path, deadline: 1500 * time.Millisecond, headers: []string{keyLine}})
		c.close()
		killers = append(killers, sent{a.id, a.sentAt})
		time.Sleep(comesIn)
	}
	close(end)
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= 3 {
		for _, k := range killers {
			if !k.at.After(crashes[2].Add(3 * time.Second)) {
				continue
			}
			for _, r := range w.replicas {
				late += r.ran(k.id)
			}
		}
	}
	w.finish(late > 3, "BUDGET: the request crashed %d replicas; %d of its arrivals were sent later than contactMs after it had crashed the third; of the other refunds %d were answered with 200, %d weren't", len(crashes), late, answered, lost)
}
