package engine

import (
	"context"
	"errors"
	"sync"

	"github.com/cespare/xxhash/v2"

	"foxtailbridge/link/chat"
	"foxtailbridge/link/endpoint"
	"foxtailbridge/policy/fault"
	"foxtailbridge/policy/gate"
)

// direct is a client without a network that keeps the rules of endpoint.New:
// after a restart it reads the report before it sends.
type direct struct {
	engine  *Engine
	observe func(*endpoint.Load)

	mu   sync.Mutex
	boot gate.BootID
}

// Client returns a client that calls the engine directly; observe takes the
// report of each new connection.
func (e *Engine) Client(observe func(*endpoint.Load)) *endpoint.Endpoint {
	d := &direct{engine: e, observe: observe}
	return &endpoint.Endpoint{
		Load: func(context.Context) (*endpoint.Load, error) { return e.Load(), nil },
		SendOrder: func(_ context.Context, order *endpoint.Order) error {
			if !e.ApplyOrder(order) {
				return fault.New("order", endpoint.KindRefused, "fencing number is old")
			}
			return nil
		},
		Stream: d.stream,
	}
}

func (d *direct) stream(ctx context.Context, attempt *endpoint.Attempt, request *endpoint.StreamRequest, emit func(string) error) (*endpoint.StreamResult, error) {
	if err := d.connect(attempt); err != nil {
		return nil, err
	}
	j, err := parseJob(attempt, request)
	if err != nil {
		return nil, fault.New("stream", endpoint.KindFailed, "%w", err)
	}
	s, err := d.engine.enter(j)
	if err != nil {
		return nil, fault.New("stream", endpoint.KindRefused, "%w", err)
	}
	if s.cross {
		d.engine.leave(j, s, false)
		return nil, fault.New("stream", endpoint.KindMismatch, "answer of another attempt")
	}
	end, err := d.engine.run(ctx, j, s, emit)
	switch {
	case err == nil:
		return end, nil
	case errors.Is(err, errTruncate):
		return nil, fault.New("stream", endpoint.KindIncomplete, "%w", err)
	case errors.Is(err, errEndless):
		return nil, fault.New("stream", endpoint.KindFailed, "%w", err)
	case errors.Is(err, errOverrun):
		return nil, fault.New("stream", endpoint.KindOverrun, "%w", err)
	case ctx.Err() != nil:
		return nil, fault.New("stream", endpoint.KindCanceled, "%w", err)
	}
	return nil, fault.New("stream", endpoint.KindBroken, "%w", err)
}

func (d *direct) connect(attempt *endpoint.Attempt) error {
	load := d.engine.Load()
	d.mu.Lock()
	fresh := d.boot != load.Boot
	d.boot = load.Boot
	d.mu.Unlock()
	if !fresh {
		return nil
	}
	d.observe(load)
	if load.Phase != endpoint.PhaseWarm && !attempt.AllowCold {
		d.mu.Lock()
		d.boot = ""
		d.mu.Unlock()
		return fault.New("dial", endpoint.KindNotSent, "endpoint is %s", load.Phase)
	}
	return nil
}

func parseJob(attempt *endpoint.Attempt, request *endpoint.StreamRequest) (*job, error) {
	parsed, err := chat.ParseRequest(request.Body)
	if err != nil {
		return nil, err
	}
	return &job{
		attempt:  *attempt,
		text:     string(parsed.Content(false)),
		prefix:   xxhash.Sum64(parsed.Content(true)),
		tokens:   min(parsed.MaxTokens, maxAnswerTokens),
		resumeAt: request.ResumeAt,
	}, nil
}

// maxAnswerTokens bounds the made-up answers.
const maxAnswerTokens = 4096
