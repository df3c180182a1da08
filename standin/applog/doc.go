// Package applog is a stand-in for the platform's append-only log, in memory, with faults.
package applog
