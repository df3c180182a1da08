// Package routing decides which endpoints may get a request and chooses one of them.
package routing
