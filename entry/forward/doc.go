// Package forward sends callers' requests to endpoints and returns the responses, with
// retries, stream resumption, model escalation and release selection.
package forward
