// Package load sends seeded open-loop load over HTTP and records what callers see.
package load
