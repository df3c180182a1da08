package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// requestNumber numbers the requests of a run.
var requestNumber atomic.Int64

// newID returns the id of a new attempt of a caller.
func newID(kind string) string { return fmt.Sprintf("%s-%04d", kind, requestNumber.Add(1)) }

// call is one attempt of a caller.
type call struct {
	machine *machine
	method  string
	path    string
	id      string
	key     string
	body    string
	header  map[string]string
	wait    time.Duration
}

// answer is what the caller got: status 0 means no complete answer.
type answer struct {
	status int
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%d, broken off: %v", a.status, a.err)
	}
	return strconv.Itoa(a.status)
}

// keepAlive is the callers' client. It keeps channels open.
var keepAlive = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 12 * time.Second}}

// do sends the call and reads the answer.
func (c call) do() answer {
	ctx, cancel := context.WithTimeout(context.Background(), c.wait)
	defer cancel()
	var reader io.Reader
	if c.body != "" {
		reader = strings.NewReader(c.body)
	}
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.machine.front+c.path, reader)
	if err != nil {
		panic(unable(err.Error()))
	}
	request.Host = host
	request.Header.Set("X-Request-Id", c.id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.wait.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("User-Agent", "caller")
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	response, err := keepAlive.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	var buffer bytes.Buffer
	_, err = io.Copy(&buffer, response.Body)
	return answer{status: response.StatusCode, body: buffer.String(), err: err}
}

// every calls f with a counter each period until stop is closed, each time in a goroutine of its
// own.
func every(period time.Duration, stop <-chan struct{}, f func(n int)) {
	go func() {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
				go f(n)
			}
		}
	}()
}

// outcomes counts the answers to ordinary requests.
type outcomes struct {
	mu     sync.Mutex
	counts map[string]int
}

func (o *outcomes) add(kind string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counts == nil {
		o.counts = map[string]int{}
	}
	o.counts[kind]++
}

// of returns the count of one kind.
func (o *outcomes) of(kind string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.counts[kind]
}

func (o *outcomes) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return fmt.Sprint(o.counts)
}
