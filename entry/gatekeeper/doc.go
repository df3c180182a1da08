// Package gatekeeper holds the gate lease of a zone, grants permits for its
// endpoints in cold start, and gives its engines their orders.
package gatekeeper
