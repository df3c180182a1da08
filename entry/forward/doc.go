// Package forward carries requests from callers to endpoints and their answers back.
package forward
