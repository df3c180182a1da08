// Command entry runs one entry instance, the only process between callers and endpoints.
package main
