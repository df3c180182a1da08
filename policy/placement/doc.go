// Package placement chooses the endpoint for a request by the time it would add there.
package placement
