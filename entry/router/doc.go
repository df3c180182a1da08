// Package router takes a caller's request from admission to its settled bill.
package router
