package registry

import (
	"foxtailbridge/policy/clock"
)

type options struct {
	awaySpan  clock.Millis
	lapseSpan clock.Millis
	chill     clock.Millis
}

const (
	// defaultAway is the age of the view from which the store counts as away:
	// two beats of an endpoint, after which entries may have run out.
	defaultAway = 2500 * clock.Millis(1)
	// defaultLapse is how long after its return entries may still be missing.
	defaultLapse = 2 * clock.Second
	// defaultChill is how long endpoints of a zone that takes work again count
	// as cold: until their next entries have told.
	defaultChill = 4 * clock.Second
)

func defaults() options {
	return options{awaySpan: defaultAway, lapseSpan: defaultLapse, chill: defaultChill}
}

// Option changes a Registry.
type Option func(*options)

// WithExpiryGrace sets how long after the store's return entries may still be missing.
func WithExpiryGrace(span clock.Millis) Option {
	return func(o *options) { o.lapseSpan = span }
}

// WithZoneColdPeriod sets how long the endpoints of a zone that takes work again count as cold.
func WithZoneColdPeriod(span clock.Millis) Option {
	return func(o *options) { o.chill = span }
}
