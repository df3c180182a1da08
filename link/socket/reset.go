package socket

import (
	"context"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Dial connects with a dialer. Reads of the connection fail with ECONNRESET after a reset.
//
// The kernel reports a reset to one call only. If that is a write, the next read would return
// io.EOF, as at the end of a response that has no length.
func Dial(ctx context.Context, dialer *net.Dialer, network, address string) (net.Conn, error) {
	conn, err := dialer.DialContext(ctx, network, address)
	if tcp, ok := conn.(*net.TCPConn); ok {
		return resetConn{tcp}, err
	}
	return conn, err
}

// resetConn is a connection that reports a reset to every read.
type resetConn struct{ *net.TCPConn }

// Read reads from the connection.
func (c resetConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if err == io.EOF && !c.endedByPeer() {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// endedByPeer reports whether io.EOF means that the peer has closed the connection. It could still
// be written to then, unlike one that has failed, or that was closed here because a write failed.
func (c resetConn) endedByPeer() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = err != nil || info.State != unix.BPF_TCP_CLOSE // Without the state the read is believed.
	})
	return ended && err == nil
}
