// Package listing is a test double of the platform's directory of instances and endpoints,
// whose changes become visible with a lag.
package listing
