// Package admission limits the requests in flight on one instance, queues the others
// by priority and workspace share, and sheds those that cannot meet their deadline.
package admission
