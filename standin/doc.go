// Command standin runs stand-ins of the systems that foxtailbridge serves and uses.
package main
