// Package fleet reads and writes the log stream that all instances share: gate leases,
// stopped rollouts and suspicions about requests that crash engines.
package fleet
