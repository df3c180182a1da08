// Package callerhttp serves callers over HTTP: the OpenAI chat API and plain service calls.
package callerhttp
