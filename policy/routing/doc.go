// Package routing decides whether an endpoint may get a request and which endpoint gets it.
package routing
