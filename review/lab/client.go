package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a consumer saw of one attempt.
type answer struct {
	id        string
	sentAt    time.Time
	endedAt   time.Time
	status    int
	header    http.Header
	body      string
	complete  bool
	err       error
	connected bool
}

func (a *answer) String() string {
	after := a.endedAt.Sub(a.sentAt).Seconds()
	switch {
	case !a.connected:
		return fmt.Sprintf("request %s: no connection (%v)", a.id, a.err)
	case a.status == 0:
		return fmt.Sprintf("request %s: the channel ends without an answer after %.3f s (%v)", a.id, after, a.err)
	case !a.complete:
		return fmt.Sprintf("request %s: the channel ends in the middle of the answer %d after %.3f s (%v)", a.id, a.status, after, a.err)
	}
	return fmt.Sprintf("request %s: %d, stamp %q, %d bytes, whole, after %.3f s", a.id, a.status, a.header.Get("X-Response-Stamp"), len(a.body), after)
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// channel is a consumer's channel to a machine.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
	err    error
}

func (w *world) connect(m *machine) *channel {
	conn, err := net.DialTimeout("tcp", m.front, time.Second)
	if err != nil {
		return &channel{err: err}
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn)}
}

// request is a consumer's request. Headers are lines without line ends.
type request struct {
	method, host, path string
	id                 string
	deadline           time.Duration
	headers            []string
	body               []byte
	// parts and pause spread the body over time, if parts is not 0.
	parts int
	pause time.Duration
}

// send sends a request on the channel and reads the whole answer.
func (w *world) send(m *machine, c *channel, q request) *answer {
	if q.id == "" {
		q.id = newID()
	}
	a := &answer{id: q.id, sentAt: time.Now()}
	defer func() {
		a.endedAt = time.Now()
		w.log("consumer: %s", a)
	}()
	w.detail("consumer: request %s, %s %s, goes to %s", q.id, q.method, q.path, m.name)
	if c.err != nil {
		a.err = c.err
		return a
	}
	a.connected = true
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, q.host, q.id, q.deadline.Milliseconds())
	for _, line := range q.headers {
		b.WriteString(line + "\r\n")
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	c.conn.SetDeadline(time.Now().Add(q.deadline))
	if a.err = c.write(b.String(), q); a.err != nil {
		return a
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.header = response.StatusCode, response.Header
	body, err := io.ReadAll(response.Body)
	a.body, a.err, a.complete = string(body), err, err == nil
	return a
}

// write sends a request's head and body.
func (c *channel) write(head string, q request) error {
	if q.parts == 0 {
		_, err := c.conn.Write(append([]byte(head), q.body...))
		return err
	}
	if _, err := c.conn.Write([]byte(head)); err != nil {
		return err
	}
	size := (len(q.body) + q.parts - 1) / q.parts
	for rest := q.body; len(rest) > 0; {
		n := min(size, len(rest))
		if _, err := c.conn.Write(rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
		time.Sleep(q.pause)
	}
	return nil
}

func (c *channel) close() {
	if c.conn != nil {
		c.conn.Close()
	}
}

// timedOut reports whether the consumer stopped waiting because its time was over.
func (a *answer) timedOut() bool {
	var netErr net.Error
	return errors.As(a.err, &netErr) && netErr.Timeout()
}
