// Package promises holds the tests that prove what must always hold, with
// whole instances against stand-ins under virtual time.
package promises
