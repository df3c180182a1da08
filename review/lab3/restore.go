package main

import (
	"time"
)

// The drill of the store: the copy is taken, the operator makes two changes, and the store is away
// and comes back from the copy.
const (
	untilCopy  = 3 * time.Second
	untilFirst = 500 * time.Millisecond
	between    = time.Second
	untilAway  = time.Second
	awayTime   = time.Second
)

// startRestore starts two zones with a plain service, the first manifest, and a caller that sends
// 50 requests a second with the first key until stop is closed.
func startRestore(l *lab, keys []string, stop <-chan struct{}) (routes []map[string]any) {
	routes = []map[string]any{route("look", "app", "safe", 1500*time.Millisecond, 2)}
	l.publish(1, keys, routes)
	for range 2 {
		l.addReplica("app", "zone-1", 8)
		l.addReplica("app", "zone-2", 8)
	}
	l.startMachines(2, []string{"zone-1", "zone-2"}, smallMachine)
	every(20*time.Millisecond, stop, func(n int) {
		l.send(call{machine: l.machines[n%len(l.machines)], method: "GET", path: "/look/bin", id: newID("look"), key: keys[0], wait: 1500 * time.Millisecond})
	})
	return routes
}

// publish writes a manifest as the operator does.
func (l *lab) publish(version int, keys []string, routes []map[string]any) {
	offset := l.store.put("keyed.op", "config", manifest(version, keys, routes...))
	l.note("operator: manifest %d with keys %v is confirmed at offset %d", version, keys, offset)
}

// drill plays the drill. The manifests 2 and 3 are written after the copy was taken. While the store
// is away the operator calls next, which waits for it; manifest 3 is written again first.
func drill(l *lab, keys []string, routes []map[string]any, next func()) {
	time.Sleep(untilCopy)
	copied := l.store.snapshot()
	l.note("store: the copy is taken")
	time.Sleep(untilFirst)
	l.publish(2, keys, routes)
	time.Sleep(between)
	l.publish(3, keys, routes)
	time.Sleep(untilAway)
	if !l.trouble {
		time.Sleep(awayTime)
		next()
		return
	}
	l.note("store: away")
	l.store.goAway()
	time.Sleep(awayTime)
	l.store.comeBack(copied)
	l.publish(3, keys, routes)
	next()
}

// calm is how long the store has been back when the evacuation is ordered: its disturbance counts
// for contactTime, and the rest is for the replicas' next status reports.
const calm = contactTime + 3*time.Second

// evacuationAfterRestore checks EVAC: after the drill, in calm, the operator evacuates a zone.
func evacuationAfterRestore(l *lab) bool {
	stop := make(chan struct{})
	defer close(stop)
	keys := []string{key}
	routes := startRestore(l, keys, stop)
	drill(l, keys, routes, func() {})
	time.Sleep(calm)
	offset := l.store.put("keyed.op", "evacuate/zone-2", map[string]any{})
	confirmed := time.Now()
	l.note("operator: evacuate/zone-2 is confirmed at offset %d", offset)
	const watched = 15 * time.Second
	time.Sleep(evacuateTime + watched)
	late, all := 0, l.ranSince(confirmed.Add(evacuateTime))
	for _, one := range all {
		if one.zone == "zone-2" {
			late++
		}
	}
	l.note("%d of %d requests reached replicas of zone-2 later than %v after the confirmation", late, len(all), evacuateTime)
	return late > 0
}

// manifestAfterRestore checks CONFIG: the operator takes a key away and adds a route while the store
// is away, and the manifest is confirmed as soon as the store is back.
func manifestAfterRestore(l *lab) bool {
	const taken = "key-to-be-taken-away"
	stop := make(chan struct{})
	defer close(stop)
	keys := []string{key, taken}
	routes := startRestore(l, keys, stop)
	added := route("added", "app", "safe", 1500*time.Millisecond, 2)
	var confirmed time.Time
	drill(l, keys, routes, func() {
		l.publish(4, []string{key}, append(routes, added))
		confirmed = time.Now()
	})
	// The machines are in touch contactTime after the disturbance, and the bound is stretched.
	time.Sleep(time.Until(confirmed.Add(configApplyTime + stretchTime + contactTime)))
	const probes = 40
	ran, refused := 0, 0
	for n := range probes {
		c := call{machine: l.machines[n%len(l.machines)], method: "GET", path: "/look/bin", id: newID("taken"), key: taken, wait: 1500 * time.Millisecond}
		if l.send(c).status == 200 {
			ran++
		}
		c.path, c.id, c.key = "/added/bin", newID("added"), key
		if l.send(c).status == 404 {
			refused++
		}
		time.Sleep(200 * time.Millisecond)
	}
	l.note("from %v after the confirmation on, of %d requests each: %d ran with the key that was taken away, %d on the added route were refused with 404",
		configApplyTime+stretchTime+contactTime, probes, ran, refused)
	return ran > 0 || refused > 0
}
