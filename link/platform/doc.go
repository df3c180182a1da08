// Package platform is the HTTP client for the platform services: the append-only
// log, the directory of instances and endpoints, and the rating service.
package platform
