// Package gate limits concurrent requests to endpoints in cold start. In each
// availability zone, one instance holds a lease and issues the permits.
package gate
