// Package peer speaks to the other entry instances.
package peer
