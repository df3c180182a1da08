// Package socket provides TCP connections that fail quickly when the peer stops
// responding, HTTP clients that refuse broken responses, and graceful draining of server
// connections.
package socket
