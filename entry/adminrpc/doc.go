// Package adminrpc serves operators: tickets, configuration, status, bills and decisions.
package adminrpc
