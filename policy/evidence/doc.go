// Package evidence counts exposures and ratings of model versions in grow-only
// counters (G-counter CRDTs). Instances can merge them in any order and any
// number of times.
package evidence
