// Package sockettest provides HTTP responses for tests that net/http's server cannot send.
package sockettest
