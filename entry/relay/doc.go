// Package relay exchanges records, evidence and suspicions between instances by gossip, and elects the instance of each zone that reads the store.
package relay
