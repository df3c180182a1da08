// Package service is a stand-in for a plain service whose calls may not all be repeated.
package service
