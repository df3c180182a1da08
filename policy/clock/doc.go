// Package clock provides wall-clock and monotonic time in milliseconds, and a
// virtual clock for tests.
package clock
