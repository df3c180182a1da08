// Package admission bounds the requests in flight on one instance and orders
// those that wait by priority, workspace share and deadline.
package admission
