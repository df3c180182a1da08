package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["large-bodies"] = largeBodies }

// residentMB returns a process's resident anonymous memory, without the pages of its program file.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb / 1024
		}
	}
	return 0
}

// enforceMemory kills a machine's process when it exceeds memoryMb, as the platform does, and
// counts that.
func (w *world) enforceMemory(m *machine, kills *int) {
	pid, peak := 0, 0
	for {
		select {
		case <-w.ended:
			return
		case <-time.After(10 * time.Millisecond):
		}
		m.mu.Lock()
		p := m.process
		m.mu.Unlock()
		if p == nil {
			continue
		}
		if p.Process.Pid != pid {
			pid, peak = p.Process.Pid, 0
		}
		mb := residentMB(pid)
		if mb >= peak+50 {
			peak = mb
			w.log("%s: process %d uses %d MB", m.name, pid, mb)
		}
		if mb > memoryMB {
			w.log("%s: process %d is killed, as it uses %d MB of %d", m.name, pid, mb, memoryMB)
			w.signal(m, syscall.SIGKILL)
			*kills++
			for residentMB(pid) > 0 {
				time.Sleep(5 * time.Millisecond)
			}
		}
	}
}

// largeBodies lets consumers send bodies of the size that the manifest allows, beside others that
// send small requests on channels that they keep.
func largeBodies(w *world) {
	const (
		perMachine = 100
		sendsFor   = 8 * time.Second // 12.5 requests a second at a machine, 420 Mbit/s
		parts      = 40
		kept       = 10
	)
	size := 4194304 // maxBodyBytes
	if !w.trouble {
		size = 72000 // the largest body of the sheet
	}
	w.config(1, nil)
	for _, id := range []string{"i-1", "i-2"} {
		w.startReplica(&replica{id: id, service: "lm-pool", zone: "vantaa", version: "v1", slots: 48, queue: 100, run: streamRun(10, 50*time.Millisecond)})
	}
	for _, id := range []string{"i-3", "i-4"} {
		w.startReplica(&replica{id: id, service: "returns-app", zone: "vantaa", version: "v1", slots: 24, queue: 24, run: plainRun(100 * time.Millisecond)})
	}
	w.startMachines("vantaa", "vantaa")
	kills := make([]int, len(w.machines))
	for i, m := range w.machines {
		go w.enforceMemory(m, &kills[i])
	}
	time.Sleep(4 * time.Second)
	var all sync.WaitGroup
	var mu sync.Mutex
	lost, answered := 0, 0
	end := make(chan struct{})
	for _, m := range w.machines {
		for range kept {
			all.Go(func() {
				c, used := w.connect(m), false
				defer func() { c.close() }()
				for {
					select {
					case <-end:
						return
					default:
					}
					a := w.send(m, c, request{method: "POST", host: "desk.example", path: "/refund/1", deadline: 1500 * time.Millisecond, headers: []string{keyLine}, body: []byte("credit 100")})
					if a.complete {
						mu.Lock()
						answered++
						mu.Unlock()
						used = true
						continue
					}
					ran := w.replicas[2].ran(a.id) + w.replicas[3].ran(a.id)
					if used && a.status == 0 && ran > 0 && !a.timedOut() {
						w.log("lost: request %s on a kept channel was passed on and ran, and the channel ended without an answer", a.id)
						mu.Lock()
						lost++
						mu.Unlock()
					}
					c.close()
					time.Sleep(100 * time.Millisecond)
					c, used = w.connect(m), false
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	w.log("%d users a machine come, with %d bytes each", perMachine, size)
	body := make([]byte, size)
	var users sync.WaitGroup
	for _, m := range w.machines {
		for range perMachine {
			users.Go(func() {
				c := w.connect(m)
				defer c.close()
				w.send(m, c, request{method: "POST", host: "desk.example", path: "/audit/1", deadline: 20 * time.Second, pause: sendsFor / parts, parts: parts,
					headers: []string{keyLine, "X-Model: model-a", "X-Token-Counts: 1200,200"}, body: body})
			})
		}
	}
	users.Wait()
	time.Sleep(time.Second)
	close(end)
	all.Wait()
	w.finish(lost > 3, "LOST: the processes exceeded memoryMb %v times; %d requests on kept channels that replicas had begun to run ended without an answer, %d were answered", kills, lost, answered)
}
