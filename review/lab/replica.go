package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the interval of the replicas' status reports.
const heartbeat = 1200 * time.Millisecond

// replica is a stand-in of a replica. It runs a number of requests at a time and queues a few
// more, announces itself in the store, and drops a request whose channel closes.
type replica struct {
	id, service, zone, version string
	slots, queue               int
	address                    string
	born                       int64
	world                      *world
	server                     *http.Server
	// run handles a request that has a slot. The headers of the answer are set already.
	run func(r *replica, w http.ResponseWriter, request *http.Request, body []byte)
	// refuse may turn a request away before it gets a slot; it returns true if it has answered.
	refuse func(r *replica, w http.ResponseWriter, request *http.Request) bool

	// arrived is called with each request that has arrived, if it is set.
	arrived func(request *http.Request)

	mu sync.Mutex
	// coldUntil is when the replica is warm.
	coldUntil time.Time
	silent    bool
	crashed   bool
	boots     int
	sequence  int64
	running   int
	waiting   []chan struct{}
	// runs holds the requests that began to run, and how each ended.
	runs map[string]*runRecord
}

type runRecord struct {
	count   int
	began   time.Time
	ended   time.Time
	arrived time.Time
}

// startReplica starts a replica and its status reports.
func (w *world) startReplica(r *replica) *replica {
	r.world, r.born, r.runs = w, time.Now().UnixMilli(), map[string]*runRecord{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fatal("%v", err)
	}
	r.address = l.Addr().String()
	r.server = &http.Server{Handler: r}
	go r.server.Serve(l)
	w.replicas = append(w.replicas, r)
	r.report()
	go func() {
		for {
			select {
			case <-w.ended:
				return
			case <-time.After(heartbeat):
				r.mu.Lock()
				silent := r.silent
				r.mu.Unlock()
				if !silent {
					r.report()
				}
			}
		}
	}()
	return r
}

// report writes the replica's entry to the store.
func (r *replica) report() {
	r.mu.Lock()
	r.sequence++
	id, entry := r.id, r.entry()
	r.mu.Unlock()
	r.world.store.put("keyed.servers", id, entry)
}

// entry returns the replica's entry; the caller holds the lock.
func (r *replica) entry() map[string]any {
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots, "state": "ready",
		"coldRemainingMs": max(0, time.Until(r.coldUntil).Milliseconds()), "sequence": r.sequence, "born": r.born,
	}
}

// setSilent stops or resumes the status reports.
func (r *replica) setSilent(silent bool) {
	r.mu.Lock()
	r.silent = silent
	r.mu.Unlock()
}

func (r *replica) load() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", r.running, len(r.waiting), r.slots)
}

// inUse returns the number of slots in use.
func (r *replica) inUse() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

// acquire waits for a slot. It returns false if the queue is full or ctx ends.
func (r *replica) acquire(ctx context.Context) (ok, full bool) {
	r.mu.Lock()
	if r.running < r.slots {
		r.running++
		r.mu.Unlock()
		return true, false
	}
	if len(r.waiting) >= r.queue {
		r.mu.Unlock()
		return false, true
	}
	turn := make(chan struct{})
	r.waiting = append(r.waiting, turn)
	r.mu.Unlock()
	select {
	case <-turn:
		return true, false
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, other := range r.waiting {
		if other == turn {
			r.waiting = append(r.waiting[:i:i], r.waiting[i+1:]...)
			return false, false
		}
	}
	r.pass() // The slot was handed over at the same moment.
	return false, false
}

// pass gives a slot to the next waiting request; the caller holds the lock.
func (r *replica) pass() {
	if len(r.waiting) > 0 {
		close(r.waiting[0])
		r.waiting = r.waiting[1:]
		return
	}
	r.running--
}

// ServeHTTP handles a request.
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Server-Load", r.load())
	if expect := request.Header.Get("X-Expect-Instance"); expect != "" && expect != r.id {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	arrived := time.Now()
	r.world.detail("%s: request %s arrives, %s %s, tenant %q, %s ms left", r.id, id, request.Method, request.URL.Path, request.Header.Get("X-Tenant"), request.Header.Get("X-Deadline-Ms"))
	if r.arrived != nil {
		r.arrived(request)
	}
	if r.refuse != nil && r.refuse(r, w, request) {
		return
	}
	ctx := request.Context()
	if ms, err := strconv.ParseFloat(request.Header.Get("X-Deadline-Ms"), 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms*float64(time.Millisecond)))
		defer cancel()
	}
	ok, full := r.acquire(ctx)
	if !ok {
		why := "its channel has closed or its time is over"
		if full {
			why = "the queue is full"
		}
		r.world.log("%s: request %s leaves without having run, as %s", r.id, id, why)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.mu.Lock()
	record := r.runs[id]
	if record == nil {
		record = &runRecord{}
		r.runs[id] = record
	}
	record.count++
	record.arrived, record.began, record.ended = arrived, time.Now(), time.Time{}
	r.mu.Unlock()
	r.world.log("%s: request %s begins to run", r.id, id)
	defer func() {
		r.mu.Lock()
		record.ended = time.Now()
		r.pass()
		r.mu.Unlock()
		r.world.detail("%s: the run of request %s ends", r.id, id)
	}()
	h.Set("X-Server-Load", r.load())
	h.Set("X-Response-Stamp", "stamp."+r.id+"."+id)
	r.run(r, w, request.WithContext(ctx), body)
}

// ran returns how often a request began to run here.
func (r *replica) ran(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if record := r.runs[id]; record != nil {
		return record.count
	}
	return 0
}

// plainRun returns a run that takes a time and answers with a text that belongs to the request.
func plainRun(work time.Duration) func(*replica, http.ResponseWriter, *http.Request, []byte) {
	return func(r *replica, w http.ResponseWriter, request *http.Request, _ []byte) {
		select {
		case <-time.After(work):
		case <-request.Context().Done():
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "answer of %s to %s", r.id, request.Header.Get("X-Request-Id"))
	}
}

// streamRun returns a run that sends a number of events with a pause between them.
func streamRun(events int, pause time.Duration) func(*replica, http.ResponseWriter, *http.Request, []byte) {
	return func(r *replica, w http.ResponseWriter, request *http.Request, _ []byte) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Weight-Versions", "1")
		w.Header().Set("X-Confidence", "100")
		after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		for n := after + 1; n <= events; n++ {
			fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, request.Header.Get("X-Request-Id"), n)
			if http.NewResponseController(w).Flush() != nil {
				panic(http.ErrAbortHandler)
			}
			if n == events {
				return
			}
			select {
			case <-time.After(pause):
			case <-request.Context().Done():
				panic(http.ErrAbortHandler)
			}
		}
	}
}
