// Package fairshare decides which requests a service that is short of capacity takes, so that all
// instances together divide it by rank, then evenly among workspaces, then by the time left.
package fairshare
