// Package mesh synchronizes configuration, rollout counters, suspicions and bill
// holds with the other entry instances over the peer API.
package mesh
