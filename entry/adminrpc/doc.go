// Package adminrpc serves the administration API, with which operators publish tickets
// and inspect the configuration, status, bills and routing decisions of an instance.
package adminrpc
