package clock

import (
	"context"
	"sync"
)

// Virtual is a manually advanced time source for tests and simulations.
type Virtual struct {
	mu  sync.Mutex
	now Millis
}

// NewVirtual returns a Virtual that starts at the given Unix time in milliseconds.
func NewVirtual(start Millis) *Virtual {
	return &Virtual{now: start}
}

// Now returns the current virtual time.
func (v *Virtual) Now() Millis {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now
}

// Advance moves the virtual time forward by the span.
func (v *Virtual) Advance(span Millis) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.now += span
}

// Clock returns a Clock that reads v. Its Sleep advances v by the span and
// returns immediately.
func (v *Virtual) Clock() *Clock {
	return &Clock{
		Wall: v.Now,
		Mono: v.Now,
		Sleep: func(ctx context.Context, span Millis) error {
			v.Advance(span)
			return ctx.Err()
		},
	}
}
