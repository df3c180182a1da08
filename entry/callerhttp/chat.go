package callerhttp

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"

	"foxtailbridge/entry/router"
	"foxtailbridge/link/caller"
	"foxtailbridge/link/chat"
	"foxtailbridge/link/endpoint"
	"foxtailbridge/policy/fault"
	"foxtailbridge/policy/session"
	"foxtailbridge/policy/ticket"
)

func (s *Server) chat(w http.ResponseWriter, r *http.Request, workspace ticket.WorkspaceName) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	parsed, err := chat.ParseRequest(body)
	if err != nil {
		writeNotRun(w, http.StatusBadRequest, caller.CodeBadRequest, err.Error())
		return
	}
	pin, ok := s.sessionPin(w, r, workspace)
	if !ok {
		return
	}
	digest := router.DigestOf(workspace, parsed.Content(false))
	id, key, ok := requestID(w, r, workspace, string(digest))
	if !ok {
		return
	}
	out := &chatResponseWriter{
		w:            w,
		controller:   http.NewResponseController(w),
		id:           "chatcmpl-" + uuid.NewString(),
		created:      s.clock.Wall().Time().Unix(),
		includeUsage: parsed.IncludeUsage,
	}
	request := &router.ChatRequest{
		ID:          id,
		GeneratedID: key == "",
		Workspace:   workspace,
		Class:       ticket.Class(r.Header.Get(caller.HeaderClass)),
		Pin:         pin,
		Body:        parsed,
		OnStart:     out.startStream,
		OnText:      out.sendText,
	}
	w.Header().Set(caller.HeaderRequestID, string(id))
	result, problem := s.router.Chat(r.Context(), request)
	switch {
	case problem != nil:
		out.writeProblem(problem)
	case parsed.Stream:
		out.finishStream(result)
	default:
		out.writeCompletion(result)
	}
}

// sessionPin verifies the session token and returns its pin, or nil without a token.
// If the token is invalid, it writes a problem response and returns false.
func (s *Server) sessionPin(w http.ResponseWriter, r *http.Request, workspace ticket.WorkspaceName) (*session.Pin, bool) {
	token := r.Header.Get(caller.HeaderSession)
	if token == "" {
		return nil, true
	}
	pin, err := s.signer.Verify(token, workspace)
	if err != nil {
		writeNotRun(w, http.StatusBadRequest, caller.CodeBadSession, string(fault.KindOf[session.Kind](err))+": "+err.Error())
		return nil, false
	}
	return &pin, true
}

// chatResponseWriter writes one chat response, as an event stream or a single JSON object.
type chatResponseWriter struct {
	w            http.ResponseWriter
	controller   *http.ResponseController
	id           string
	created      int64
	includeUsage bool
	version      ticket.VersionRef
	started      bool
}

// startStream writes the headers and the first event; nothing may be written before.
func (o *chatResponseWriter) startStream(version ticket.VersionRef) {
	o.version = version
	o.started = true
	header := o.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set(caller.HeaderVersion, string(version))
	header.Set("Trailer", caller.HeaderSession)
	o.w.WriteHeader(http.StatusOK)
	// No flush is needed: the first text follows immediately and is flushed with this event.
	_ = o.writeEvent(o.marshalChunk(&chat.Chunk{Choices: []chat.ChunkChoice{{Delta: chat.Delta{Role: chat.RoleAssistant}}}}))
}

func (o *chatResponseWriter) sendText(text string) error {
	return o.sendChunk(&chat.Chunk{Choices: []chat.ChunkChoice{{Delta: chat.Delta{Content: text}}}})
}

func (o *chatResponseWriter) sendChunk(chunk *chat.Chunk) error {
	return o.sendEvent(o.marshalChunk(chunk))
}

func (o *chatResponseWriter) marshalChunk(chunk *chat.Chunk) []byte {
	chunk.ID = o.id
	chunk.Object = chat.ObjectChunk
	chunk.Created = o.created
	chunk.Model = string(o.version)
	data, err := json.Marshal(chunk)
	if err != nil {
		panic("callerhttp: marshaling a chunk failed: " + err.Error())
	}
	return data
}

// eventWriteTimeout limits how long writing one event to the caller may take: three times
// as long as an engine may take to generate one. Without it, an unreachable caller would
// occupy its engine until the kernel stops retransmitting, about 15 minutes.
const eventWriteTimeout = 3 * endpoint.DefaultIdleTimeout

// sendEvent writes and flushes one event.
func (o *chatResponseWriter) sendEvent(data []byte) error {
	_ = o.controller.SetWriteDeadline(time.Now().Add(eventWriteTimeout.Duration())) // If the caller is gone, the write fails.
	if err := o.writeEvent(data); err != nil {
		return err
	}
	return o.controller.Flush()
}

func (o *chatResponseWriter) writeEvent(data []byte) error {
	_, err := fmt.Fprintf(o.w, "data: %s\n\n", data)
	return err
}

func usageOf(answer *router.ChatAnswer) chat.Usage {
	return chat.Usage{
		PromptTokens:     answer.PromptTokens,
		CompletionTokens: answer.Tokens,
		TotalTokens:      answer.PromptTokens + answer.Tokens,
	}
}

// finishStream writes the final chunks and the end marker of a complete response. The
// session token goes into the last chunk and the trailer, because the headers have
// already been sent.
func (o *chatResponseWriter) finishStream(answer *router.ChatAnswer) {
	if !o.started {
		o.startStream(answer.Version)
	}
	finishReason := chat.FinishStop
	_ = o.sendChunk(&chat.Chunk{Choices: []chat.ChunkChoice{{FinishReason: &finishReason}}, SessionToken: answer.Session})
	if o.includeUsage {
		usage := usageOf(answer)
		_ = o.sendChunk(&chat.Chunk{Choices: []chat.ChunkChoice{}, Usage: &usage})
	}
	o.w.Header().Set(caller.HeaderSession, answer.Session)
	_ = o.sendEvent([]byte(chat.Done))
}

func (o *chatResponseWriter) writeCompletion(answer *router.ChatAnswer) {
	header := o.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(caller.HeaderVersion, string(answer.Version))
	header.Set(caller.HeaderSession, answer.Session)
	_ = json.NewEncoder(o.w).Encode(chat.Completion{
		ID:      o.id,
		Object:  chat.ObjectCompletion,
		Created: o.created,
		Model:   string(answer.Version),
		Choices: []chat.Choice{{
			Message:      chat.CompletionMessage{Role: chat.RoleAssistant, Content: answer.Text},
			FinishReason: chat.FinishStop,
		}},
		Usage: usageOf(answer),
	})
}

// writeProblem writes a problem response. If the stream has started, it writes an error
// event instead, and the stream ends without the end marker.
func (o *chatResponseWriter) writeProblem(problem *caller.Problem) {
	if !o.started {
		caller.WriteProblem(o.w, problem)
		return
	}
	data, err := json.Marshal(problem)
	if err != nil {
		return
	}
	_ = o.sendEvent(data)
}
