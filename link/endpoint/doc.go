// Package endpoint is the HTTP client for endpoints: model engines and plain services.
package endpoint
