// Package registry caches the records of the platform's store on this instance and builds the view that requests are routed by.
package registry
