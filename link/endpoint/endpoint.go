package endpoint

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/dghubble/sling"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
	"foxtailbridge/policy/gate"
	"foxtailbridge/policy/ticket"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindNotSent means that no byte of the request left, so it did not run.
	KindNotSent Kind = "not-sent"
	// KindRefused means that the endpoint says that it did not run the request.
	KindRefused Kind = "refused"
	// KindBroken means that the connection ended after the request was sent.
	KindBroken Kind = "broken"
	// KindMismatch means that the answer belongs to another attempt.
	KindMismatch Kind = "mismatch"
	// KindIncomplete means that the stream ended without its final marker, or with wrong counts.
	KindIncomplete Kind = "incomplete"
	// KindCanceled means that the caller's context ended the attempt.
	KindCanceled Kind = "canceled"
	// KindFailed means that the endpoint ran the request and reports a failure, or
	// sends without end what is no answer.
	KindFailed Kind = "failed"
	// KindOverrun means that a stream held more than was asked for: what came of it
	// is no answer, so nothing may go on behind it.
	KindOverrun Kind = "overrun"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// AttemptID identifies one dispatch; the endpoint echoes it.
type AttemptID string

// Headers that go with an attempt.
const (
	HeaderAttempt      = "Attempt-Id"
	HeaderRequest      = "Request-Id"
	HeaderPriority     = "Priority-Class"
	HeaderBoot         = "Boot-Id"
	HeaderResumeOffset = "Resume-Offset"
	HeaderFence        = "Fencing-Number"
	HeaderWorkspace    = "Workspace"
)

// Phase says whether an endpoint may get full load, by its own report.
type Phase string

// Phases of an endpoint.
const (
	PhaseCold     Phase = "cold"
	PhaseWarm     Phase = "warm"
	PhaseDraining Phase = "leaving"
)

// Load is an endpoint's report of itself.
type Load struct {
	Boot  gate.BootID `json:"boot-id"`
	Phase Phase       `json:"phase"`
	// InFlight counts the requests that run or wait at the endpoint.
	InFlight int `json:"in-flight"`
	// Slots is how many requests it runs at once when warm.
	Slots int `json:"slots"`
	// ColdLimit is how many it bears in cold start.
	ColdLimit int `json:"bears"`
	// LoadedVersions lists the versions that are loaded.
	LoadedVersions []ticket.VersionRef `json:"held,omitempty"`
	// Fence is the highest fencing number of an order that was carried out.
	Fence ticket.Offset `json:"fence,omitempty"`
}

// Attempt describes one dispatch.
type Attempt struct {
	ID        AttemptID
	Request   string
	Workspace ticket.WorkspaceName
	Priority  ticket.Priority
	// Fence is the gate's fencing number for an endpoint in cold start, or 0.
	Fence ticket.Offset
	// AllowCold is true if a permit covers the attempt.
	AllowCold bool
}

// Order asks an engine to hold exactly the given versions.
type Order struct {
	// Fence is the offset of the lease under which the order is given.
	Fence    ticket.Offset       `json:"fence"`
	Versions []ticket.VersionRef `json:"hold"`
}

// getJSON decodes the JSON answer of a GET.
func getJSON(ctx context.Context, client *http.Client, call *sling.Sling, into any) error {
	request, err := call.Request()
	if err != nil {
		return fault.New("get", KindNotSent, "%w", err)
	}
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return fault.New("get", KindBroken, "%w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fault.New("get", KindFailed, "status %d", response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(into); err != nil {
		return fault.New("get", KindIncomplete, "%w", err)
	}
	return nil
}

// sendError classifies the error of a request that may have left in part.
func sendError(ctx context.Context, op string, err error) error {
	var dial *dialError
	switch {
	case errors.As(err, &dial):
		return fault.New(op, KindNotSent, "%w", err)
	case ctx.Err() != nil:
		return fault.New(op, KindCanceled, "%w", context.Cause(ctx))
	}
	return fault.New(op, KindBroken, "%w", err)
}

// setHeaders adds what identifies the attempt.
func (a *Attempt) setHeaders(call *sling.Sling) *sling.Sling {
	call = call.Set(HeaderAttempt, string(a.ID)).
		Set(HeaderRequest, a.Request).
		Set(HeaderWorkspace, string(a.Workspace)).
		Set(HeaderPriority, string(a.Priority))
	if a.Fence > 0 {
		call = call.Set(HeaderFence, formatOffset(a.Fence))
	}
	return call
}

// checkEcho reports a mismatch unless the answer echoes the attempt.
func (a *Attempt) checkEcho(response *http.Response) error {
	if echo := response.Header.Get(HeaderAttempt); echo != string(a.ID) {
		return fault.New("answer", KindMismatch, "attempt %q was answered as %.60q", a.ID, echo)
	}
	return nil
}

// Endpoint is one back end as a client sees it.
type Endpoint struct {
	// Load returns the endpoint's report.
	Load func(ctx context.Context) (*Load, error)
	// Stream runs a chat completion and hands on each piece of text; it returns
	// the counts only if the answer is whole.
	Stream func(ctx context.Context, attempt *Attempt, request *StreamRequest, emit func(text string) error) (*StreamResult, error)
	// Call runs a plain service call.
	Call func(ctx context.Context, attempt *Attempt, request *CallRequest) (*CallResponse, error)
	// SendOrder sends an order to an engine.
	SendOrder func(ctx context.Context, order *Order) error
}

// New returns an Endpoint that is reached over HTTP at the base URL.
func New(baseURL string, opts ...Option) *Endpoint {
	o := newOptions(opts)
	work := &http.Client{Transport: o.workTransport()}
	reports := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: maxHead}}
	base := sling.New().Base(baseURL)
	return &Endpoint{
		Load: func(ctx context.Context) (*Load, error) {
			ctx, cancel := context.WithTimeout(ctx, o.reportTimeout.Duration())
			defer cancel()
			load := new(Load)
			if err := getJSON(ctx, reports, base.New().Get("load"), load); err != nil {
				return nil, err
			}
			return load, nil
		},
		Stream: func(ctx context.Context, attempt *Attempt, request *StreamRequest, emit func(string) error) (*StreamResult, error) {
			s := stream{client: work, base: base, options: o, attempt: attempt, request: request}
			return s.run(ctx, emit)
		},
		Call: func(ctx context.Context, attempt *Attempt, request *CallRequest) (*CallResponse, error) {
			return call(ctx, work, base, o, attempt, request)
		},
		SendOrder: func(ctx context.Context, order *Order) error {
			ctx, cancel := context.WithTimeout(ctx, o.reportTimeout.Duration())
			defer cancel()
			return give(ctx, reports, base, order)
		},
	}
}

func give(ctx context.Context, client *http.Client, base *sling.Sling, order *Order) error {
	request, err := base.New().Post("orders").BodyJSON(order).Request()
	if err != nil {
		return fault.New("order", KindNotSent, "%w", err)
	}
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return fault.New("order", KindBroken, "%w", err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return fault.New("order", KindRefused, "status %d", response.StatusCode)
	}
	return nil
}

// Defaults of the client.
const (
	DefaultReportTimeout = clock.Second
	DefaultDialTimeout   = clock.Second
	// DefaultIdleTimeout bounds the wait for the next text of a stream.
	DefaultIdleTimeout = 10 * clock.Second
)
