package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["killer"] = killer }

// backAfter is how long a replica that has crashed stays away.
const backAfter = 3 * time.Second

// crash ends the replica with all its channels. It is back after some seconds, as a new boot with
// a new id.
func (r *replica) crash() {
	r.mu.Lock()
	server := r.server
	if r.crashed {
		r.mu.Unlock()
		return
	}
	r.crashed, r.silent = true, true
	r.mu.Unlock()
	r.world.log("%s crashes", r.id)
	server.Close()
	go func() {
		select {
		case <-r.world.ended:
			return
		case <-time.After(backAfter):
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return
		}
		old := r.id
		r.mu.Lock()
		r.boots++
		r.id, r.address, r.born, r.sequence = fmt.Sprintf("%s-%d", strings.SplitN(old, ".", 2)[0]+".", r.boots), l.Addr().String(), time.Now().UnixMilli(), 0
		r.running, r.waiting, r.crashed, r.silent = 0, nil, false, false
		r.server = &http.Server{Handler: r}
		server := r.server
		r.mu.Unlock()
		r.world.log("%s is back as %s", old, r.id)
		r.report()
		go func() { // The old entry goes after three intervals of silence.
			time.Sleep(max(0, 3*heartbeat-backAfter))
			r.world.store.put("keyed.servers", old, nil)
		}()
		server.Serve(l)
	}()
}

// killer sends one request that crashes each replica that begins to run it, right after its first
// event.
func killer(w *world) {
	const deadly = "/audit/deadly"
	w.config(1, nil)
	var mu sync.Mutex
	var arrivals, crashes []time.Time
	run := func(r *replica, rw http.ResponseWriter, request *http.Request, body []byte) {
		if request.URL.Path != deadly || !w.trouble {
			streamRun(20, 200*time.Millisecond)(r, rw, request, body)
			return
		}
		rw.Header().Set("Content-Type", "text/event-stream")
		rw.Header().Set("X-Weight-Versions", "1")
		after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		fmt.Fprintf(rw, "id: %d\ndata: %s-%d\n\n", after+1, request.Header.Get("X-Request-Id"), after+1)
		http.NewResponseController(rw).Flush()
		time.Sleep(20 * time.Millisecond)
		mu.Lock()
		crashes = append(crashes, time.Now())
		mu.Unlock()
		r.crash()
		panic(http.ErrAbortHandler)
	}
	for i := range 8 {
		r := w.startReplica(&replica{id: fmt.Sprintf("i-%d.", i+1), service: "lm-pool", zone: "vantaa", version: "v1", slots: 16, queue: 16, run: run})
		r.arrived = func(request *http.Request) {
			if request.URL.Path == deadly {
				mu.Lock()
				arrivals = append(arrivals, time.Now())
				mu.Unlock()
			}
		}
	}
	w.startMachines("vantaa", "vantaa")
	time.Sleep(4 * time.Second)
	var all sync.WaitGroup
	stopped := make(chan struct{})
	served, bystanders := 0, 0
	for _, m := range w.machines {
		all.Go(func() {
			var each sync.WaitGroup
			defer each.Wait()
			for {
				select {
				case <-stopped:
					return
				case <-time.After(250 * time.Millisecond):
				}
				each.Go(func() {
					c := w.connect(m)
					defer c.close()
					a := w.send(m, c, request{method: "POST", host: "desk.example", path: "/audit/1", deadline: 20 * time.Second,
						headers: []string{keyLine, "X-Model: model-a", "X-Token-Counts: 1200,200"}, body: []byte("audit " + newID())})
					mu.Lock()
					defer mu.Unlock()
					bystanders++
					if a.status == 200 && a.complete {
						served++
					}
				})
			}
		})
	}
	time.Sleep(time.Second)
	c := w.connect(w.machines[0])
	w.send(w.machines[0], c, request{method: "POST", host: "desk.example", path: deadly, deadline: 20 * time.Second,
		headers: []string{keyLine, "X-Model: model-a", "X-Token-Counts: 1200,200"}, body: []byte("the deadly request")})
	c.close()
	time.Sleep(time.Second)
	close(stopped)
	all.Wait()
	mu.Lock()
	late := 0
	if len(crashes) >= 3 {
		for _, a := range arrivals {
			if a.After(crashes[2].Add(3 * time.Second)) { // contactMs
				late++
			}
		}
	}
	n := len(crashes)
	mu.Unlock()
	w.finish(late > 3, "BUDGET: one request crashed replicas %d times; it reached replicas in %d retries later than contactMs after its third crash; %d of %d other streams were served meanwhile", n, late, served, bystanders)
}
