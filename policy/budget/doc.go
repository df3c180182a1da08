// Package budget accounts for the memory and the connections that the clients of one listener
// take, and chooses which connection to close when they are short.
package budget
