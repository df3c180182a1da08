// Package cascade picks the cheapest model versions that meet a workspace's quality target.
package cascade
