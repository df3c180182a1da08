// Package forward sends callers' requests to endpoints and returns the responses, with
// retries, stream resumption, model escalation and release selection. What an instance knows
// about endpoints between requests is in package endpoints.
package forward
