package web

import (
	"net"
	"net/http"
	"sync"
)

// Tracker knows the open connections of a server, so that a simulated crash can break them.
type Tracker struct {
	mu    sync.Mutex
	conns map[net.Conn]bool
}

// NewTracker returns a Tracker without connections.
func NewTracker() *Tracker {
	return &Tracker{conns: map[net.Conn]bool{}}
}

// OnStateChange is the server's ConnState function.
func (t *Tracker) OnStateChange(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(t.conns, conn)
		return
	}
	t.conns[conn] = true
}

// CloseAll breaks every open connection.
func (t *Tracker) CloseAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.conns {
		conn.Close()
	}
}
