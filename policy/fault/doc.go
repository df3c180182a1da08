// Package fault holds the error shape that every package's error type shares.
package fault
