package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["late-report"] = lateReport }

// lateReport loses the answer of one status report of a replica, which the store executes some
// seconds later, when the replica's entry has been removed.
func lateReport(w *world) {
	const (
		lateBy  = 6 * time.Second
		leaves  = 4500 * time.Millisecond // after the report: the store is undisturbed for over contactMs
		serves  = 5600 * time.Millisecond // after its entry is removed: many seconds longer than drainMs
		contact = 3 * time.Second         // contactMs
		comesIn = 20                      // ms
	)
	w.config(1, nil)
	for _, id := range []string{"i-1", "i-2", "i-leaving"} {
		w.startReplica(&replica{id: id, service: "returns-app", zone: "vantaa", version: "v1", slots: 24, queue: 24, run: plainRun(100 * time.Millisecond)})
	}
	leaving := w.replicas[2]
	w.startMachines("vantaa", "vantaa", "espoo")
	time.Sleep(4 * time.Second)
	type sent struct {
		machine *machine
		answer  *answer
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	var requests []sent
	end := make(chan struct{})
	for _, m := range w.machines {
		all.Go(func() {
			var each sync.WaitGroup
			defer each.Wait()
			for {
				select {
				case <-end:
					return
				case <-time.After(time.Duration(comesIn/2+rand.IntN(comesIn)) * time.Millisecond):
				}
				each.Go(func() {
					c := w.connect(m)
					defer c.close()
					a := w.send(m, c, request{method: "POST", host: "desk.example", path: "/refund/1", deadline: 1500 * time.Millisecond, headers: []string{keyLine}, body: []byte("credit 100")})
					mu.Lock()
					requests = append(requests, sent{m, a})
					mu.Unlock()
				})
			}
		})
	}
	time.Sleep(time.Second)
	executed := time.Now()
	if w.trouble {
		leaving.mu.Lock()
		leaving.sequence++
		entry := leaving.entry()
		leaving.mu.Unlock()
		w.log("%s: status report %v is sent and gets no answer", leaving.id, entry["sequence"])
		at := time.Now()
		executed = at.Add(lateBy)
		go func() {
			time.Sleep(lateBy)
			w.store.put("keyed.servers", leaving.id, entry)
			w.log("store: the status report %v that got no answer is executed, %.1f s after it was sent", entry["sequence"], time.Since(at).Seconds())
			time.Sleep(3 * heartbeat)
			w.store.put("keyed.servers", leaving.id, nil)
			w.log("store: the entry of %s is removed after three intervals of silence", leaving.id)
		}()
	}
	time.Sleep(leaves)
	leaving.setSilent(true)
	w.store.put("keyed.servers", leaving.id, nil)
	gone := time.Now()
	w.log("%s leaves: its entry is removed", leaving.id)
	time.Sleep(serves)
	leaving.server.Close()
	w.log("%s exits", leaving.id)
	time.Sleep(time.Second)
	close(end)
	all.Wait()
	// Counted are requests later than drainMs after the replica had gone, and also later than
	// contactMs after the last that the store did late.
	late, early, lost, byMachine := 0, 0, 0, map[string]int{}
	for _, s := range requests {
		if leaving.ran(s.answer.id) == 0 || !s.answer.sentAt.After(gone.Add(2*time.Second)) {
			continue
		}
		if s.answer.status != 200 {
			lost++
			w.log("lost, as %s has exited: %s", leaving.id, s.answer)
		}
		if !s.answer.sentAt.After(executed.Add(contact)) {
			early++
			continue
		}
		late++
		byMachine[s.machine.name]++
	}
	w.showLog("endpoint-", leaving.id)
	w.finish(late > 0, "DRAIN: %d requests that were sent later than drainMs after the replica had gone ran there, not counting %d within contactMs after the store executed the report (%s); %d of them all were lost when it exited", late, early, fmt.Sprint(byMachine), lost)
}
