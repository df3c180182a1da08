// Package duty decides whether roll-outs are completed or rolled back. One
// instance decides for the whole fleet; others take over if it fails.
package duty
