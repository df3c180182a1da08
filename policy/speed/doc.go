// Package speed estimates how fast endpoints work, from what they report and from the times of
// their responses: how long work takes at an endpoint relative to others.
package speed
