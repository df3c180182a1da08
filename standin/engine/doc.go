// Package engine is a test double of a model engine. It simulates slots, cold start,
// priorities, resumed streams and orders, and injects faults.
package engine
