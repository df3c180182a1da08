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
	pin, ok := s.pin(w, r, workspace)
	if !ok {
		return
	}
	digest := router.DigestOf(workspace, parsed.Content(false))
	id, key, ok := identify(w, r, workspace, string(digest))
	if !ok {
		return
	}
	out := &answerWriter{
		w:       w,
		control: http.NewResponseController(w),
		id:      "chatcmpl-" + uuid.NewString(),
		created: s.clock.Wall().Time().Unix(),
		usage:   parsed.IncludeUsage,
	}
	request := &router.ChatRequest{
		ID:          id,
		GeneratedID: key == "",
		Workspace:   workspace,
		Class:       ticket.Class(r.Header.Get(caller.HeaderClass)),
		Pin:         pin,
		Body:        parsed,
		OnStart:     out.begin,
		OnText:      out.text,
	}
	w.Header().Set(caller.HeaderRequestID, string(id))
	answer, problem := s.router.Chat(r.Context(), request)
	switch {
	case problem != nil:
		out.problem(problem)
	case parsed.Stream:
		out.end(answer)
	default:
		out.whole(answer)
	}
}

// pin reads the session token, if there is one.
func (s *Server) pin(w http.ResponseWriter, r *http.Request, workspace ticket.WorkspaceName) (*session.Pin, bool) {
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

// answerWriter writes one chat answer, streamed or whole.
type answerWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	id      string
	created int64
	usage   bool
	version ticket.VersionRef
	begun   bool
}

// begin starts the stream; nothing was written before.
func (o *answerWriter) begin(version ticket.VersionRef) {
	o.version = version
	o.begun = true
	header := o.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set(caller.HeaderVersion, string(version))
	header.Set("Trailer", caller.HeaderSession)
	o.w.WriteHeader(http.StatusOK)
	// The first text follows at once and is flushed with this.
	_ = o.write(o.marshal(&chat.Chunk{Choices: []chat.ChunkChoice{{Delta: chat.Delta{Role: chat.RoleAssistant}}}}))
}

func (o *answerWriter) text(text string) error {
	return o.send(&chat.Chunk{Choices: []chat.ChunkChoice{{Delta: chat.Delta{Content: text}}}})
}

func (o *answerWriter) send(chunk *chat.Chunk) error {
	return o.data(o.marshal(chunk))
}

func (o *answerWriter) marshal(chunk *chat.Chunk) []byte {
	chunk.ID = o.id
	chunk.Object = chat.ObjectChunk
	chunk.Created = o.created
	chunk.Model = string(o.version)
	data, err := json.Marshal(chunk)
	if err != nil {
		panic("callerhttp: chunks always marshal: " + err.Error())
	}
	return data
}

// takeTimeout bounds the time that a caller takes for one event, three times what an
// engine may take to make one. A caller that is lost would hold its engine for as long
// as the kernel sends again, some 15 minutes.
const takeTimeout = 3 * endpoint.DefaultIdleTimeout

// data writes one event and flushes it.
func (o *answerWriter) data(data []byte) error {
	_ = o.control.SetWriteDeadline(time.Now().Add(takeTimeout.Duration())) // The write says if the caller is gone.
	if err := o.write(data); err != nil {
		return err
	}
	return o.control.Flush()
}

func (o *answerWriter) write(data []byte) error {
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

// end writes the final marker of a whole answer. The session token goes into
// the last chunk and the trailer, since the headers were sent long before.
func (o *answerWriter) end(answer *router.ChatAnswer) {
	if !o.begun {
		o.begin(answer.Version)
	}
	stop := chat.FinishStop
	_ = o.send(&chat.Chunk{Choices: []chat.ChunkChoice{{FinishReason: &stop}}, SessionToken: answer.Session})
	if o.usage {
		usage := usageOf(answer)
		_ = o.send(&chat.Chunk{Choices: []chat.ChunkChoice{}, Usage: &usage})
	}
	o.w.Header().Set(caller.HeaderSession, answer.Session)
	_ = o.data([]byte(chat.Done))
}

func (o *answerWriter) whole(answer *router.ChatAnswer) {
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

// problem answers with a problem, or as an error event within a stream, which
// then ends without its final marker.
func (o *answerWriter) problem(problem *caller.Problem) {
	if !o.begun {
		caller.WriteProblem(o.w, problem)
		return
	}
	data, err := json.Marshal(problem)
	if err != nil {
		return
	}
	_ = o.data(data)
}
