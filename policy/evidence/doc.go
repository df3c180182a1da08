// Package evidence counts what instances learn of versions in grow-only
// counters that merge in any order and any number of times.
package evidence
