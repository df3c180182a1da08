// Package fleet follows the log stream of what all instances must know: gate
// leases, stopped roll-outs and crashing requests.
package fleet
