package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"foxtailbridge/link/chat"
	"foxtailbridge/link/endpoint"
	"foxtailbridge/policy/ticket"
	"foxtailbridge/standin/web"
)

const maxBodyBytes = 8 << 20

// Handler serves the engine over HTTP.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.handleChat)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		web.WriteJSON(w, http.StatusOK, e.Load())
	})
	mux.HandleFunc("GET /events", func(w http.ResponseWriter, _ *http.Request) {
		web.WriteJSON(w, http.StatusOK, e.Events())
	})
	mux.HandleFunc("POST /orders", func(w http.ResponseWriter, r *http.Request) {
		var order endpoint.Order
		if !web.ReadJSON(w, r, &order) {
			return
		}
		if !e.ApplyOrder(&order) {
			http.Error(w, "fencing number is old", http.StatusConflict)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /crash", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
		go e.Crash()
	})
	mux.HandleFunc("POST /cool", func(w http.ResponseWriter, _ *http.Request) {
		e.MarkCold()
		w.WriteHeader(http.StatusNoContent)
	})
	web.RegisterFaultsHandler(mux, e.SetFaults)
	return mux
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	attempt := readAttempt(r)
	resumeAt, _ := strconv.Atoi(r.Header.Get(endpoint.HeaderResumeOffset))
	j, err := parseJob(attempt, &endpoint.StreamRequest{Body: body, ResumeAt: resumeAt})
	w.Header().Set(endpoint.HeaderAttempt, string(attempt.ID))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s, err := e.admit(j, anyBoot)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if s.mismatch {
		w.Header().Set(endpoint.HeaderAttempt, "crossed-"+string(attempt.ID))
	}
	w.Header().Set(endpoint.HeaderBoot, string(e.Load().Boot))
	w.Header().Set("Content-Type", "text/event-stream")
	out := eventWriter{w: w, flush: http.NewResponseController(w).Flush, model: string(e.config.Version), id: string(attempt.ID)}
	end, err := e.run(r.Context(), j, s, out.writeText)
	switch {
	case errors.Is(err, errEndless):
		out.flood(func() error { return out.writeRaw(": busy\n\n") })
	case errors.Is(err, errOverrun):
		out.flood(func() error { return out.writeText(words[0] + " ") })
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	out.finish(end)
}

func readAttempt(r *http.Request) *endpoint.Attempt {
	fence, _ := strconv.ParseInt(r.Header.Get(endpoint.HeaderFence), 10, 64)
	return &endpoint.Attempt{
		ID:        endpoint.AttemptID(r.Header.Get(endpoint.HeaderAttempt)),
		Request:   r.Header.Get(endpoint.HeaderRequest),
		Workspace: ticket.WorkspaceName(r.Header.Get(endpoint.HeaderWorkspace)),
		Priority:  ticket.Priority(r.Header.Get(endpoint.HeaderPriority)),
		Fence:     ticket.Offset(fence),
	}
}

// eventWriter writes the events of one response.
type eventWriter struct {
	w     io.Writer
	flush func() error
	model string
	id    string
}

func (o *eventWriter) writeChunk(chunk *chat.Chunk) error {
	chunk.ID = o.id
	chunk.Object = chat.ObjectChunk
	chunk.Created = time.Now().Unix()
	chunk.Model = o.model
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	return o.writeRaw(fmt.Sprintf("data: %s\n\n", data))
}

func (o *eventWriter) writeRaw(text string) error {
	if _, err := io.WriteString(o.w, text); err != nil {
		return err
	}
	return o.flush()
}

// flood writes until the client closes the connection.
func (o *eventWriter) flood(write func() error) {
	for write() == nil {
	}
}

func (o *eventWriter) writeText(text string) error {
	return o.writeChunk(&chat.Chunk{Choices: []chat.ChunkChoice{{Delta: chat.Delta{Content: text}}}})
}

func (o *eventWriter) finish(end *endpoint.StreamResult) {
	stop := chat.FinishStop
	_ = o.writeChunk(&chat.Chunk{Choices: []chat.ChunkChoice{{FinishReason: &stop}}})
	_ = o.writeChunk(&chat.Chunk{Choices: []chat.ChunkChoice{}, Usage: &chat.Usage{
		PromptTokens:     end.PromptTokens,
		CompletionTokens: end.CompletionTokens,
		TotalTokens:      end.PromptTokens + end.CompletionTokens,
	}})
	fmt.Fprintf(o.w, "data: %s\n\n", chat.Done)
	_ = o.flush()
}
