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

// Objects and finish reasons of the protocol.
const (
	ObjectCompletion = "chat.completion"
	ObjectChunk      = "chat.completion.chunk"
	FinishStop       = "stop"
	RoleAssistant    = "assistant"
)

// Message is one turn of a conversation.
type Message struct {
	Role string `json:"role"`
	// Content is text, or a list of parts that is passed on as it is.
	Content json.RawMessage `json:"content"`
}

// Request is a chat completion request; fields the system does not read are kept.
type Request struct {
	Model     string
	Messages  []Message
	Stream    bool
	MaxTokens int
	// HasMaxTokens is true if the request names the number of tokens itself.
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

// DefaultMaxTokens bounds an answer whose request names no bound.
const DefaultMaxTokens = 256

// maxTokensLimit bounds what a request may ask for.
const maxTokensLimit = 1 << 20

// ParseRequest reads a request body and reports an Error if it is not usable.
func ParseRequest(body []byte) (*Request, error) {
	if !utf8.Valid(body) {
		return nil, fault.New("parse-request", KindNotUTF8, "body is not valid UTF-8")
	}
	var fields requestFields
	var raw map[string]json.RawMessage
	if err := decodeOne(body, &fields); err != nil {
		return nil, fault.New("parse-request", KindNotJSON, "%w", err)
	}
	if err := decodeOne(body, &raw); err != nil {
		return nil, fault.New("parse-request", KindNotJSON, "%w", err)
	}
	r := &Request{
		Model:     fields.Model,
		Messages:  fields.Messages,
		Stream:    fields.Stream,
		MaxTokens: DefaultMaxTokens,
		raw:       raw,
	}
	for _, bound := range []*int{fields.MaxTokens, fields.MaxCompletionTokens} {
		if bound != nil {
			r.MaxTokens, r.HasMaxTokens = *bound, true
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

// decodeOne decodes exactly one JSON value.
func decodeOne(body []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the JSON value")
	}
	return nil
}

// ForEngine returns the body to send to an engine: the caller's, always
// streamed with usage, for the named model.
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

// Content returns the text of the conversation for digests, without the last message if prefix is true.
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

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Delta is the new part of an answer in a chunk.
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

// Chunk is one event of a streamed answer.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
	// SessionToken is the session token, in the chunk with the finish reason.
	SessionToken string `json:"session_token,omitempty"`
}

// CompletionMessage is the message of a whole answer.
type CompletionMessage struct {
	Role    string  `json:"role"`
	Content string  `json:"content"`
	Refusal *string `json:"refusal"`
}

// Choice is the only choice of a whole answer.
type Choice struct {
	Index        int               `json:"index"`
	Message      CompletionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
	Logprobs     json.RawMessage   `json:"logprobs"`
}

// Completion is a whole answer.
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

// ModelList is the answer to a request for the models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}
