// Package catalog holds what an operator configured and which endpoints registered, as one immutable view.
package catalog
