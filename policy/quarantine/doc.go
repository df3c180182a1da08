// Package quarantine finds requests that crash the endpoints that run them.
package quarantine
