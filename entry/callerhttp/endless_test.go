package callerhttp_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"foxtailbridge/entry/callerhttp"
	"foxtailbridge/link/caller"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
)

// pipes is a listener whose channels a test hands in.
type pipes chan net.Conn

// Accept waits for the next channel.
func (p pipes) Accept() (net.Conn, error) {
	if conn, ok := <-p; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

// Close lets no further channel in.
func (p pipes) Close() error { return nil }

// Addr returns an address that nobody reaches.
func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

// TestTrickledBody guards against a body that a caller sends byte by byte for ever:
// its channel and what came of it were kept until the caller closed.
func TestTrickledBody(t *testing.T) {
	rows := []struct {
		name, key string
		status    int
	}{
		{"of a known caller", "k", http.StatusRequestTimeout},
		{"of an unknown one", "no", http.StatusUnauthorized},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				keys := caller.NewKeyring[ticket.WorkspaceName]()
				keys.Add("k", "w")
				listener := make(pipes)
				defer close(listener)
				server := &http.Server{Handler: callerhttp.New(nil, keys, nil, clock.New()).Handler()}
				go func() { _ = server.Serve(listener) }()
				here, there := net.Pipe()
				defer here.Close()
				listener <- there
				status := make(chan int, 1)
				go func() {
					response, err := http.ReadResponse(bufio.NewReader(here), nil)
					if err != nil {
						status <- 0
						return
					}
					_, _ = io.Copy(io.Discard, response.Body)
					status <- response.StatusCode
					_, _ = io.Copy(io.Discard, here)
				}()
				began := time.Now()
				if _, err := fmt.Fprintf(here, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 1000\r\n\r\n", row.key); err != nil {
					t.Fatal(err)
				}
				for range 999 {
					if _, err := here.Write([]byte("x")); err != nil {
						break
					}
					time.Sleep(time.Second)
				}
				if took := time.Since(began); took > time.Minute {
					t.Errorf("the channel was kept for %v", took)
				}
				here.Close()
				if got := <-status; got != row.status {
					t.Errorf("status %d, want %d", got, row.status)
				}
			})
		})
	}
}
