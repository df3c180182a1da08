package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["late-manifest"] = lateManifest }

// lateManifest loses the answer of one write of the operator, which the store executes some seconds
// later, when a newer manifest is already in force.
func lateManifest(w *world) {
	const (
		lateBy   = 5 * time.Second
		keyFirst = "k-first-0000000000001"
		keyThird = "k-third-0000000000003"
	)
	// Version 3 takes a key away and adds one.
	manifest := func(version int) func(map[string]any) {
		return func(c map[string]any) {
			key := keyFirst
			if version == 3 {
				key = keyThird
			}
			c["tenants"] = []map[string]any{
				{"name": "pharmacy", "apiKeys": []string{tenantKey}, "priority": 1},
				{"name": "wholesaler", "apiKeys": []string{key}, "priority": 1},
			}
		}
	}
	w.config(1, manifest(1))
	for _, id := range []string{"i-1", "i-2"} {
		w.startReplica(&replica{id: id, service: "returns-app", zone: "vantaa", version: "v1", slots: 6, queue: 24, run: plainRun(15 * time.Millisecond)})
	}
	w.startMachines("vantaa", "vantaa", "espoo")
	time.Sleep(3 * time.Second)
	refund := func(m *machine, key string) *answer {
		c := w.connect(m)
		defer c.close()
		return w.send(m, c, request{method: "POST", host: "desk.example", path: "/refund/4711", deadline: 1500 * time.Millisecond,
			headers: []string{"Authorization: Bearer " + key}, body: []byte("credit 100")})
	}
	if a := refund(w.machines[0], keyFirst); a.status != http.StatusOK {
		w.fatal("a proper request gets %d", a.status)
	}
	var late sync.WaitGroup
	sent := time.Now()
	if w.trouble {
		w.log("operator: manifest 2 is sent and gets no answer")
		late.Go(func() {
			time.Sleep(lateBy)
			w.config(2, manifest(2))
			w.log("store: the write of manifest 2 that got no answer is executed, %.1f s after it was sent", time.Since(sent).Seconds())
		})
		time.Sleep(time.Second) // The operator's time-out.
	}
	w.config(2, manifest(2))
	time.Sleep(1500 * time.Millisecond)
	w.config(3, manifest(3))
	confirmed := time.Now()
	late.Wait()
	// Later than contactMs after the last disturbance of the store, and than configApplyMs after the
	// confirmation of version 3.
	time.Sleep(3500 * time.Millisecond)
	ran, denied, all := 0, 0, 0
	for range 10 {
		for _, m := range w.machines {
			all++
			a := refund(m, keyFirst)
			ran += w.replicas[0].ran(a.id) + w.replicas[1].ran(a.id)
			if a := refund(m, keyThird); a.status == http.StatusUnauthorized {
				denied++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.showLog("record-taken", "key=config")
	w.finish(ran > 0 || denied > 0, "CONFIG: %.1f s and more after the confirmation of version 3, %d of %d requests with the key that it dropped ran, and %d of %d with the key that it added got 401", time.Since(confirmed).Seconds()-1, ran, all, denied, all)
}
