// Package session signs and verifies the token that pins a session to a model version.
package session
