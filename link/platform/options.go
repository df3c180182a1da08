package platform

import (
	"net/http"

	"foxtailbridge/policy/clock"
)

// Defaults of the clients.
const (
	DefaultTimeout   = 2 * clock.Second
	maxResponseBytes = 64 << 20
)

type options struct {
	client  *http.Client
	timeout clock.Millis
}

// Option changes how a client reaches the platform.
type Option func(*options)

// WithClient sets the HTTP client.
func WithClient(client *http.Client) Option {
	return func(o *options) { o.client = client }
}

// WithTimeout bounds each call, beside any wait that the call itself asks for.
func WithTimeout(timeout clock.Millis) Option {
	return func(o *options) { o.timeout = timeout }
}

func newOptions(opts []Option) *options {
	o := &options{client: &http.Client{}, timeout: DefaultTimeout}
	for _, opt := range opts {
		opt(o)
	}
	return o
}
