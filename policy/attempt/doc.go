// Package attempt decides what to do after an attempt at an endpoint has ended:
// deliver the answer, retry, resume, or fail in one of several ways.
package attempt
