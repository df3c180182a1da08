package socket

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout is how long sent bytes may stay unconfirmed before a channel breaks.
	userTimeout = 1500 * time.Millisecond
	// keepIdle, keepInterval and keepCount end an idle channel whose peer is gone.
	keepIdle     = 2 * time.Second
	keepInterval = time.Second
	keepCount    = 2
	// idleTimeout ends idle channels between our own processes and to the store.
	idleTimeout = 5 * time.Second
	// idlePerHost bounds the idle channels to one host.
	idlePerHost = 2
	// MaxHeaderBytes bounds an answer's head in bytes; those of the store and of our own
	// processes have some 200, and net/http's own bound is 10 MB.
	MaxHeaderBytes = 32 << 10
)

// NewDialer returns a dialer with a bound on connecting, whose channels break when
// the peer falls silent.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepIdle, Interval: keepInterval, Count: keepCount},
		Control:         control,
	}
}

// control sets TCP_USER_TIMEOUT on a new socket.
func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return failed
}

// Listen returns a listener whose channels notice a silent peer.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepIdle, Interval: keepInterval, Count: keepCount}}
	return config.Listen(ctx, "tcp", address)
}

// NewClient returns an HTTP client over such channels.
func NewClient(dialTimeout time.Duration) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:            NewDialer(dialTimeout).DialContext,
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: MaxHeaderBytes,
	}}
}

// Stale reports whether an idle channel was closed or carries bytes that no
// request is waiting for.
func Stale(conn net.Conn) bool {
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return true
	}
	stale := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		stale = n > 0 || err == nil || err != unix.EAGAIN
		return true
	})
	return stale || err != nil
}
