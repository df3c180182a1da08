// Package config keeps an instance's configuration in force: it follows the
// log, takes what other instances know, and tells how fresh the result is.
package config
