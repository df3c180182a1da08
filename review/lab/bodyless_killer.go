package main

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["bodyless-killer"] = bodylessKiller }

// bodylessKiller sends an unsafe request without a body again and again that crashes each replica
// which begins to run it.
func bodylessKiller(w *world) {
	const (
		path    = "/refund/4711/void"
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
		go r.crash()
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	for i := range 4 {
		w.startReplica(&replica{id: "i-" + strconv.Itoa(i+1) + ".", service: "returns-app", zone: "vantaa", version: "v1", slots: 6, queue: 24, run: run})
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
