// Package processes tests real processes on loopback: kills, freezes and signals.
package processes
