// Package catalog holds the operator's configuration and the registered endpoints as
// one immutable view.
package catalog
