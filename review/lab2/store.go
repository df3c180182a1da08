package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// appendTime is the time that the store takes for an answer.
	appendTime = 4 * time.Millisecond
	// expiry is the silence after which a replica's entry is removed: three status reports.
	expiry = 3 * beatInterval
	// pageSize is the number of items on a page of a listing.
	pageSize = 500
)

// store is a stand-in of the platform's log store, with keyed topics of one partition each.
type store struct {
	mu       sync.Mutex
	topics   map[string]*topic
	appended chan struct{}
}

type topic struct {
	records [][]byte
	newest  map[string]item
	order   []string
}

type item struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
	at     time.Time
}

func newStore() *store {
	return &store{topics: map[string]*topic{}, appended: make(chan struct{})}
}

// put appends a keyed record; a nil value removes the key.
func (s *store) put(name, key string, value any) int64 {
	data := []byte{}
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.append(name, append(append([]byte{byte(len(key))}, key...), data...))
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]item{}}
		s.topics[name] = t
	}
	return t
}

func (s *store) append(name string, content []byte) int64 {
	t := s.topic(name)
	size := 1 + int(content[0])
	key, value := string(content[1:size]), content[size:]
	offset := int64(len(t.records))
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		if _, ok := t.newest[key]; !ok {
			t.order = append(t.order, key)
		}
		t.newest[key] = item{Key: key, Value: value, Offset: offset, at: time.Now()}
	}
	t.records = append(t.records, content)
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// has reports whether a key is listed.
func (s *store) has(name, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.topic(name).newest[key]
	return ok
}

// expire removes the entries of replicas that were silent for too long, and returns their keys.
func (s *store) expire() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var gone []string
	for key, n := range s.topic(topicServers).newest {
		if time.Since(n.at) > expiry {
			gone = append(gone, key)
		}
	}
	for _, key := range gone {
		s.append(topicServers, append([]byte{byte(len(key))}, key...))
	}
	return gone
}

// ServeHTTP serves the store's calls.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	name := q.Get("topic")
	switch r.URL.Path {
	case "/v1/log-read":
		from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		time.Sleep(appendTime)
		_, _ = w.Write(s.read(r, name, from, time.Duration(wait)*time.Millisecond))
	case "/v1/log-newest":
		time.Sleep(appendTime)
		_, _ = w.Write(s.list(name, q.Get("after")))
	case "/v1/log-append":
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		time.Sleep(appendTime)
		status, answer := s.write(name, q.Get("at"), body)
		w.WriteHeader(status)
		_, _ = w.Write(answer)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) read(r *http.Request, name string, from int64, wait time.Duration) []byte {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		t, appended := s.topic(name), s.appended
		end := int64(len(t.records))
		if from < end || wait == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, content := range t.records[min(from, end):] {
				out = append(binary.BigEndian.AppendUint32(out, uint32(len(content))), content...)
			}
			s.mu.Unlock()
			return out
		}
		s.mu.Unlock()
		select {
		case <-appended:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return nil
		}
	}
}

func (s *store) list(name, after string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	page := struct {
		Items     []item `json:"items"`
		HasMore   bool   `json:"hasMore"`
		EndOffset int64  `json:"endOffset"`
	}{Items: []item{}, EndOffset: int64(len(t.records))}
	seen := after == ""
	for _, key := range t.order {
		if n, ok := t.newest[key]; ok && seen && len(page.Items) < pageSize {
			page.Items = append(page.Items, n)
		}
		seen = seen || key == after
	}
	data, _ := json.Marshal(&page)
	return data
}

func (s *store) write(name, at string, body []byte) (int, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name == topicServers || name == topicOrders {
		return http.StatusForbidden, nil
	}
	first := int64(len(s.topic(name).records))
	if at != "" && at != strconv.FormatInt(first, 10) {
		return http.StatusPreconditionFailed, []byte(`{"endOffset":` + strconv.FormatInt(first, 10) + `}`)
	}
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		s.append(name, append([]byte(nil), body[4:4+size]...))
		body = body[4+size:]
	}
	end := int64(len(s.topic(name).records))
	return http.StatusOK, []byte(`{"offset":` + strconv.FormatInt(first, 10) + `,"endOffset":` + strconv.FormatInt(end, 10) + `}`)
}
