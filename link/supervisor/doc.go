// Package supervisor handles the signals that a process manager sends: stop and reload.
package supervisor
