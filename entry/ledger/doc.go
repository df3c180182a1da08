// Package ledger appends bills to the log. While the log is unavailable, bills are
// held in the memory of other instances.
package ledger
