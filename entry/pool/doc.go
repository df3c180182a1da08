// Package pool keeps what an instance knows of the endpoints and dispatches to them.
package pool
