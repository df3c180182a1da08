package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const callerDeadline = 1500 * time.Millisecond

// answer is what a consumer got for one attempt.
type answer struct {
	id     string
	status int // 0 if the channel ended without an answer.
	stamp  string
	unsafe bool
	sentAt time.Time
	doneAt time.Time
}

// consumers sends requests to one machine over kept channels.
type consumers struct {
	lab     *lab
	machine *machine
	stop    chan struct{}
	work    sync.WaitGroup

	mu      sync.Mutex
	answers []answer
}

// startConsumers starts a number of consumers, each of which sends its next request some time after
// the last answer.
func (l *lab) startConsumers(m *machine, count int, pause time.Duration) *consumers {
	c := &consumers{lab: l, machine: m, stop: make(chan struct{})}
	for range count {
		c.work.Go(func() { c.run(pause) })
	}
	return c
}

func (c *consumers) end() {
	close(c.stop)
	c.work.Wait()
}

func (c *consumers) run(pause time.Duration) {
	channel := &channel{address: c.machine.at(c.lab.ports.front)}
	defer func() { channel.close() }()
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(pause/2 + rand.N(pause)):
		}
		unsafe := rand.IntN(2) == 0
		a, retryAfter := c.send(channel, unsafe)
		promise := a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421
		if a.status < 300 && a.status > 0 || a.status == 401 || a.status == 404 || unsafe && !promise {
			continue
		}
		// One retry, on a new channel, under a new id.
		channel.close()
		time.Sleep(min(retryAfter, callerDeadline/3))
		c.send(channel, unsafe)
	}
}

// send sends one attempt and returns its answer and the Retry-After.
func (c *consumers) send(ch *channel, unsafe bool) (answer, time.Duration) {
	if unsafe {
		return c.sendRequest(ch, "POST", "/refund/"+strconv.Itoa(rand.IntN(1000)), strings.Repeat("r", 600), unsafe)
	}
	return c.sendRequest(ch, "GET", "/stock/"+strconv.Itoa(rand.IntN(1000)), "", unsafe)
}

// sendRequest is send for a given request.
func (c *consumers) sendRequest(ch *channel, method, path, body string, unsafe bool) (answer, time.Duration) {
	a := answer{id: fmt.Sprintf("%s-%016x", c.machine.name, rand.Uint64()), unsafe: unsafe, sentAt: time.Now()}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: lab.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", method, path, a.id, callerDeadline.Milliseconds(), apiKey)
	if body != "" || method == "POST" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	c.lab.record("sent", "request=%s %s %s to=%s", a.id, method, path, c.machine.name)
	response, err := ch.exchange(head+"\r\n"+body, method)
	a.doneAt = time.Now()
	retryAfter := time.Duration(0)
	if err != nil {
		c.lab.record("answer", "request=%s none: %v", a.id, err)
	} else {
		a.status, a.stamp = response.StatusCode, response.Header.Get("X-Response-Stamp")
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		retryAfter = time.Duration(seconds * float64(time.Second))
		c.lab.record("answer", "request=%s status=%d stamp=%q", a.id, a.status, a.stamp)
	}
	c.mu.Lock()
	c.answers = append(c.answers, a)
	c.mu.Unlock()
	return a, retryAfter
}

// all returns the answers so far.
func (c *consumers) all() []answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]answer(nil), c.answers...)
}

// channel is a kept connection of a consumer.
type channel struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

func (ch *channel) close() {
	if ch.conn != nil {
		ch.conn.Close()
		ch.conn = nil
	}
}

// exchange sends a request and reads the whole answer.
func (ch *channel) exchange(request, method string) (*http.Response, error) {
	if ch.conn == nil {
		conn, err := net.DialTimeout("tcp", ch.address, time.Second)
		if err != nil {
			return nil, err
		}
		ch.conn, ch.reader = conn, bufio.NewReader(conn)
	}
	_ = ch.conn.SetDeadline(time.Now().Add(callerDeadline))
	response, err := ch.write(request, method)
	if err != nil {
		ch.close()
		return nil, err
	}
	if response.Close {
		ch.close()
	}
	return response, nil
}

func (ch *channel) write(request, method string) (*http.Response, error) {
	if _, err := io.WriteString(ch.conn, request); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(ch.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}
