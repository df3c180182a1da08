package supervisor

import (
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// TestSignalsHandledAfterStop guards against a signal that kills the process while it
// is stopping: any unhandled signal would kill the test itself.
func TestSignalsHandledAfterStop(t *testing.T) {
	s := Notify()
	send := func(signal syscall.Signal) {
		if err := syscall.Kill(syscall.Getpid(), signal); err != nil {
			t.Fatal(err)
		}
	}
	send(syscall.SIGHUP) // Buffered until Run is called.
	reloads := make(chan bool, 8)
	go s.Run(hclog.NewNullLogger(), func() { reloads <- s.stopping() })
	if stopping := <-reloads; stopping {
		t.Error("stopping before a stop signal")
	}
	send(syscall.SIGTERM)
	<-s.StopRequested()
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP} {
		send(signal)
		time.Sleep(time.Millisecond)
	}
	if stopping := <-reloads; !stopping {
		t.Error("not stopping after a stop signal")
	}
}
