// Package telemetry sets up logs and metrics.
package telemetry
