// Package settings reads and validates the YAML settings of an entry instance.
package settings
