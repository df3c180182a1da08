// Package billing prices answers and deduplicates bill records, so that each
// request is billed once.
package billing
