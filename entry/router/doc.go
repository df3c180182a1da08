// Package router processes caller requests: admission, planning, dispatch,
// retries and billing.
package router
