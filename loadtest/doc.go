// Command loadtest sends seeded load to entry instances and reports what callers see.
package main
