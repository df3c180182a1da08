package endpoint

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"github.com/tmaxmax/go-sse"

	"foxtailbridge/link/chat"
	"foxtailbridge/policy/fault"
	"foxtailbridge/policy/gate"
)

// StreamRequest is a chat completion for an engine.
type StreamRequest struct {
	// Body is the JSON body, which requests a stream with usage.
	Body []byte
	// ResumeAt is the number of tokens that earlier attempts received, or 0 for a new stream.
	ResumeAt int
	// MaxTokens is the requested token limit, or 0 if the caller set none.
	MaxTokens int
}

// StreamResult is the usage of a complete response.
type StreamResult struct {
	// PromptTokens and CompletionTokens cover the complete response, including the part
	// before a resume.
	PromptTokens     int
	CompletionTokens int
}

var errIdleTimeout = errors.New("no text within the idle timeout")

// stream is the state of one streamed attempt.
type stream struct {
	client    *http.Client
	base      *sling.Sling
	options   *options
	attempt   *Attempt
	request   *StreamRequest
	body      *progressReader
	idleTimer *time.Timer
	tokens    int
	// textBytes is the length of the text received so far.
	textBytes int
	result    *StreamResult
}

func (s *stream) run(parent context.Context, emit func(string) error) (*StreamResult, error) {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	s.idleTimer = time.AfterFunc(s.options.idleTimeout.Duration(), func() { cancel(errIdleTimeout) })
	defer s.idleTimer.Stop()
	response, err := s.send(ctx)
	if err != nil {
		if context.Cause(ctx) == errIdleTimeout {
			return nil, fault.New("stream", KindIncomplete, "%w", errIdleTimeout)
		}
		return nil, err
	}
	defer response.Body.Close()
	s.options.observeBoot(gate.BootID(response.Header.Get(HeaderBoot)))
	if err := s.checkResponse(response); err != nil {
		return nil, err
	}
	s.body = &progressReader{reader: response.Body, remaining: maxTextGapBytes}
	for event, err := range sse.Read(s.body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return nil, s.readError(parent, ctx, err)
		}
		if s.request.ResumeAt+s.tokens == 0 { // The caller's deadline limits the wait for the first text.
			s.idleTimer.Reset(s.options.idleTimeout.Duration())
		}
		done, err := s.handleEvent(event.Data, emit)
		if err != nil {
			return nil, err
		}
		if done {
			s.idleTimer.Reset(drainTimeout.Duration())
			return s.finish(response.Body)
		}
	}
	return nil, fault.New("stream", KindIncomplete, "stream ended after %d tokens without the final marker", s.tokens)
}

func (s *stream) send(ctx context.Context) (*http.Response, error) {
	call := s.attempt.setHeaders(s.base.New().Post("v1/chat/completions")).
		Set("Content-Type", "application/json").
		Body(newBody(s.request.Body))
	if s.request.ResumeAt > 0 {
		call = call.Set(HeaderResumeOffset, strconv.Itoa(s.request.ResumeAt))
	}
	request, err := call.Request()
	if err != nil {
		return nil, fault.New("stream", KindNotSent, "%w", err)
	}
	request.ContentLength = int64(len(s.request.Body))
	if s.attempt.AllowCold {
		ctx = allowCold(ctx)
	}
	response, err := s.client.Do(request.WithContext(ctx))
	if err != nil {
		return nil, sendError(ctx, "stream", err)
	}
	return response, nil
}

func (s *stream) checkResponse(response *http.Response) error {
	if err := s.attempt.checkEcho(response); err != nil {
		return err
	}
	return checkStatus("stream", response)
}

// checkStatus returns an error for a failure status. Only 429 and 503 mean that the
// endpoint did not run the request.
func checkStatus(op string, response *http.Response) error {
	switch {
	case response.StatusCode < http.StatusBadRequest:
		return nil
	case response.StatusCode == http.StatusTooManyRequests, response.StatusCode == http.StatusServiceUnavailable:
		return fault.New(op, KindRefused, "status %d", response.StatusCode)
	}
	return fault.New(op, KindFailed, "status %d", response.StatusCode)
}

func (s *stream) readError(parent, ctx context.Context, err error) error {
	switch {
	case parent.Err() != nil:
		return fault.New("stream", KindCanceled, "%w", context.Cause(parent))
	case context.Cause(ctx) == errIdleTimeout:
		return fault.New("stream", KindBroken, "%w", errIdleTimeout)
	case errors.Is(err, errNoProgress), errors.Is(err, bufio.ErrTooLong):
		return fault.New("stream", KindFailed, "%w", err)
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return fault.New("stream", KindIncomplete, "%w", err)
	}
	return fault.New("stream", KindBroken, "%w", err)
}

// handleEvent processes the data of one event and reports whether it was the final marker.
func (s *stream) handleEvent(data string, emit func(string) error) (bool, error) {
	if data == chat.Done {
		return true, nil
	}
	var chunk chat.Chunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return false, fault.New("stream", KindIncomplete, "bad event: %w", err)
	}
	if chunk.Usage != nil {
		s.result = &StreamResult{PromptTokens: chunk.Usage.PromptTokens, CompletionTokens: chunk.Usage.CompletionTokens}
	}
	for _, choice := range chunk.Choices {
		if choice.Delta.Content == "" {
			continue
		}
		s.tokens++
		s.textBytes += len(choice.Delta.Content)
		if s.exceedsLimit() {
			return false, fault.New("stream", KindOverrun, "response exceeds the requested token limit or %d bytes", maxTextBytes)
		}
		s.body.reset()
		s.idleTimer.Stop() // Time spent in emit doesn't count as idle time of the engine.
		if err := emit(choice.Delta.Content); err != nil {
			return false, fault.New("stream", KindCanceled, "emit: %w", err)
		}
		s.idleTimer.Reset(s.options.idleTimeout.Duration())
	}
	return false, nil
}

// exceedsLimit reports whether the response has more tokens than requested or more than
// maxTextBytes of text. The byte limit also covers requests without a token limit, whose
// text would otherwise grow without bound in memory.
func (s *stream) exceedsLimit() bool {
	if s.request.MaxTokens > 0 && s.request.ResumeAt+s.tokens > s.request.MaxTokens {
		return true
	}
	return s.textBytes > maxTextBytes
}

// finish checks the token count and reads the body to its end, so that the connection
// can be reused.
func (s *stream) finish(body io.Reader) (*StreamResult, error) {
	if s.result == nil {
		return nil, fault.New("stream", KindIncomplete, "no usage before the final marker")
	}
	if got := s.request.ResumeAt + s.tokens; got != s.result.CompletionTokens {
		return nil, fault.New("stream", KindIncomplete, "got %d of %d tokens", got, s.result.CompletionTokens)
	}
	_, _ = io.CopyN(io.Discard, body, drainBytes) // If more is left, the connection is closed instead of reused.
	return s.result, nil
}
