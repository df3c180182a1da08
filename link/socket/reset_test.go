package socket

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// TestResetReportedToAnotherCall guards against a reset that a read takes for the end of the data,
// as the kernel has reported it to another call: a part of a response was complete then.
func TestResetReportedToAnotherCall(t *testing.T) {
	const part = "part"
	rows := []struct {
		name string
		// await returns once the call has received the reset.
		await func(t *testing.T, conn net.Conn)
	}{
		{"a write", func(t *testing.T, conn net.Conn) {
			var err error
			for err == nil {
				_, err = conn.Write(make([]byte, 64<<10))
			}
			if !errors.Is(err, syscall.ECONNRESET) {
				t.Fatalf("the write failed with %v", err)
			}
		}},
		{"a check for unread data", func(t *testing.T, conn net.Conn) {
			for end := time.Now().Add(5 * time.Second); !Stale(conn); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("the connection was not reset")
				}
			}
		}},
		{"none", func(*testing.T, net.Conn) {}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			partRead := make(chan struct{})
			conn := dialPeer(t, func(peer *net.TCPConn) {
				_, _ = io.WriteString(peer, part) // The reads of the test notice a failure.
				<-partRead
				_ = peer.SetLinger(0) // Unread data resets the connection as well.
			})
			got := make([]byte, len(part))
			if _, err := io.ReadFull(conn, got); err != nil {
				t.Fatal(err)
			}
			close(partRead)
			row.await(t, conn)
			for range 2 {
				if _, err := conn.Read(got); !errors.Is(err, syscall.ECONNRESET) {
					t.Errorf("the read ended with %v, want a reset", err)
				}
			}
		})
	}
}

// TestEndOfData guards against an end of the data that a read takes for a reset, also while
// requests could still be written.
func TestEndOfData(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	rows := []struct {
		name string
		end  func(peer *net.TCPConn)
	}{
		{"closed", func(*net.TCPConn) {}},
		{"closed for writing", func(peer *net.TCPConn) {
			_ = peer.CloseWrite() // The read of the test notices a failure.
			<-release
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			conn := dialPeer(t, func(peer *net.TCPConn) {
				_, _ = io.WriteString(peer, "all")
				row.end(peer)
			})
			if got, err := io.ReadAll(conn); err != nil || string(got) != "all" {
				t.Errorf("read %q, error %v", got, err)
			}
		})
	}
}

// dialPeer returns a connection to a peer that closes it after serve.
func dialPeer(t *testing.T, serve func(peer *net.TCPConn)) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		peer, err := l.Accept()
		if err != nil {
			return
		}
		defer peer.Close()
		serve(peer.(*net.TCPConn))
	}()
	conn, err := Dial(context.Background(), NewDialer(time.Second), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}
