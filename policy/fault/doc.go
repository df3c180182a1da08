// Package fault provides the generic error type on which the packages base their own.
package fault
