// Package supervisor takes the signals by which a process manager drives a process.
package supervisor
