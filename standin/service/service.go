package service

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"

	"github.com/google/uuid"

	"foxtailbridge/link/endpoint"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
	"foxtailbridge/policy/gate"
	"foxtailbridge/standin/web"
)

// Faults are the failures that the service brings about.
type Faults struct {
	// Delay is the time that a call takes before its effect.
	Delay clock.Millis `json:"delay-ms"`
	// LoseResponses is how many calls take effect and are not answered.
	LoseResponses int `json:"lose-answers"`
	// RefuseNext is how many calls are refused without effect.
	RefuseNext int `json:"refuse"`
	// MismatchNext answers that many calls as if for another attempt.
	MismatchNext int  `json:"cross"`
	Draining     bool `json:"leaving"`
}

// Run is one call that took effect.
type Run struct {
	Request string             `json:"request"`
	Attempt endpoint.AttemptID `json:"attempt"`
	Call    string             `json:"call"`
	Body    string             `json:"body"`
}

// Service notes every call that takes effect.
type Service struct {
	clock *clock.Clock
	boot  gate.BootID

	mu       sync.Mutex
	faults   Faults
	runs     []Run
	inFlight int
}

// New returns a Service.
func New(c *clock.Clock) *Service {
	return &Service{clock: c, boot: gate.BootID(uuid.NewString())}
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Runs returns the calls that took effect.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

const slots = 64

// Load returns the service's report.
func (s *Service) Load() *endpoint.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	phase := endpoint.PhaseWarm
	if s.faults.Draining {
		phase = endpoint.PhaseDraining
	}
	return &endpoint.Load{Boot: s.boot, Phase: phase, InFlight: s.inFlight, Slots: slots, ColdLimit: slots}
}

// Client returns a client that calls the service directly.
func (s *Service) Client() *endpoint.Endpoint {
	return &endpoint.Endpoint{
		Load: func(context.Context) (*endpoint.Load, error) { return s.Load(), nil },
		Call: s.call,
	}
}

type receipt struct {
	Request string `json:"request"`
	Call    string `json:"call"`
	Done    bool   `json:"done"`
}

func (s *Service) call(ctx context.Context, attempt *endpoint.Attempt, request *endpoint.CallRequest) (*endpoint.CallResponse, error) {
	faults, refused := s.draw()
	if refused {
		return nil, fault.New("call", endpoint.KindRefused, "service refuses")
	}
	if err := s.effect(ctx, faults.Delay, Run{Request: attempt.Request, Attempt: attempt.ID, Call: request.Call, Body: string(request.Body)}); err != nil {
		return nil, fault.New("call", endpoint.KindCanceled, "%w", err)
	}
	switch {
	case faults.LoseResponses > 0:
		return nil, fault.New("call", endpoint.KindBroken, "answer lost")
	case faults.MismatchNext > 0:
		return nil, fault.New("call", endpoint.KindMismatch, "answer of another attempt")
	}
	body, err := json.Marshal(receipt{Request: attempt.Request, Call: request.Call, Done: true})
	if err != nil {
		return nil, fault.New("call", endpoint.KindFailed, "%w", err)
	}
	return &endpoint.CallResponse{Status: http.StatusOK, ContentType: "application/json", Body: body}, nil
}

// effect waits and notes the run, also if the caller goes away meanwhile.
func (s *Service) effect(ctx context.Context, delay clock.Millis, run Run) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.clock.Sleep(context.WithoutCancel(ctx), delay)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.runs = append(s.runs, run)
		s.inFlight--
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// draw counts a call in and uses up the faults that it meets.
func (s *Service) draw() (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	met := s.faults
	switch {
	case s.faults.RefuseNext > 0:
		s.faults.RefuseNext--
		return met, true
	case s.faults.LoseResponses > 0:
		s.faults.LoseResponses--
	case s.faults.MismatchNext > 0:
		s.faults.MismatchNext--
	}
	s.inFlight++
	return met, false
}

const maxBodyBytes = 1 << 20

// Handler serves the service over HTTP.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /calls/{call}", s.handleCall)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		web.WriteJSON(w, http.StatusOK, s.Load())
	})
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		web.WriteJSON(w, http.StatusOK, s.Runs())
	})
	web.RegisterFaultsHandler(mux, s.SetFaults)
	return mux
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	attempt := &endpoint.Attempt{
		ID:      endpoint.AttemptID(r.Header.Get(endpoint.HeaderAttempt)),
		Request: r.Header.Get(endpoint.HeaderRequest),
	}
	request := &endpoint.CallRequest{Call: r.PathValue("call"), Body: body}
	answer, err := s.call(r.Context(), attempt, request)
	w.Header().Set(endpoint.HeaderAttempt, string(attempt.ID))
	w.Header().Set(endpoint.HeaderBoot, string(s.boot))
	switch fault.KindOf[endpoint.Kind](err) {
	case "":
	case endpoint.KindRefused:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	case endpoint.KindMismatch:
		w.Header().Set(endpoint.HeaderAttempt, "crossed-"+string(attempt.ID))
		web.WriteJSON(w, http.StatusOK, receipt{Request: "another", Call: request.Call, Done: true})
		return
	default:
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", answer.ContentType)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
