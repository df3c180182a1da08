// Package loadlist holds the lists of in-flight requests by endpoint that instances exchange.
package loadlist
