// Package claims acquires and ends claims on non-idempotent requests through the log.
package claims
