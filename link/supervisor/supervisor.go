package supervisor

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
)

// Signals handles SIGTERM, SIGINT and SIGHUP until the process exits. The handlers are
// never removed: by default each of these signals would kill the process, even while
// it drains.
type Signals struct {
	stopSignals   chan os.Signal
	reloadSignals chan os.Signal
	// stopRequested is closed by Run on the first stop signal.
	stopRequested chan struct{}
}

// Notify registers for the signals; one stop and one reload signal are buffered until
// Run is called.
func Notify() *Signals {
	// Separate channels keep many signals of one kind from displacing the other kind.
	s := &Signals{stopSignals: make(chan os.Signal, 1), reloadSignals: make(chan os.Signal, 1), stopRequested: make(chan struct{})}
	signal.Notify(s.stopSignals, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reloadSignals, syscall.SIGHUP)
	// With SIGPIPE ignored, a write to a log pipe without a reader fails instead of
	// killing the process.
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// StopRequested returns a channel that is closed on the first stop signal.
func (s *Signals) StopRequested() <-chan struct{} {
	return s.stopRequested
}

// Run handles signals until the process exits and must be called only once. It calls
// reload for each SIGHUP, even while the process drains.
func (s *Signals) Run(logger hclog.Logger, reload func()) {
	for {
		select {
		case signal := <-s.stopSignals:
			logger.Info("signal", "signal", signal.String(), "stopping", s.stopping())
			if !s.stopping() {
				close(s.stopRequested)
			}
		case signal := <-s.reloadSignals:
			logger.Info("signal", "signal", signal.String(), "stopping", s.stopping())
			reload()
		}
	}
}

func (s *Signals) stopping() bool {
	select {
	case <-s.stopRequested:
		return true
	default:
		return false
	}
}
