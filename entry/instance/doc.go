// Package instance creates and connects the components of one entry instance.
package instance
