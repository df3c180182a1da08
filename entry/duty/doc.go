// Package duty decides the end of roll-outs, one instance for the whole fleet.
package duty
