// Command operator checks and publishes change tickets, and shows operators what the system does.
package main
