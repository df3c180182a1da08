// Command lab3 plays the cases of the third review: it starts the project's program as separate
// processes beside small stand-ins of the platform's store, of replicas and of callers, and checks
// one rule by what these have seen.
package main
