// Package mesh exchanges state with the other entry instances.
package mesh
