// Package peer is the client and server of the RPCs between entry instances.
package peer
