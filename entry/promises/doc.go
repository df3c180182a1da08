// Package promises tests the system's guarantees (such as at-most-once execution and
// complete billing) with complete instances against stand-ins in virtual time.
package promises
