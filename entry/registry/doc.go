// Package registry holds the records of the platform's store that this instance knows, and the view built from them.
package registry
