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

// directClient calls the engine in process and follows the same rule as endpoint.New:
// after a restart of the engine it reads the load report before it sends a request.
type directClient struct {
	engine  *Engine
	observe func(*endpoint.Load)

	mu   sync.Mutex
	boot gate.BootID
}

// Client returns a client that calls the engine in process. It calls observe with the
// load report that it reads when it first connects and after each restart.
func (e *Engine) Client(observe func(*endpoint.Load)) *endpoint.Endpoint {
	d := &directClient{engine: e, observe: observe}
	return &endpoint.Endpoint{
		Load: func(context.Context) (*endpoint.Load, error) { return e.Load(), nil },
		SendOrder: func(_ context.Context, order *endpoint.Order) error {
			if !e.ApplyOrder(order) {
				return fault.New("order", endpoint.KindRefused, "fencing token is stale")
			}
			return nil
		},
		Stream: d.stream,
	}
}

func (d *directClient) stream(ctx context.Context, attempt *endpoint.Attempt, request *endpoint.StreamRequest, emit func(string) error) (*endpoint.StreamResult, error) {
	if err := d.connect(attempt); err != nil {
		return nil, err
	}
	j, err := parseJob(attempt, request)
	if err != nil {
		return nil, fault.New("stream", endpoint.KindFailed, "%w", err)
	}
	s, err := d.engine.admit(j)
	if err != nil {
		return nil, fault.New("stream", endpoint.KindRefused, "%w", err)
	}
	if s.mismatch {
		d.engine.finish(j, s, false)
		return nil, fault.New("stream", endpoint.KindMismatch, "response of another attempt")
	}
	end, err := d.engine.run(ctx, j, s, emit)
	switch {
	case err == nil:
		return end, nil
	case errors.Is(err, errTruncated):
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

func (d *directClient) connect(attempt *endpoint.Attempt) error {
	load := d.engine.Load()
	d.mu.Lock()
	rebooted := d.boot != load.Boot
	d.boot = load.Boot
	d.mu.Unlock()
	if !rebooted {
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

// maxAnswerTokens limits the length of a generated answer.
const maxAnswerTokens = 4096
