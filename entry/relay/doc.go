// Package relay passes records, evidence and suspicions between instances, and decides which of them reads the store.
package relay
