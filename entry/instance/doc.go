// Package instance wires the parts of one entry instance together.
package instance
