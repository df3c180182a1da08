// Package applog is an in-memory test double of the platform's append-only log with
// fault injection.
package applog
