package supervisor

import (
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Guards against a signal that ends the process after it was asked to stop: any of
// these would end this test.
func TestSignalsAreKeptAfterTheStop(t *testing.T) {
	s := Notify()
	send := func(signal syscall.Signal) {
		if err := syscall.Kill(syscall.Getpid(), signal); err != nil {
			t.Fatal(err)
		}
	}
	send(syscall.SIGHUP) // It waits for Run.
	reloads := make(chan bool, 8)
	go s.Run(hclog.NewNullLogger(), func() { reloads <- s.stopping() })
	if stopping := <-reloads; stopping {
		t.Error("the process stops before it was asked to")
	}
	send(syscall.SIGTERM)
	<-s.StopRequested()
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP} {
		send(signal)
		time.Sleep(time.Millisecond)
	}
	if stopping := <-reloads; !stopping {
		t.Error("the stop is forgotten")
	}
}
