package registry

import (
	"foxtailbridge/policy/clock"
)

type options struct {
	unavailableAfter clock.Millis
	expiryGrace      clock.Millis
	zoneColdPeriod   clock.Millis
}

const (
	// defaultUnavailableAfter is the age of the view from which the store counts as
	// unavailable: two heartbeats of an endpoint, after which entries may have expired.
	defaultUnavailableAfter = 2500 * clock.Millis(1)
	// defaultExpiryGrace is how long entries may still be missing after the store recovers.
	defaultExpiryGrace = 2 * clock.Second
	// defaultZoneColdPeriod is how long the endpoints of a zone that is no longer drained
	// count as cold: until their next entries report their actual state.
	defaultZoneColdPeriod = 4 * clock.Second
)

func defaultOptions() options {
	return options{unavailableAfter: defaultUnavailableAfter, expiryGrace: defaultExpiryGrace, zoneColdPeriod: defaultZoneColdPeriod}
}

// Option configures a Registry.
type Option func(*options)

// WithExpiryGrace sets how long entries may still be missing after the store recovers.
func WithExpiryGrace(grace clock.Millis) Option {
	return func(o *options) { o.expiryGrace = grace }
}

// WithZoneColdPeriod sets how long the endpoints of a zone count as cold after its drain ends.
func WithZoneColdPeriod(period clock.Millis) Option {
	return func(o *options) { o.zoneColdPeriod = period }
}
