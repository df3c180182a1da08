// Package listing is a stand-in for the platform's lagging list of instances and endpoints.
package listing
