// Package learning gathers ratings, judges roll-outs, and keeps the list of requests that crash endpoints.
package learning
