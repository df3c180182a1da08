// Package caller holds what the system says to callers beside the chat protocol: problems, headers and API keys.
package caller
