// Package chat defines the messages of the OpenAI chat completions protocol.
package chat
