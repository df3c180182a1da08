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

// directClient calls the engine in process and follows the same rule as endpoint.New: a request
// needs a connection of its own, and each new connection reads the load report first.
type directClient struct {
	engine  *Engine
	observe func(*endpoint.Load)

	mu sync.Mutex
	// idle is the number of idle connections to the process with the given boot ID.
	idle int
	boot gate.BootID
}

// Client returns a client that calls the engine in process. It calls observe with the load report
// that it reads over each new connection.
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
	boot, err := d.connect(attempt)
	if err != nil {
		return nil, err
	}
	j, err := parseJob(attempt, request)
	if err != nil {
		return nil, fault.New("stream", endpoint.KindFailed, "%w", err)
	}
	s, err := d.engine.admit(j, boot)
	switch {
	case errors.Is(err, errCrashed):
		return nil, fault.New("stream", endpoint.KindBroken, "%w", err)
	case err != nil:
		return nil, fault.New("stream", endpoint.KindRefused, "%w", err)
	}
	if s.mismatch {
		d.engine.finish(j, s, false)
		return nil, fault.New("stream", endpoint.KindMismatch, "response of another attempt")
	}
	end, err := d.engine.run(ctx, j, s, emit)
	switch {
	case err == nil:
		d.release(boot)
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

// connect takes an idle connection or makes a new one, and returns the boot ID of the process at
// its other end.
func (d *directClient) connect(attempt *endpoint.Attempt) (gate.BootID, error) {
	load := d.engine.Load()
	if d.takeIdle(load.Boot) {
		return load.Boot, nil
	}
	d.observe(load)
	if load.Phase != endpoint.PhaseWarm && !attempt.AllowCold {
		return "", fault.New("dial", endpoint.KindNotSent, "endpoint is %s", load.Phase)
	}
	return load.Boot, nil
}

// takeIdle takes an idle connection to the process with the boot ID, if there is one. A restart has
// closed the others.
func (d *directClient) takeIdle(boot gate.BootID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.boot != boot {
		d.idle, d.boot = 0, boot
	}
	if d.idle == 0 {
		return false
	}
	d.idle--
	return true
}

// release makes a connection idle.
func (d *directClient) release(boot gate.BootID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.boot == boot {
		d.idle++
	}
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
