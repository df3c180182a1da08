// Package quarantine detects requests that crash the endpoints that run them.
package quarantine
