// Package learning collects ratings, stops roll-outs whose new version is worse,
// and tracks requests that crash endpoints.
package learning
