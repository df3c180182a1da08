// Package attempt decides what follows the end of one attempt at an endpoint.
package attempt
