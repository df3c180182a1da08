// Package session signs and verifies the tokens that pin sessions to a model version.
package session
