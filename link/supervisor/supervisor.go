package supervisor

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
)

// Signals holds the signals of a process manager until the process ends. They are
// never given back: without a handler each of them ends the process, also while
// it drains.
type Signals struct {
	stops   chan os.Signal
	reloads chan os.Signal
	// stop is closed by Run.
	stop chan struct{}
}

// Notify takes the signals from now on; those that come before Run wait.
func Notify() *Signals {
	// A channel each, so that no flood of one kind displaces the other.
	s := &Signals{stops: make(chan os.Signal, 1), reloads: make(chan os.Signal, 1), stop: make(chan struct{})}
	signal.Notify(s.stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reloads, syscall.SIGHUP)
	// A log whose reader has gone must not end the process: the write fails instead.
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// StopRequested is closed when the process is first asked to stop.
func (s *Signals) StopRequested() <-chan struct{} {
	return s.stop
}

// Run handles signals for the rest of the process's life and is called once; reload is called for each
// request to read the settings again, also while the process drains.
func (s *Signals) Run(logger hclog.Logger, reload func()) {
	for {
		select {
		case signal := <-s.stops:
			logger.Info("signal", "signal", signal.String(), "stopping", s.stopping())
			if !s.stopping() {
				close(s.stop)
			}
		case signal := <-s.reloads:
			logger.Info("signal", "signal", signal.String(), "stopping", s.stopping())
			reload()
		}
	}
}

func (s *Signals) stopping() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}
