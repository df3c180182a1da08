// Package clock gives every other package its notion of time, in milliseconds.
package clock
