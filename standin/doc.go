// Command standin runs test doubles, with fault injection, of the platform services and
// endpoints that foxtailbridge depends on.
package main
