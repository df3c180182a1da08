package main

import (
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	topicServers = "keyed.servers"
	topicOrders  = "keyed.op"
	// beatInterval is the time between two status reports of a replica.
	beatInterval = 1200 * time.Millisecond
	workTime     = 15 * time.Millisecond
	defaultSlots = 6
)

// replica is a stand-in of a replica of the application service.
type replica struct {
	lab      *lab
	id       string
	zone     string
	service  string
	address  string
	born     int64
	server   *http.Server
	slots    int
	stopBeat chan struct{}
	beats    sync.WaitGroup
	// stream is true if answers are a series of events.
	stream bool
	// leaving is true once the replica says in its answers that it leaves.
	leaving atomic.Bool
	// onBeat decides what becomes of a status report; nil executes it at once.
	onBeat func(sequence int64, write func())
	// onRun is called when a run begins; true ends it without an answer. nil is sound.
	onRun func(path string) bool
	// fault runs instead of a sound answer, after the request has run; nil is sound.
	fault func(r *http.Request) bool
}

func (l *lab) newReplica(id, zone, service string) *replica {
	r := &replica{lab: l, id: id, zone: zone, service: service, slots: defaultSlots, born: time.Now().UnixMilli(), stopBeat: make(chan struct{})}
	listener, err := net.Listen("tcp", l.newIP()+":0")
	if err != nil {
		l.cannotRun("listen: %v", err)
	}
	r.address = listener.Addr().String()
	r.server = &http.Server{Handler: r, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = r.server.Serve(listener) }()
	l.onEnd(func() { r.server.Close() })
	return r
}

// startBeats writes the replica's status reports until stopBeats.
func (r *replica) startBeats() {
	r.beats.Go(func() {
		for sequence := int64(1); ; sequence++ {
			r.beat(sequence)
			select {
			case <-r.stopBeat:
				return
			case <-time.After(beatInterval):
			}
		}
	})
}

func (r *replica) stopBeats() {
	close(r.stopBeat)
	r.beats.Wait()
}

func (r *replica) beat(sequence int64) {
	write := func() {
		r.lab.store.put(topicServers, r.id, map[string]any{
			"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": "ready",
			"coldRemainingMs": 0, "sequence": sequence, "born": r.born,
		})
	}
	if r.onBeat != nil {
		r.onBeat(sequence, write)
		return
	}
	write()
}

// ServeHTTP answers one request.
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Instance-Id", r.id)
	if expect := request.Header.Get("X-Expect-Instance"); expect != "" && expect != r.id {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil || id == "" {
		return
	}
	if r.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	if !strings.HasPrefix(id, hostilePrefix) { // Those are too many for a line each.
		r.lab.record("ran", "replica=%s request=%s %s %s deadline=%s", r.id, id, request.Method, request.URL.Path, request.Header.Get("X-Deadline-Ms"))
	}
	r.lab.ran(r, id, request.URL.Path)
	if r.onRun != nil && r.onRun(request.URL.Path) {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(workTime)
	h.Set("X-Response-Stamp", fmt.Sprintf("%s.%s", r.id, id))
	if r.fault != nil && r.fault(request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		r.lab.record("replica-answer", "replica=%s request=%s status=503 after the run, without X-Not-Executed", r.id, id)
		return
	}
	h.Set("X-Server-Load", "1,0,"+strconv.Itoa(r.slots))
	if r.stream {
		h.Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprintf(w, "id: 1\ndata: %s-1\n\nid: 2\ndata: %s-2\n\n", id, id)
		return
	}
	_, _ = io.WriteString(w, "answer to "+id+strings.Repeat(".", 700))
}
