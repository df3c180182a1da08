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

// connListener is a net.Listener that accepts the connections sent to the channel.
type connListener chan net.Conn

// Accept waits for the next connection.
func (p connListener) Accept() (net.Conn, error) {
	if conn, ok := <-p; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

// Close does nothing; closing the channel ends Accept.
func (p connListener) Close() error { return nil }

// Addr returns a placeholder address.
func (p connListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestSlowBodyTimesOut guards against a caller that sends its body byte by byte without
// end, which kept the connection and the received part in memory until the caller closed.
func TestSlowBodyTimesOut(t *testing.T) {
	cases := []struct {
		name, key string
		status    int
	}{
		{"known key", "k", http.StatusRequestTimeout},
		{"unknown key", "no", http.StatusUnauthorized},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				keys := caller.NewKeyring[ticket.WorkspaceName]()
				keys.Add("k", "w")
				listener := make(connListener)
				defer close(listener)
				server := &http.Server{Handler: callerhttp.New(nil, keys, nil, clock.New()).Handler()}
				go func() { _ = server.Serve(listener) }()
				clientConn, serverConn := net.Pipe()
				defer clientConn.Close()
				listener <- serverConn
				status := make(chan int, 1)
				go func() {
					response, err := http.ReadResponse(bufio.NewReader(clientConn), nil)
					if err != nil {
						status <- 0
						return
					}
					_, _ = io.Copy(io.Discard, response.Body)
					status <- response.StatusCode
					_, _ = io.Copy(io.Discard, clientConn)
				}()
				startedAt := time.Now()
				if _, err := fmt.Fprintf(clientConn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 1000\r\n\r\n", tc.key); err != nil {
					t.Fatal(err)
				}
				for range 999 {
					if _, err := clientConn.Write([]byte("x")); err != nil {
						break
					}
					time.Sleep(time.Second)
				}
				if elapsed := time.Since(startedAt); elapsed > time.Minute {
					t.Errorf("the connection stayed open for %v", elapsed)
				}
				clientConn.Close()
				if got := <-status; got != tc.status {
					t.Errorf("status %d, want %d", got, tc.status)
				}
			})
		})
	}
}
