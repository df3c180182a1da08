// Package web holds the HTTP helpers that the stand-ins share.
package web
