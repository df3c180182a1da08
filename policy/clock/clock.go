package clock

import (
	"context"
	"time"
)

// Millis is a point in time, or a span of time, in milliseconds.
type Millis int64

// Common spans.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// Duration returns the span as a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Time returns the point in Unix time as a time.Time in UTC.
func (m Millis) Time() time.Time {
	return time.UnixMilli(int64(m)).UTC()
}

// Clock provides wall-clock time, monotonic time and sleep as functions that
// tests can replace.
type Clock struct {
	// Wall returns Unix time in milliseconds; it may jump forward or back.
	Wall func() Millis
	// Mono returns milliseconds since an arbitrary origin; it never goes back.
	Mono func() Millis
	// Sleep waits for the span. If ctx ends first, it returns ctx's error.
	Sleep func(ctx context.Context, span Millis) error
}

// New returns a Clock that reads the operating system's clocks.
func New() *Clock {
	origin := time.Now()
	return &Clock{
		Wall:  func() Millis { return Millis(time.Now().UnixMilli()) },
		Mono:  func() Millis { return Millis(time.Since(origin) / time.Millisecond) },
		Sleep: sleep,
	}
}

func sleep(ctx context.Context, span Millis) error {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
