// Package callerhttp is the HTTP server for callers. It serves an OpenAI-compatible chat
// API and calls to plain services.
package callerhttp
