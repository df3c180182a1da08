// Package platform speaks to the platform's services: the append-only log,
// the list of instances and endpoints, and the rating service.
package platform
