// Package processes holds the tests that need real processes: kills, stops and signals.
package processes
