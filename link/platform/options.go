package platform

import (
	"net"
	"net/http"
	"time"

	"foxtailbridge/link/socket"
	"foxtailbridge/policy/clock"
)

// Defaults of the clients.
const (
	DefaultTimeout   = 2 * clock.Second
	maxResponseBytes = 64 << 20
)

// dialTimeout bounds connecting, as http.DefaultTransport does.
const dialTimeout = 30 * time.Second

// transport is http.DefaultTransport as a StrictTransport.
var transport = socket.StrictTransport(&net.Dialer{Timeout: dialTimeout}, http.DefaultTransport.(*http.Transport).Clone())

type options struct {
	client  *http.Client
	timeout clock.Millis
}

// Option configures a client of a platform service.
type Option func(*options)

// WithClient sets the HTTP client.
func WithClient(client *http.Client) Option {
	return func(o *options) { o.client = client }
}

// WithTimeout sets the timeout of each call, on top of any wait that the call requests.
func WithTimeout(timeout clock.Millis) Option {
	return func(o *options) { o.timeout = timeout }
}

func newOptions(opts []Option) *options {
	o := &options{client: &http.Client{Transport: transport}, timeout: DefaultTimeout}
	for _, opt := range opts {
		opt(o)
	}
	return o
}
