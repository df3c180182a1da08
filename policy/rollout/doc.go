// Package rollout assigns traffic to new versions and detects versions that are worse
// than the old one.
package rollout
