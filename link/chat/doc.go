// Package chat holds the messages of the OpenAI chat completions protocol that the system reads or writes.
package chat
