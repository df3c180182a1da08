package sockettest

import (
	"io"
	"net"
	"net/http"
	"time"
)

// OK is a valid status line.
const OK = "HTTP/1.1 200 OK\r\n"

// InvalidHeads are heads that no client may accept, without the fields that a test adds.
var InvalidHeads = []struct{ Name, Head string }{
	{"status 000", "HTTP/1.1 000 OK\r\n"},
	{"control byte in a field name", OK + "X\x01Odd: v\r\n"},
	{"blank in a field name", OK + "X Odd: v\r\n"},
	{"blank in the name of the length", OK + "Content Length: 5\r\n"},
}

// Response is a response that is sent as it is.
type Response struct {
	// Head holds the status line and the fields, each with its line end.
	Head string
	Body string
	// Reset makes the server leave the request unread and reset the connection after the response.
	// Otherwise it reads the request and closes the connection.
	Reset bool
}

// resetDelay is the time from a response to the reset, in which the client reads the response and
// waits for more.
const resetDelay = 20 * time.Millisecond

// ServeHTTP sends the response and ends the connection.
func (r Response) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if !r.Reset {
		_, _ = io.Copy(io.Discard, request.Body) // The response is the same for any request.
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, r.Head+"\r\n"+r.Body) // The client may have disconnected.
	if r.Reset {
		time.Sleep(resetDelay)
		_ = conn.(*net.TCPConn).SetLinger(0) // Unread data resets the connection as well.
	}
}
