// Package pool tracks the state of the endpoints as one instance sees it, and
// chooses endpoints for dispatches.
package pool
