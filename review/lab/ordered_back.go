package main

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["ordered-back"] = orderedBack }

// orderedBack rolls out a bad version, and lets the operator order the old one back while the first
// order still runs.
func orderedBack(w *world) {
	const (
		service  = "returns-app"
		rate     = 60
		duration = 24 * time.Second
	)
	w.config(1, nil)
	w.brief = true
	var mu sync.Mutex
	arrived := map[string]int{}
	bad := 0
	count := false
	start := func(id, version string) {
		r := &replica{id: id, service: service, zone: "vantaa", version: version, slots: 6, queue: 24}
		good := plainRun(30 * time.Millisecond)
		runs := 0
		r.run = func(r *replica, out http.ResponseWriter, request *http.Request, body []byte) {
			mu.Lock()
			runs++
			fails := version == "v2" && runs%2 == 0
			if fails {
				bad++
			}
			mu.Unlock()
			if fails {
				out.WriteHeader(http.StatusInternalServerError)
				return
			}
			good(r, out, request, body)
		}
		r.arrived = func(*http.Request) {
			mu.Lock()
			if count {
				arrived[version]++
			}
			mu.Unlock()
		}
		w.startReplica(r)
	}
	for i := range 4 {
		start("i-1-"+strconv.Itoa(i), "v1")
	}
	w.startMachines("vantaa", "vantaa", "vantaa")
	time.Sleep(4 * time.Second)
	end := make(chan struct{})
	var all sync.WaitGroup
	failed, asked := 0, 0
	go func() {
		for n := 0; ; n++ {
			select {
			case <-end:
				return
			case <-time.After(time.Second / rate):
			}
			m := w.machines[n%len(w.machines)]
			all.Go(func() {
				c := w.connect(m)
				defer c.close()
				a := w.send(m, c, request{method: "POST", host: "desk.example", path: "/refund/" + strconv.Itoa(n), deadline: 1500 * time.Millisecond, headers: []string{keyLine}, body: []byte("credit 100")})
				mu.Lock()
				asked++
				if a.status != http.StatusOK {
					failed++
				}
				mu.Unlock()
			})
		}
	}()
	time.Sleep(2 * time.Second)
	w.store.put("keyed.op", "rollout/"+service, map[string]any{"service": service, "target": "v2", "durationS": duration.Seconds()})
	w.log("operator: orders v2")
	ordered := time.Now()
	mu.Lock()
	count = true
	mu.Unlock()
	time.Sleep(500 * time.Millisecond)
	for i := range 4 {
		start("i-2-"+strconv.Itoa(i), "v2")
	}
	time.Sleep(3 * time.Second)
	w.log("status: %s", w.store.value("keyed.status", "rollout/"+service))
	if w.trouble {
		w.store.put("keyed.op", "rollout/"+service, map[string]any{"service": service, "target": "v1", "durationS": duration.Seconds()})
		w.log("operator: orders v1")
	}
	for time.Since(ordered) < duration {
		time.Sleep(time.Second)
		mu.Lock()
		w.log("arrived so far: v1 %d, v2 %d; status %s", arrived["v1"], arrived["v2"], w.store.value("keyed.status", "rollout/"+service))
		mu.Unlock()
	}
	close(end)
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	total := arrived["v1"] + arrived["v2"]
	limit := 0.15*float64(total) + 30
	w.finish(float64(arrived["v2"]) > limit, "EXPOSURE: v2 got %d of %d requests between its order and its time budget (%.0f are allowed), %d of them ran badly; %d of %d requests got no 200", arrived["v2"], total, limit, bad, failed, asked)
}
