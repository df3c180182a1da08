package endpoint

import (
	"net/http"
	"strconv"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/gate"
	"foxtailbridge/policy/ticket"
)

type options struct {
	reportTimeout clock.Millis
	dialTimeout   clock.Millis
	idleTimeout   clock.Millis
	observeLoad   func(*Load)
	observeBoot   func(gate.BootID)
}

// Option configures an endpoint client.
type Option func(*options)

// WithObserveLoad sets the function that receives the load report of each new connection.
func WithObserveLoad(observe func(*Load)) Option {
	return func(o *options) { o.observeLoad = observe }
}

// WithObserveBoot sets the function that receives the boot ID of each response.
func WithObserveBoot(observe func(gate.BootID)) Option {
	return func(o *options) { o.observeBoot = observe }
}

// WithIdleTimeout limits the wait for the next piece of text of a stream.
func WithIdleTimeout(timeout clock.Millis) Option {
	return func(o *options) { o.idleTimeout = timeout }
}

func newOptions(opts []Option) *options {
	o := &options{
		reportTimeout: DefaultReportTimeout,
		dialTimeout:   DefaultDialTimeout,
		idleTimeout:   DefaultIdleTimeout,
		observeLoad:   func(*Load) {},
		observeBoot:   func(gate.BootID) {},
	}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

const (
	maxIdleConns     = 256
	maxIdleConnsHost = 128
)

func (o *options) requestTransport() *http.Transport {
	return &http.Transport{
		DialContext:            o.dialProbed,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConnsHost,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

func formatOffset(offset ticket.Offset) string {
	return strconv.FormatInt(int64(offset), 10)
}
