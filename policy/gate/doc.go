// Package gate bounds the work of endpoints in cold start through one lease holder per availability zone.
package gate
