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
	idle          clock.Millis
	observe       func(*Load)
	seeBoot       func(gate.BootID)
}

// Option changes an endpoint client.
type Option func(*options)

// WithObserveLoad sets the function that takes the report of each new connection.
func WithObserveLoad(observe func(*Load)) Option {
	return func(o *options) { o.observe = observe }
}

// WithObserveBoot sets the function that takes the boot id of each answer.
func WithObserveBoot(see func(gate.BootID)) Option {
	return func(o *options) { o.seeBoot = see }
}

// WithIdleTimeout bounds the wait for the next text of a stream.
func WithIdleTimeout(span clock.Millis) Option {
	return func(o *options) { o.idle = span }
}

func newOptions(opts []Option) *options {
	o := &options{
		reportTimeout: DefaultReportTimeout,
		dialTimeout:   DefaultDialTimeout,
		idle:          DefaultIdleTimeout,
		observe:       func(*Load) {},
		seeBoot:       func(gate.BootID) {},
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

func (o *options) workTransport() *http.Transport {
	return &http.Transport{
		DialContext:            o.dialProbed,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConnsHost,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHead,
	}
}

func formatOffset(offset ticket.Offset) string {
	return strconv.FormatInt(int64(offset), 10)
}
