// Package config maintains the configuration of an instance: it follows the config
// stream of the log, merges the state of peers, and reports how fresh the result is.
package config
