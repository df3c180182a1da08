// Package claim decides which instance may run a non-idempotent request.
// The order of the log is authoritative: the first record of a request id wins.
package claim
