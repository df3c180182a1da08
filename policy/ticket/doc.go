// Package ticket defines change tickets, the configuration objects they carry,
// and the join-semilattice into which every instance folds them.
package ticket
