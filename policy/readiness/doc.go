// Package readiness decides, from what an instance knows of its endpoints, whether the load
// balancer should send new connections to other instances.
package readiness
