// Package service is a test double of a plain service, some of whose calls are not
// idempotent.
package service
