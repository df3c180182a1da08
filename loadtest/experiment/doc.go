// Package experiment simulates the routing, cascade and roll-out policies and compares them with
// baselines on the same seeded load, in virtual time.
package experiment
