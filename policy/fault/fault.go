package fault

import (
	"errors"
	"fmt"
)

// Error is a failed operation with a kind that callers can switch on.
type Error[K ~string] struct {
	// Op names the operation that failed, such as "append" or "parse".
	Op string
	// Kind classifies the failure.
	Kind K
	// Err is the cause, or nil.
	Err error
}

// New returns an Error whose cause is formatted as by fmt.Errorf.
func New[K ~string](op string, kind K, format string, args ...any) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Err: fmt.Errorf(format, args...)}
}

// Error returns the operation, the kind and the cause, if any, separated by colons.
func (e *Error[K]) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, string(e.Kind))
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, string(e.Kind), e.Err)
}

// Unwrap returns the cause.
func (e *Error[K]) Unwrap() error {
	return e.Err
}

// KindOf returns the kind of the first Error[K] in err's chain, or "" if there is none.
func KindOf[K ~string](err error) K {
	var e *Error[K]
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
