// Package claim decides which instance may run a non-idempotent request.
// The order of the log decides alone: the first record of a request id holds it.
package claim
