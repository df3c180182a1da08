// Package engine is a stand-in for a model engine: slots, cold start, priorities, resume, orders and faults.
package engine
