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

// free returns a loopback address that nobody listens on.
func free(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Guards against a caller's channel that ends without an answer because its request
// became whole only while the instance closed its servers.
func TestStopAnswersAHeadInParts(t *testing.T) {
	var caller string
	var others []*http.Server
	callers := socket.NewConnTracker()
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	err := errors.New("no try")
	for try := 0; err != nil && try < 10; try++ { // Another process may take the address meanwhile.
		caller = free(t)
		others, err = listen(hclog.NewNullLogger(), map[string]http.Handler{caller: handler}, caller, callers)
	}
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", caller)
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
	go func() { closeAll(context.Background(), callers, others); close(closed) }()
	time.Sleep(20 * time.Millisecond)
	send("st: h\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("the answer is %v, %v", response, err)
	}
	<-closed
}
