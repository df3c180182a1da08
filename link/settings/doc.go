// Package settings reads and checks the YAML settings of a program.
package settings
