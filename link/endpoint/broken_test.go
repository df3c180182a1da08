package endpoint

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"foxtailbridge/link/socket/sockettest"
	"foxtailbridge/policy/fault"
)

// rawEndpoint sends a response to requests, or to load reports, as raw bytes.
type rawEndpoint struct {
	inReport bool
	// head lacks the attempt ID.
	head, body string
}

// ServeHTTP closes the connection after the response.
func (e *rawEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if (r.URL.Path == "/load") != e.inReport {
		fmt.Fprint(w, `{"boot-id":"b1","phase":"warm","slots":1}`)
		return
	}
	head := e.head + HeaderAttempt + ": " + r.Header.Get(HeaderAttempt) + "\r\n"
	sockettest.Response{Head: head, Body: e.body}.ServeHTTP(w, r)
}

// TestInvalidHeads guards against responses that net/http accepts although they are invalid: one
// with status 000 counted as a success, and one whose length was lost had a body that wasn't the
// endpoint's.
func TestInvalidHeads(t *testing.T) {
	const report = `{"boot-id":"b1","phase":"warm","slots":1}`
	const events = "data: " + tokenA + "\n\ndata: " + tokenB + "\n\ndata: " + usage2 + "\n\ndata: " + doneMarker + "\n\n"
	call := func(e *Endpoint) error {
		_, err := e.Call(context.Background(), &Attempt{ID: "1"}, &CallRequest{Call: "x"})
		return err
	}
	stream := func(e *Endpoint) error {
		_, err := e.Stream(context.Background(), &Attempt{ID: "1"}, &StreamRequest{Body: []byte("{}")}, func(string) error { return nil })
		return err
	}
	load := func(e *Endpoint) error {
		_, err := e.Load(context.Background())
		return err
	}
	order := func(e *Endpoint) error { return e.SendOrder(context.Background(), &Order{}) }
	rows := []struct {
		name     string
		inReport bool
		body     string
		send     func(e *Endpoint) error
		kind     Kind
	}{
		{"call", false, "ok", call, KindBroken},
		{"stream", false, events, stream, KindBroken},
		{"order", false, "", order, KindBroken},
		{"report", true, report, load, KindBroken},
		{"probe", true, report, call, KindNotSent},
	}
	for _, row := range rows {
		for _, invalid := range sockettest.InvalidHeads {
			t.Run(row.name+", "+invalid.Name, func(t *testing.T) {
				server := httptest.NewServer(&rawEndpoint{row.inReport, invalid.Head, row.body})
				defer server.Close()
				err := row.send(New(server.URL))
				if kind := fault.KindOf[Kind](err); kind != row.kind {
					t.Errorf("kind %q, want %q: %v", kind, row.kind, err)
				}
			})
		}
	}
}

// TestEndDuringRequest guards against a part of a response that counts as complete because the
// connection ended while the request was still being written. The response has no length, so that
// its end is that of the connection.
func TestEndDuringRequest(t *testing.T) {
	const requestBytes = 16 << 20 // It exceeds what sockets buffer.
	rows := []struct {
		name string
		end  func(conn *net.TCPConn, request io.Reader)
		kind Kind
	}{
		{"reset", func(conn *net.TCPConn, _ io.Reader) {
			time.Sleep(5 * time.Millisecond) // The client reads the part and waits for more.
			_ = conn.SetLinger(0)            // Unread data resets the connection as well.
		}, KindBroken},
		{"closed", func(conn *net.TCPConn, _ io.Reader) {
			_ = conn.CloseWrite() // The client would wait for the end of the response.
			time.Sleep(20 * time.Millisecond)
		}, KindBroken},
		{"closed after the request was read", func(_ *net.TCPConn, request io.Reader) {
			_, _ = io.CopyN(io.Discard, request, requestBytes) // The call would fail.
		}, ""},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/load" {
					fmt.Fprint(w, `{"boot-id":"b1","phase":"warm","slots":1}`)
					return
				}
				conn, request, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\npart", HeaderAttempt, r.Header.Get(HeaderAttempt))
				row.end(conn.(*net.TCPConn), request)
			}))
			defer server.Close()
			kinds := map[Kind]int{}
			const requests = 20 // Either the write or the read receives a reset.
			for range requests {
				_, err := New(server.URL).Call(context.Background(), &Attempt{ID: "1"}, &CallRequest{Call: "x", Body: make([]byte, requestBytes)})
				kinds[fault.KindOf[Kind](err)]++
			}
			if kinds[row.kind] != requests {
				t.Errorf("%d calls ended as %v, want %q", requests, kinds, row.kind)
			}
		})
	}
}
