package main

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["idle-channels"] = idleChannels }

// ready is the platform's question whether a machine is ready, once a second on a kept channel.
type ready struct {
	mu   sync.Mutex
	last time.Time // of the last answer 200
	no   time.Time // of the last other answer, or no answer
}

func (w *world) poll(m *machine, r *ready) {
	var conn net.Conn
	var reader *bufio.Reader
	for {
		ok := false
		if conn == nil {
			if c, err := net.DialTimeout("tcp", m.ready, time.Second); err == nil {
				conn, reader = c, bufio.NewReader(c)
			}
		}
		if conn != nil {
			conn.SetDeadline(time.Now().Add(time.Second))
			conn.Write([]byte("GET /v1/ready HTTP/1.1\r\nHost: " + m.ready + "\r\n\r\n"))
			response, err := http.ReadResponse(reader, nil)
			if err == nil {
				ok = response.StatusCode == http.StatusOK
				response.Body.Close()
			} else {
				conn.Close()
				conn = nil
			}
		}
		r.mu.Lock()
		if ok {
			r.last = time.Now()
		} else {
			r.no = time.Now()
			w.log("platform: %s does not say that it is ready", m.name)
		}
		r.mu.Unlock()
		select {
		case <-w.ended:
			return
		case <-time.After(time.Second):
		}
	}
}

// idleChannels lets many users come once each, who leave their channels open.
func idleChannels(w *world) {
	w.config(1, nil)
	for _, id := range []string{"i-1", "i-2"} {
		w.startReplica(&replica{id: id, service: "returns-app", zone: "vantaa", version: "v1", slots: 6, queue: 24, run: plainRun(5 * time.Millisecond)})
	}
	w.maxFiles, w.brief = 4100, true
	const ownFiles = 9000 // The consumers' and the replicas' ends of the channels.
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Max < ownFiles {
		w.fatal("the stand-ins need %d open files, the limit is %d", ownFiles, limit.Max)
	}
	w.startMachines("vantaa")
	m := w.machines[0]
	state := &ready{}
	go w.poll(m, state)
	time.Sleep(3 * time.Second)
	const users = 4200
	const pause = 12 * time.Millisecond
	var all sync.WaitGroup
	var answered atomic.Int64
	for range users {
		all.Go(func() {
			c := w.connect(m)
			a := w.send(m, c, request{method: "GET", host: "desk.example", path: "/stock/1", deadline: 1500 * time.Millisecond, headers: []string{keyLine}})
			if a.complete {
				answered.Add(1)
			}
			if !w.trouble {
				c.close()
				return
			}
			go func() { <-w.ended; c.close() }()
		})
		time.Sleep(pause)
	}
	all.Wait()
	w.log("%d of %d users got an answer", answered.Load(), users)
	time.Sleep(2 * time.Second)
	// Eight consumers try, each on new channels, for longer than contactMs.
	start := time.Now()
	var got atomic.Int64
	for range 8 {
		all.Go(func() {
			for time.Since(start) < 20*time.Second {
				c := w.connect(m)
				a := w.send(m, c, request{method: "GET", host: "desk.example", path: "/stock/1", deadline: 1500 * time.Millisecond, headers: []string{keyLine}})
				if a.status != 0 {
					got.Add(1)
				}
				c.close()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	all.Wait()
	state.mu.Lock()
	said := state.no.Before(start) && time.Since(state.last) < 2*time.Second
	state.mu.Unlock()
	w.finish(got.Load() == 0 && said, "RECOVER: of the channels that eight consumers opened for 20 s, %d got an answer, while the machine said that it is ready: %v", got.Load(), said)
}
