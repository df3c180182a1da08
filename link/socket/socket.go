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
	// userTimeout is how long sent data may stay unacknowledged before the connection fails.
	userTimeout = 1500 * time.Millisecond
	// keepIdle, keepInterval and keepCount are the TCP keep-alive settings, which close
	// an idle connection whose peer is gone.
	keepIdle     = 2 * time.Second
	keepInterval = time.Second
	keepCount    = 2
	// receiveWindow bounds the data that the kernel holds for an accepted connection that isn't
	// read; without it the kernel accepts 128 KB, and up to 32 MB on a connection that was read
	// quickly before.
	receiveWindow = 64 << 10
	// idleTimeout closes idle HTTP connections between our own processes and to the store.
	idleTimeout = 5 * time.Second
	// maxIdlePerHost limits the idle connections to one host.
	maxIdlePerHost = 2
	// MaxHeaderBytes limits the size of a response header; those of the store and of our
	// own processes have about 200 bytes, while the default of net/http is 10 MB.
	MaxHeaderBytes = 32 << 10
)

// keepAlive detects a dead peer.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepIdle, Interval: keepInterval, Count: keepCount}

// NewDialer returns a dialer with a connect timeout, whose connections fail when the
// peer stops acknowledging data.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: keepAlive,
		Control:         tcpOption(unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond)),
	}
}

// tcpOption returns a Control function that sets a TCP option of a new socket.
func tcpOption(option, value int) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, option, value)
		})
		if err != nil {
			return err
		}
		return optErr
	}
}

// Listen returns a TCP listener whose connections use keep-alive to detect a dead peer, and hold
// at most receiveWindow bytes unread.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: tcpOption(unix.TCP_WINDOW_CLAMP, receiveWindow)}
	return config.Listen(ctx, "tcp", address)
}

// NewClient returns an HTTP client that connects with NewDialer and has a StrictTransport.
func NewClient(dialTimeout time.Duration) *http.Client {
	return &http.Client{Transport: StrictTransport(NewDialer(dialTimeout), &http.Transport{
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: MaxHeaderBytes,
	})}
}

// Stale reports whether an idle connection was closed by the peer or has unread data.
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
