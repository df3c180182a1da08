// Command entry runs an entry instance, the only process between callers and endpoints: it
// authenticates, routes and bills their requests.
package main
