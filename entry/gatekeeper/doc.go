// Package gatekeeper competes for the gate lease of a zone. The instance that
// holds the lease grants permits for the zone's endpoints in cold start, and
// sends orders to the zone's engines.
package gatekeeper
