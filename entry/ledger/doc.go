// Package ledger brings bills into the log, and keeps them with other instances while the log cannot be reached.
package ledger
