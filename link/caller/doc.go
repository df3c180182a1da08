// Package caller defines the caller-facing protocol apart from chat completions: error
// responses, headers and API keys.
package caller
