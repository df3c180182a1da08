// Package rollout assigns traffic to new versions and stops a version that turns out worse.
package rollout
