package main

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"foxtailbridge/link/socket"
)

// freeAddress returns a loopback address with an unused port.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// TestShutdownServesPartialRequest guards against a caller connection that is closed
// without a response because its request was received completely only while the
// instance was shutting down its servers.
func TestShutdownServesPartialRequest(t *testing.T) {
	var callerAddress string
	var otherServers []*http.Server
	callerConns := socket.NewConnTracker()
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	err := errors.New("no attempt made")
	for attempt := 0; err != nil && attempt < 10; attempt++ { // Another process may take the port in between.
		callerAddress = freeAddress(t)
		otherServers, err = listen(hclog.NewNullLogger(), map[string]http.Handler{callerAddress: handler}, callerAddress, callerConns)
	}
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", callerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	send := func(text string) {
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	send("GET / HTTP/1.1\r\nHo")
	closed := make(chan bool)
	go func() { closeAll(context.Background(), callerConns, otherServers); close(closed) }()
	time.Sleep(20 * time.Millisecond)
	send("st: h\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("response %v, error %v", response, err)
	}
	<-closed
}
