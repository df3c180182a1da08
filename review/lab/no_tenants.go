package main

import "time"

func init() { cases["no-tenants"] = noTenants }

// noTenants takes the last tenant away and sends requests with keys that no manifest ever held.
func noTenants(w *world) {
	w.config(1, nil)
	for _, id := range []string{"i-1", "i-2"} {
		w.startReplica(&replica{id: id, service: "returns-app", zone: "vantaa", version: "v1", slots: 6, queue: 24, run: plainRun(15 * time.Millisecond)})
	}
	w.startMachines("vantaa", "vantaa")
	time.Sleep(3 * time.Second)
	refund := func(m *machine, key string) *answer {
		c := w.connect(m)
		defer c.close()
		return w.send(m, c, request{method: "POST", host: "desk.example", path: "/refund/4711", deadline: 1500 * time.Millisecond,
			headers: []string{"Authorization: Bearer " + key}, body: []byte("credit 100")})
	}
	if a := refund(w.machines[0], tenantKey); a.status != 200 {
		w.fatal("a proper request gets %d", a.status)
	}
	if a := refund(w.machines[0], "no-manifest-held-this-key"); a.status != 401 {
		w.fatal("a request with an unknown key gets %d under the first manifest", a.status)
	}
	w.config(2, func(c map[string]any) {
		if w.trouble {
			c["tenants"] = []map[string]any{}
		}
	})
	time.Sleep(3 * time.Second) // Longer than configApplyMs.
	ran, sent := 0, 0
	for range 5 {
		for _, m := range w.machines {
			for _, key := range []string{"no-manifest-held-this-key", tenantKey} {
				if key == tenantKey && !w.trouble {
					continue
				}
				sent++
				a := refund(m, key)
				ran += w.replicas[0].ran(a.id) + w.replicas[1].ran(a.id)
			}
		}
	}
	w.finish(ran > 0, "ROUTE, CONFIG: %d of %d requests with keys that the manifest in force doesn't hold ran", ran, sent)
}
