// Package share splits limits that hold for all machines together into parts that one machine may use alone.
package share
