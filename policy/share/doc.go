// Package share holds rate and retry limiters for one instance's share of a limit
// that applies to all instances together.
package share
