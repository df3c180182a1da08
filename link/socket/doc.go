// Package socket provides TCP connections that fail quickly when the peer stops
// responding, and graceful draining of server connections.
package socket
