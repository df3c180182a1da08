// Package placement chooses the endpoint with the lowest estimated delay for a request.
package placement
