// Command lab2 plays the cases of the second review: it starts the platform program as separate
// processes on loopback addresses, with stand-ins of the store, the replicas and the consumers.
package main
