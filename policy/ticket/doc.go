// Package ticket defines change tickets, the configuration objects they carry,
// and the conflict-free (CRDT) state into which every instance merges them.
package ticket
