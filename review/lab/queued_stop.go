package main

import (
	"sync"
	"time"
)

func init() { cases["queued-stop"] = queuedStop }

// config is a manifest of a small deployment: streams on a pool of engines and unsafe and safe
// requests on an application.
func (w *world) config(version int, change func(map[string]any)) {
	engine := map[string]any{"slots": 2, "kvCapacity": 700000, "tokenKvBytes": 35136, "linkMbps": 1100000.0, "stride": 7, "most": 12,
		"models": []map[string]any{{"name": "model-a", "cost": 0.016}}}
	c := map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "audit", "host": "desk.example", "pathPrefix": "/audit/", "kind": "streaming", "timeoutMs": 20000, "goalMs": 2000, "priority": 0,
				"service": "lm-pool", "attempts": 3, "public": false, "sticky": true, "resumable": true, "gapTargetMs": 1000},
			{"name": "refund", "host": "desk.example", "pathPrefix": "/refund/", "kind": "unsafe", "timeoutMs": 800, "goalMs": 100, "priority": 2,
				"service": "returns-app", "attempts": 1, "public": false},
			{"name": "stock", "host": "desk.example", "pathPrefix": "/stock/", "kind": "safe", "timeoutMs": 800, "goalMs": 100, "priority": 2,
				"service": "returns-app", "attempts": 2, "public": false},
		},
		"services": []map[string]any{
			{"name": "lm-pool", "healthPath": "/health", "maxConnections": 310, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0, "engine": engine},
			{"name": "returns-app", "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "pharmacy", "apiKeys": []string{tenantKey}, "priority": 1}},
	}
	if change != nil {
		change(c)
	}
	w.store.put("keyed.op", "config", c)
	w.log("operator: manifest %d is confirmed", version)
}

const tenantKey = "n2ctnfzs989anu6wsjnb"

var keyLine = "Authorization: Bearer " + tenantKey

// queuedStop stops a machine while requests that it has passed on wait in the replicas' queues.
func queuedStop(w *world) {
	w.config(1, nil)
	for _, id := range []string{"i-1", "i-2"} {
		// 28 events with a pause of half a second, half of the pause that is in time.
		w.startReplica(&replica{id: id, service: "lm-pool", zone: "vantaa", version: "v1", slots: 2, queue: 8, run: streamRun(28, 500*time.Millisecond)})
	}
	w.startMachines("vantaa", "vantaa")
	stopped, other := w.machines[0], w.machines[1]
	time.Sleep(3 * time.Second) // Longer than contactMs after the start.

	audit := func(m *machine) *answer {
		c := w.connect(m)
		defer c.close()
		return w.send(m, c, request{method: "POST", host: "desk.example", path: "/audit/1", deadline: 20 * time.Second,
			headers: []string{keyLine, "X-Model: model-a", "X-Token-Counts: 1200,200"}, body: make([]byte, 1200)})
	}
	var all sync.WaitGroup
	busy := func() int { return w.replicas[0].inUse() + w.replicas[1].inUse() }
	for range 6 { // They take all slots, through the machine that goes on.
		if busy() == 4 {
			break
		}
		all.Go(func() { audit(other) })
		time.Sleep(200 * time.Millisecond)
	}
	if busy() < 4 {
		w.fatal("the replicas are not busy")
	}
	var mu sync.Mutex
	var answers []*answer
	for range 2 {
		all.Go(func() {
			a := audit(stopped)
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
		})
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(400 * time.Millisecond)
	stopAt := time.Now()
	if w.trouble {
		w.stop(stopped, 8*time.Second)
	}
	all.Wait()
	broken := 0
	var words []string
	for _, a := range answers {
		words = append(words, a.id)
		ran := w.replicas[0].ran(a.id) + w.replicas[1].ran(a.id)
		// Planned work lasts until 1 s after graceS. A replica that has not begun to run the request
		// was not at work on it in the last sixth of graceS.
		if a.connected && !a.complete && !a.timedOut() && ran == 0 && a.endedAt.Before(stopAt.Add(9*time.Second)) {
			broken++
		}
	}
	w.showLog("request-unfinished", words...)
	w.finish(broken > 0, "LOST: %d of %d requests that the stopped machine had read and passed on ended without an answer, before a replica had begun to run them", broken, len(answers))
}
