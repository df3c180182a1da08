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
	// Body is the JSON body, which asks for a stream with usage.
	Body []byte
	// ResumeAt is the number of tokens that were received before, 0 to begin.
	ResumeAt int
	// MaxTokens is the largest number of tokens that were asked for, 0 if none was named.
	MaxTokens int
}

// StreamResult is the end of a whole answer.
type StreamResult struct {
	// PromptTokens and CompletionTokens count the whole answer, also after a resume.
	PromptTokens     int
	CompletionTokens int
}

var errIdle = errors.New("no text within the idle timeout")

// stream carries one streamed attempt.
type stream struct {
	client  *http.Client
	base    *sling.Sling
	options *options
	attempt *Attempt
	request *StreamRequest
	body    *progress
	idle    *time.Timer
	chunks  int
	// text is the length of the answer so far in bytes.
	text int
	end  *StreamResult
}

func (s *stream) run(parent context.Context, emit func(string) error) (*StreamResult, error) {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	s.idle = time.AfterFunc(s.options.idle.Duration(), func() { cancel(errIdle) })
	defer s.idle.Stop()
	response, err := s.send(ctx)
	if err != nil {
		if context.Cause(ctx) == errIdle {
			return nil, fault.New("stream", KindIncomplete, "%w", errIdle)
		}
		return nil, err
	}
	defer response.Body.Close()
	s.options.seeBoot(gate.BootID(response.Header.Get(HeaderBoot)))
	if err := s.checkAnswer(response); err != nil {
		return nil, err
	}
	s.body = &progress{reader: response.Body, left: maxSilentBytes}
	for event, err := range sse.Read(s.body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return nil, s.readError(parent, ctx, err)
		}
		if s.request.ResumeAt+s.chunks == 0 { // The caller's deadline bounds the wait for the first text.
			s.idle.Reset(s.options.idle.Duration())
		}
		done, err := s.take(event.Data, emit)
		if err != nil {
			return nil, err
		}
		if done {
			s.idle.Reset(drainWait.Duration())
			return s.finish(response.Body)
		}
	}
	return nil, fault.New("stream", KindIncomplete, "stream ended after %d tokens without its final marker", s.chunks)
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

func (s *stream) checkAnswer(response *http.Response) error {
	if err := s.attempt.checkEcho(response); err != nil {
		return err
	}
	return checkStatus("stream", response)
}

// checkStatus maps the status of an endpoint's answer. Only 429 and 503 say
// that the endpoint did not run the request.
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
	case context.Cause(ctx) == errIdle:
		return fault.New("stream", KindBroken, "%w", errIdle)
	case errors.Is(err, errEndless), errors.Is(err, bufio.ErrTooLong):
		return fault.New("stream", KindFailed, "%w", err)
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return fault.New("stream", KindIncomplete, "%w", err)
	}
	return fault.New("stream", KindBroken, "%w", err)
}

// take handles the data of one event and reports whether it was the final marker.
func (s *stream) take(data string, emit func(string) error) (bool, error) {
	if data == chat.Done {
		return true, nil
	}
	var chunk chat.Chunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return false, fault.New("stream", KindIncomplete, "bad event: %w", err)
	}
	if chunk.Usage != nil {
		s.end = &StreamResult{PromptTokens: chunk.Usage.PromptTokens, CompletionTokens: chunk.Usage.CompletionTokens}
	}
	for _, choice := range chunk.Choices {
		if choice.Delta.Content == "" {
			continue
		}
		s.chunks++
		s.text += len(choice.Delta.Content)
		if s.overruns() {
			return false, fault.New("stream", KindOverrun, "more text than was asked for, or than %d bytes", maxText)
		}
		s.body.made()
		s.idle.Stop() // The time that the caller takes is not the engine's silence.
		if err := emit(choice.Delta.Content); err != nil {
			return false, fault.New("stream", KindCanceled, "emit: %w", err)
		}
		s.idle.Reset(s.options.idle.Duration())
	}
	return false, nil
}

// overruns reports whether the answer is longer than was asked for. Without a number
// of tokens its text is bounded, which is kept to the end.
func (s *stream) overruns() bool {
	if s.request.MaxTokens > 0 && s.request.ResumeAt+s.chunks > s.request.MaxTokens {
		return true
	}
	return s.text > maxText
}

// finish checks the counts and reads to the end, so that the connection can be reused.
func (s *stream) finish(body io.Reader) (*StreamResult, error) {
	if s.end == nil {
		return nil, fault.New("stream", KindIncomplete, "no usage before the final marker")
	}
	if got := s.request.ResumeAt + s.chunks; got != s.end.CompletionTokens {
		return nil, fault.New("stream", KindIncomplete, "got %d of %d tokens", got, s.end.CompletionTokens)
	}
	_, _ = io.CopyN(io.Discard, body, drainBytes) // What is left closes the connection.
	return s.end, nil
}
