package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// downTime is how long a replica that crashed is down.
	downTime = 3 * time.Second
	// silentBeats is how many status reports a replica must miss until its entry is removed.
	silentBeats = 3
	// eventPause is the time between two events of a stream.
	eventPause = 50 * time.Millisecond
)

// replica is a stand-in of a replica of a service, with one boot after the other at one address.
type replica struct {
	lab           *lab
	service, zone string
	slots         int
	address       string
	// work is how long the replica works on a plain request, and events the number of events of a
	// stream.
	work   time.Duration
	events int
	// downFor is how long the replica is down after a crash.
	downFor time.Duration

	mu       sync.Mutex
	base, id string
	boot     int
	born     int64
	running  int
	// sequence counts the status reports of the boot.
	sequence int
	// coldUntil is when the replica is warm again, and coldRuns holds when it began to run the
	// requests of the last second while it was cold.
	coldUntil time.Time
	coldRuns  []time.Time
	up        bool
	ended     bool
	server    *http.Server
	conns     map[net.Conn]bool
	beats     chan struct{}
}

// addReplica starts a replica.
func (l *lab) addReplica(service, zone string, slots int) *replica {
	r := &replica{lab: l, service: service, zone: zone, slots: slots, work: 15 * time.Millisecond, events: 10, downFor: downTime}
	number := len(l.replicas)
	listener := l.listen(100 + number%100)
	r.address = listener.Addr().String()
	r.base = fmt.Sprintf("i-%03d", number)
	l.replicas = append(l.replicas, r)
	r.begin(listener)
	return r
}

// begin begins a boot of the replica.
func (r *replica) begin(listener net.Listener) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.boot++
	r.id = fmt.Sprintf("%s-boot-%d", r.base, r.boot)
	r.running, r.up, r.sequence, r.coldUntil = 0, true, 0, time.Time{}
	r.conns = map[net.Conn]bool{}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ConnState: r.track}
	r.beats = make(chan struct{})
	go r.server.Serve(listener)
	r.born = time.Now().UnixMilli()
	go r.beat(r.id, r.born, r.beats)
}

// beat writes status reports until stop is closed.
func (r *replica) beat(id string, born int64, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		r.report(id, born)
		select {
		case <-stop:
			return
		case <-time.After(beatPeriod):
		}
	}
}

// report writes one status report.
func (r *replica) report(id string, born int64) {
	r.mu.Lock()
	r.sequence++
	value := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": "ready",
		"coldRemainingMs": max(0, time.Until(r.coldUntil).Milliseconds()), "sequence": r.sequence, "born": born,
	}
	r.mu.Unlock()
	r.lab.store.put("keyed.servers", id, value)
}

// turnCold makes the replica cold for some time and reports it at once.
func (r *replica) turnCold(duration time.Duration) {
	r.mu.Lock()
	r.coldUntil, r.coldRuns = time.Now().Add(duration), nil
	id, born := r.id, r.born
	r.mu.Unlock()
	r.report(id, born)
	r.lab.note("replica %s is cold for %v, and the store has confirmed its report", id, duration)
}

// overrun counts a request that a cold replica begins to run, and reports whether they are too many.
func (r *replica) overrun() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if !now.Before(r.coldUntil) {
		return false
	}
	recent := r.coldRuns[:0]
	for _, at := range r.coldRuns {
		if now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	r.coldRuns = append(recent, now)
	return len(r.coldRuns) > coldCrash
}

func (r *replica) track(conn net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch state {
	case http.StateNew:
		r.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(r.conns, conn)
	}
}

// stop ends the boot: its channels are reset and its port is closed.
func (r *replica) stop() (id string, was bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return r.id, false
	}
	r.up = false
	close(r.beats)
	for conn := range r.conns {
		reset(conn)
	}
	go r.server.Close()
	return r.id, true
}

// crash ends the boot at once and begins another one after downFor.
func (r *replica) crash() {
	id, was := r.stop()
	if !was {
		return
	}
	r.lab.note("replica %s crashed", id)
	time.AfterFunc(silentBeats*beatPeriod, func() { r.lab.store.put("keyed.servers", id, nil) })
	time.AfterFunc(r.downFor, func() {
		r.mu.Lock()
		ended := r.ended
		r.mu.Unlock()
		if ended {
			return
		}
		listener, err := net.Listen("tcp", r.address)
		if err != nil {
			r.lab.note("replica %s does not come back: %v", id, err)
			return
		}
		r.begin(listener)
		r.lab.note("replica %s is back as %s", id, r.id)
	})
}

func (r *replica) end() {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	r.stop()
}

// serve runs a request.
func (r *replica) serve(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	r.mu.Lock()
	own, running := r.id, r.running
	r.mu.Unlock()
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", own)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", running, r.slots))
	if request.URL.Path == "/health" {
		return
	}
	if expect := request.Header.Get("X-Expect-Instance"); expect != "" && expect != own {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	r.mu.Lock()
	full := r.running >= r.slots || tooLarge(request.Header.Get("X-Prompt-Prefix"))
	if !full {
		r.running++
	}
	r.mu.Unlock()
	if full {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	w.Header().Set("X-Response-Stamp", "stamp-"+own+"-"+id)
	r.lab.ran(r, own, request)
	if strings.HasPrefix(request.URL.Path, "/note/") {
		r.stream(w, request)
		return
	}
	if r.overrun() {
		r.crash()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(r.work)
	_, _ = io.WriteString(w, body(id)) // The system may have gone.
}

// body returns the body of a plain answer.
func body(id string) string { return "answer to " + id + strings.Repeat(".", 700) }

// event returns the n-th event of a stream, counted from 1.
func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) }

// stream sends the events after the last one that the caller has.
func (r *replica) stream(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Confidence", "90")
	w.Header().Set("X-Weight-Versions", "1")
	control := http.NewResponseController(w)
	last := int(number(request.Header.Get("Last-Event-Id"))) // 0 for a stream from its start.
	time.Sleep(eventPause)
	for n := last + 1; n <= r.events; n++ {
		if _, err := io.WriteString(w, event(id, n)); err != nil || control.Flush() != nil {
			return
		}
		time.Sleep(eventPause)
		if request.Context().Err() != nil {
			return
		}
	}
}

// number returns the number that a text holds, or 0.
func number(text string) float64 {
	n, _ := strconv.ParseFloat(text, 64) // 0 for a text that holds none.
	return n
}
