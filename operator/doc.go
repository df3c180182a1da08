// Command operator validates and publishes change tickets, and shows the configuration,
// status, bills and routing decisions of an entry instance.
package main
