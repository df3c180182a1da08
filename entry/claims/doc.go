// Package claims ensures that a non-idempotent request is run at most once: an
// instance claims it in the log before running it and records the outcome there.
package claims
