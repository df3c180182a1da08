// Package socket opens TCP channels that notice a silent peer.
package socket
