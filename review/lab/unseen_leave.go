package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["unseen-leave"] = unseenLeave }

// unseenLeave cuts the machines of a zone off from the store while a replica leaves without having
// said that it is draining.
func unseenLeave(w *world) {
	const (
		cutFor   = 5 * time.Second
		leavesAt = 4 * time.Second // after the beginning of the cut
		exitsAt  = 6 * time.Second // after the end of the cut
	)
	w.config(1, nil)
	for _, id := range []string{"i-1", "i-2", "i-leaving"} {
		w.startReplica(&replica{id: id, service: "returns-app", zone: "vantaa", version: "v1", slots: 24, queue: 24, run: plainRun(100 * time.Millisecond)})
	}
	leaving := w.replicas[2]
	link := w.startProxy(w.store.address)
	w.storeAddress = link.address
	w.startMachines("vantaa", "vantaa", "vantaa")
	time.Sleep(4 * time.Second)

	type sent struct {
		machine *machine
		at      time.Time
		answer  *answer
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	var requests []*sent
	end := make(chan struct{})
	for _, m := range w.machines {
		all.Go(func() {
			var each sync.WaitGroup
			defer each.Wait()
			for {
				select {
				case <-end:
					return
				case <-time.After(time.Duration(10+rand.IntN(20)) * time.Millisecond):
				}
				each.Go(func() {
					c := w.connect(m)
					defer c.close()
					s := &sent{machine: m, at: time.Now()}
					s.answer = w.send(m, c, request{method: "POST", host: "desk.example", path: "/refund/1", deadline: 1500 * time.Millisecond, headers: []string{keyLine}, body: []byte("credit 100")})
					mu.Lock()
					requests = append(requests, s)
					mu.Unlock()
				})
			}
		})
	}
	time.Sleep(time.Second)
	if w.trouble {
		w.log("the link to the store is cut")
		link.setCut(true)
	}
	time.Sleep(leavesAt)
	leaving.setSilent(true)
	w.store.put("keyed.servers", leaving.id, nil)
	gone := time.Now()
	w.log("%s leaves: its entry is removed", leaving.id)
	time.Sleep(cutFor - leavesAt)
	link.setCut(false)
	healed := time.Now()
	w.log("the link to the store is whole again")
	time.Sleep(exitsAt)
	leaving.server.Close()
	w.log("%s exits", leaving.id)
	time.Sleep(time.Second)
	close(end)
	all.Wait()
	inTouch := gone
	if w.trouble {
		inTouch = healed
	}
	inTouch = inTouch.Add(3 * time.Second) // contactMs
	late, lost, byMachine := 0, 0, map[string]int{}
	for _, s := range requests {
		if s.at.After(gone.Add(2*time.Second)) && s.at.After(inTouch) && leaving.ran(s.answer.id) > 0 {
			late++
			byMachine[s.machine.name]++
			if s.answer.status != 200 {
				lost++
				w.log("lost, as %s has exited: %s", leaving.id, s.answer)
			}
		}
	}
	w.showLog("endpoint-", leaving.id)
	w.finish(late > 0, "DRAIN: %d requests that were sent later than drainMs after the replica had gone, and contactMs after the cut, ran there (%s); %d of them were lost with it", late, fmt.Sprint(byMachine), lost)
}
