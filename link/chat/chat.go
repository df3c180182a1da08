package chat

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"unicode/utf8"

	"foxtailbridge/policy/fault"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindNotJSON  Kind = "not-json"
	KindNotUTF8  Kind = "not-utf8"
	KindInvalid  Kind = "invalid"
	KindTooLarge Kind = "too-large"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Done is the data of the event that ends a stream.
const Done = "[DONE]"

// Object types, finish reasons and roles of the protocol.
const (
	ObjectCompletion = "chat.completion"
	ObjectChunk      = "chat.completion.chunk"
	FinishStop       = "stop"
	RoleAssistant    = "assistant"
)

// Message is one turn of a conversation.
type Message struct {
	Role string `json:"role"`
	// Content is text, or a list of parts; it is forwarded unchanged.
	Content json.RawMessage `json:"content"`
}

// Request is a chat completion request; unknown fields are preserved in raw.
type Request struct {
	Model     string
	Messages  []Message
	Stream    bool
	MaxTokens int
	// HasMaxTokens is true if the request sets a token limit.
	HasMaxTokens bool
	// IncludeUsage asks for a usage chunk before the end of a stream.
	IncludeUsage bool
	raw          map[string]json.RawMessage
}

type requestFields struct {
	Model               string          `json:"model"`
	Messages            []Message       `json:"messages"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	StreamOptions       json.RawMessage `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// DefaultMaxTokens is the token limit of a request that sets none.
const DefaultMaxTokens = 256

// maxTokensLimit is the highest token limit that a request may set.
const maxTokensLimit = 1 << 20

// ParseRequest parses and validates a request body; it returns an Error if it is invalid.
func ParseRequest(body []byte) (*Request, error) {
	if !utf8.Valid(body) {
		return nil, fault.New("parse-request", KindNotUTF8, "body is not valid UTF-8")
	}
	var fields requestFields
	var raw map[string]json.RawMessage
	if err := decodeSingle(body, &fields); err != nil {
		return nil, fault.New("parse-request", KindNotJSON, "%w", err)
	}
	if err := decodeSingle(body, &raw); err != nil {
		return nil, fault.New("parse-request", KindNotJSON, "%w", err)
	}
	r := &Request{
		Model:     fields.Model,
		Messages:  fields.Messages,
		Stream:    fields.Stream,
		MaxTokens: DefaultMaxTokens,
		raw:       raw,
	}
	for _, limit := range []*int{fields.MaxTokens, fields.MaxCompletionTokens} {
		if limit != nil {
			r.MaxTokens, r.HasMaxTokens = *limit, true
		}
	}
	var options streamOptions
	if len(fields.StreamOptions) > 0 && json.Unmarshal(fields.StreamOptions, &options) == nil {
		r.IncludeUsage = options.IncludeUsage
	}
	return r, r.validate(fields.N)
}

func (r *Request) validate(n *int) error {
	switch {
	case r.Model == "":
		return fault.New("parse-request", KindInvalid, "model is missing")
	case len(r.Messages) == 0:
		return fault.New("parse-request", KindInvalid, "messages are missing")
	case r.MaxTokens < 1 || r.MaxTokens > maxTokensLimit:
		return fault.New("parse-request", KindInvalid, "max_tokens must be between 1 and %d", maxTokensLimit)
	case n != nil && *n != 1:
		return fault.New("parse-request", KindInvalid, "n must be 1")
	}
	for i, message := range r.Messages {
		if message.Role == "" || len(message.Content) == 0 {
			return fault.New("parse-request", KindInvalid, "messages[%d] needs role and content", i)
		}
	}
	return nil
}

// decodeSingle decodes exactly one JSON value.
func decodeSingle(body []byte, result any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(result); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the JSON value")
	}
	return nil
}

// ForEngine returns the body to send to an engine: the caller's body with the given
// model, and with streaming and usage enabled.
func (r *Request) ForEngine(model string) ([]byte, error) {
	raw := make(map[string]json.RawMessage, len(r.raw)+2)
	for key, value := range r.raw {
		raw[key] = value
	}
	raw["model"], _ = json.Marshal(model)
	raw["stream"] = json.RawMessage("true")
	raw["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	return json.Marshal(raw)
}

// Content returns the roles and contents of the messages as input for a digest, without
// the last message if prefix is true.
func (r *Request) Content(prefix bool) []byte {
	messages := r.Messages
	if prefix {
		messages = messages[:len(messages)-1]
	}
	var text bytes.Buffer
	for _, message := range messages {
		text.WriteString(message.Role)
		text.WriteByte(0)
		text.Write(message.Content)
		text.WriteByte(0)
	}
	return text.Bytes()
}

// Usage holds the token counts of a completion.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Delta is the text that a chunk adds to a completion.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// ChunkChoice is the only choice of a chunk.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Chunk is one event of a streamed completion.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
	// SessionToken is set only in the chunk with the finish reason.
	SessionToken string `json:"session_token,omitempty"`
}

// CompletionMessage is the message of a non-streamed completion.
type CompletionMessage struct {
	Role    string  `json:"role"`
	Content string  `json:"content"`
	Refusal *string `json:"refusal"`
}

// Choice is the only choice of a non-streamed completion.
type Choice struct {
	Index        int               `json:"index"`
	Message      CompletionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
	Logprobs     json.RawMessage   `json:"logprobs"`
}

// Completion is a non-streamed response.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Model is one entry of the list of models.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the response to a request for the list of models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}
