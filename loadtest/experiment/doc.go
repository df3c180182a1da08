// Package experiment measures the decisions against named baselines on the same
// seeded load, in virtual time.
package experiment
