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

// store is a stand-in of the platform's metadata store: keyed topics with one partition each.
type store struct {
	mu       sync.Mutex
	topics   map[string]*topic
	appended chan struct{}
	address  string
	server   *http.Server
	// down is true while the store answers nothing but 503.
	down bool
}

type topic struct {
	records [][]byte
	newest  map[string]newestRecord
}

type newestRecord struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

// startStore starts a store on a loopback address.
func startStore(ip string) (*store, error) {
	s := &store{topics: map[string]*topic{}, appended: make(chan struct{})}
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: s}
	go s.server.Serve(l)
	return s, nil
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]newestRecord{}}
		s.topics[name] = t
	}
	return t
}

// put appends a keyed record, as the operator and the replicas do; nil drops the key.
func (s *store) put(topicName, key string, value any) {
	var data []byte
	if value != nil {
		var err error
		if data, err = json.Marshal(value); err != nil {
			panic(err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(s.topic(topicName), append(append([]byte{byte(len(key))}, key...), data...))
}

// value returns the newest value of a key, or nil.
func (s *store) value(topicName, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(topicName).newest[key].Value
}

// setDown takes the store down or brings it back. Waiting reads end.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.appended)
	s.appended = make(chan struct{})
}

func (s *store) append(t *topic, content []byte) {
	size := 1 + int(content[0])
	key, value := string(content[1:size]), content[size:]
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = newestRecord{key, value, int64(len(t.records))}
	}
	t.records = append(t.records, content)
	close(s.appended)
	s.appended = make(chan struct{})
}

// ServeHTTP serves the calls that the system uses; it has no groups.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/v1/log-read":
		from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		w.Write(s.read(r, q.Get("topic"), from, time.Duration(wait)*time.Millisecond))
	case "/v1/log-newest":
		w.Write(s.list(q.Get("topic"), q.Get("after")))
	case "/v1/log-append":
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		status, reply := s.write(q.Get("topic"), q.Get("at"), body)
		w.WriteHeader(status)
		json.NewEncoder(w).Encode(reply)
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
			wait = 0
		}
	}
}

func (s *store) list(name, after string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	page := struct {
		Items     []newestRecord `json:"items"`
		HasMore   bool           `json:"hasMore"`
		EndOffset int64          `json:"endOffset"`
	}{Items: []newestRecord{}, EndOffset: int64(len(t.records))}
	var keys []string
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	const pageSize = 500
	page.HasMore = len(keys) > pageSize
	for _, key := range keys[:min(len(keys), pageSize)] {
		page.Items = append(page.Items, t.newest[key])
	}
	data, err := json.Marshal(&page)
	if err != nil {
		panic(err)
	}
	return data
}

func (s *store) write(name, at string, body []byte) (int, map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	offset := int64(len(t.records))
	if at != "" && at != strconv.FormatInt(offset, 10) {
		return http.StatusPreconditionFailed, map[string]int64{"endOffset": offset}
	}
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		s.append(t, append([]byte(nil), body[4:4+size]...))
		body = body[4+size:]
	}
	return http.StatusOK, map[string]int64{"offset": offset, "endOffset": int64(len(t.records))}
}
