package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// answerTime is how long the store takes for an answer.
	answerTime = 4 * time.Millisecond
	// operatorRetry is the pause after which the operator and replicas repeat a write.
	operatorRetry = 20 * time.Millisecond
)

// store is a stand-in of the platform's store. It keeps keyed topics of one partition.
type store struct {
	lab     *lab
	address string
	server  *http.Server

	mu       sync.Mutex
	topics   map[string]*topic
	appended chan struct{}
	era      int
	away     bool
	conns    map[net.Conn]bool
}

// topic holds all records of a topic; the case is shorter than their retention.
type topic struct {
	records []record
}

type record struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int    `json:"offset"`
}

func newStore(l *lab) *store {
	s := &store{lab: l, topics: map[string]*topic{}, appended: make(chan struct{}), era: 1, conns: map[net.Conn]bool{}}
	listener := l.listen(2)
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: s, ConnState: s.track}
	go s.server.Serve(listener)
	return s
}

func (s *store) end() { s.server.Close() }

// track keeps the open channels, and resets new ones while the store is away.
func (s *store) track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[conn] = true
		if s.away {
			reset(conn)
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	}
}

// reset closes a channel with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // The close matters more than its form.
	}
	conn.Close()
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		s.topics[name] = t
	}
	return t
}

// snapshot returns a copy of all topics.
func (s *store) snapshot() map[string]*topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := map[string]*topic{}
	for name, t := range s.topics {
		copied[name] = &topic{records: slices.Clone(t.records)}
	}
	return copied
}

// goAway resets all channels and turns new ones away until comeBack.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	for conn := range s.conns {
		reset(conn)
	}
	s.wake()
}

// comeBack ends goAway. With a copy, the store has what the copy has and begins a new era.
func (s *store) comeBack(copied map[string]*topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if copied != nil {
		for name, t := range s.topics {
			had := len(t.records)
			if c := copied[name]; c != nil {
				s.topics[name] = c
			} else {
				s.topics[name] = &topic{}
			}
			s.lab.note("store: %s ends at %d again, was %d", name, len(s.topics[name].records), had)
		}
		s.era++
	}
	s.away = false
	s.lab.note("store: back, era %d", s.era)
}

// wake wakes all waiting reads; the caller holds the lock.
func (s *store) wake() {
	close(s.appended)
	s.appended = make(chan struct{})
}

// put appends a keyed record as the operator and replicas do, and returns its offset. It waits
// while the store is away. A nil value deletes the key.
func (s *store) put(topicName, key string, value any) int {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value) // Cases write only values that can be encoded.
	}
	for {
		s.mu.Lock()
		if !s.away {
			break
		}
		s.mu.Unlock()
		time.Sleep(operatorRetry)
	}
	defer s.mu.Unlock()
	return s.append(topicName, key, data)
}

func (s *store) append(topicName, key string, data []byte) int {
	t := s.topic(topicName)
	offset := len(t.records)
	t.records = append(t.records, record{Key: key, Value: data, Offset: offset})
	s.wake()
	return offset
}

// ServeHTTP serves the calls that the system makes.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	name := query.Get("topic")
	status, body := http.StatusNotFound, []byte(nil)
	switch r.URL.Path {
	case "/v1/log-read":
		from, _ := strconv.Atoi(query.Get("from"))
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		status, body = s.read(name, from, time.Duration(wait)*time.Millisecond, r)
	case "/v1/log-newest":
		status, body = s.newest(name)
	case "/v1/log-append":
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		status, body = s.write(name, query.Get("at"), data)
	}
	time.Sleep(answerTime)
	s.mu.Lock()
	away, era := s.away, s.era
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.Itoa(era))
	w.WriteHeader(status)
	_, _ = w.Write(body) // The system may have gone.
}

func (s *store) read(name string, from int, wait time.Duration, r *http.Request) (int, []byte) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		t, appended, away := s.topic(name), s.appended, s.away
		end := len(t.records)
		switch {
		case away:
			s.mu.Unlock()
			return http.StatusServiceUnavailable, nil
		case from > end:
			// An offset that the store does not have.
			s.mu.Unlock()
			return http.StatusGone, []byte(`{"firstOffset":0}`)
		case from < end || wait <= 0:
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range t.records[from:] {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.Key)+len(rec.Value)))
				out = append(out, byte(len(rec.Key)))
				out = append(append(out, rec.Key...), rec.Value...)
			}
			s.mu.Unlock()
			return http.StatusOK, out
		}
		s.mu.Unlock()
		select {
		case <-appended:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return http.StatusOK, nil
		}
	}
}

// newest lists the newest record of each key, in one page.
func (s *store) newest(name string) (int, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	latest := map[string]record{}
	for _, rec := range t.records {
		latest[rec.Key] = rec
	}
	page := struct {
		Items     []record `json:"items"`
		HasMore   bool     `json:"hasMore"`
		EndOffset int      `json:"endOffset"`
	}{Items: []record{}, EndOffset: len(t.records)}
	for _, rec := range latest {
		if len(rec.Value) > 0 {
			page.Items = append(page.Items, rec)
		}
	}
	data, err := json.Marshal(&page)
	if err != nil {
		return http.StatusServiceUnavailable, nil
	}
	return http.StatusOK, data
}

func (s *store) write(name, at string, body []byte) (int, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return http.StatusServiceUnavailable, nil
	}
	if name == "keyed.op" || name == "keyed.servers" {
		return http.StatusForbidden, nil
	}
	end := len(s.topic(name).records)
	if at != "" && at != strconv.Itoa(end) {
		return http.StatusPreconditionFailed, []byte(`{"endOffset":` + strconv.Itoa(end) + `}`)
	}
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		content := slices.Clone(body[4 : 4+size])
		body = body[4+size:]
		n := 1 + int(content[0])
		s.append(name, string(content[1:n]), content[n:])
		s.lab.note("store: the system wrote %s %s", name, content[1:n])
	}
	return http.StatusOK, []byte(`{"offset":` + strconv.Itoa(end) + `,"endOffset":` + strconv.Itoa(len(s.topic(name).records)) + `}`)
}
