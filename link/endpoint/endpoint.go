package endpoint

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/dghubble/sling"

	"foxtailbridge/link/socket"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
	"foxtailbridge/policy/gate"
	"foxtailbridge/policy/ticket"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindNotSent means that no byte of the request was sent, so it did not run.
	KindNotSent Kind = "not-sent"
	// KindRefused means that the endpoint reported that it did not run the request.
	KindRefused Kind = "refused"
	// KindBroken means that the connection ended after the request was sent.
	KindBroken Kind = "broken"
	// KindMismatch means that the response belongs to another attempt.
	KindMismatch Kind = "mismatch"
	// KindIncomplete means that a response was incomplete or undecodable: for example a
	// stream without its final marker, or with a wrong token count.
	KindIncomplete Kind = "incomplete"
	// KindCanceled means that the caller's context ended the attempt.
	KindCanceled Kind = "canceled"
	// KindFailed means that the endpoint ran the request and reported a failure, or
	// kept sending bytes that contain no text.
	KindFailed Kind = "failed"
	// KindOverrun means that a stream was longer than requested: the text received so
	// far is not a valid answer, so no other attempt may resume it.
	KindOverrun Kind = "overrun"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// AttemptID identifies one dispatch; the endpoint echoes it.
type AttemptID string

// Headers of a request and of its response.
const (
	HeaderAttempt      = "Attempt-Id"
	HeaderRequest      = "Request-Id"
	HeaderPriority     = "Priority-Class"
	HeaderBoot         = "Boot-Id"
	HeaderResumeOffset = "Resume-Offset"
	HeaderFence        = "Fencing-Number"
	HeaderWorkspace    = "Workspace"
)

// Phase is an endpoint's state as it reports it; only a warm endpoint takes full load.
type Phase string

// Phases of an endpoint.
const (
	PhaseCold     Phase = "cold"
	PhaseWarm     Phase = "warm"
	PhaseDraining Phase = "leaving"
)

// Load is an endpoint's load report.
type Load struct {
	Boot  gate.BootID `json:"boot-id"`
	Phase Phase       `json:"phase"`
	// InFlight is the number of requests that are running or queued at the endpoint.
	InFlight int `json:"in-flight"`
	// Slots is the number of requests that it runs concurrently when warm.
	Slots int `json:"slots"`
	// ColdLimit is the number of concurrent requests that it accepts during cold start.
	ColdLimit int `json:"bears"`
	// LoadedVersions lists the versions that are loaded.
	LoadedVersions []ticket.VersionRef `json:"held,omitempty"`
	// Fence is the highest fencing number of the orders that the endpoint has executed.
	Fence ticket.Offset `json:"fence,omitempty"`
}

// Attempt describes one dispatch of a request to an endpoint.
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

// Order tells an engine to keep exactly the given versions loaded.
type Order struct {
	// Fence is the log offset of the lease under which the order is issued.
	Fence    ticket.Offset       `json:"fence"`
	Versions []ticket.VersionRef `json:"hold"`
}

// getJSON sends a GET request and decodes the JSON response.
func getJSON(ctx context.Context, client *http.Client, call *sling.Sling, result any) error {
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
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(result); err != nil {
		return fault.New("get", KindIncomplete, "%w", err)
	}
	return nil
}

// sendError classifies the error of a request that may have been sent in part.
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

// setHeaders adds the headers that identify the attempt.
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

// checkEcho returns an error of kind KindMismatch unless the response echoes the attempt's ID.
func (a *Attempt) checkEcho(response *http.Response) error {
	if echo := response.Header.Get(HeaderAttempt); echo != string(a.ID) {
		return fault.New("answer", KindMismatch, "response to attempt %q carries attempt ID %.60q", a.ID, echo)
	}
	return nil
}

// Endpoint is a client of one endpoint.
type Endpoint struct {
	// Load fetches the endpoint's load report.
	Load func(ctx context.Context) (*Load, error)
	// Stream runs a chat completion and passes each piece of text to emit; it returns
	// a result only if the response is complete.
	Stream func(ctx context.Context, attempt *Attempt, request *StreamRequest, emit func(text string) error) (*StreamResult, error)
	// Call calls a plain service.
	Call func(ctx context.Context, attempt *Attempt, request *CallRequest) (*CallResponse, error)
	// SendOrder sends an order to an engine.
	SendOrder func(ctx context.Context, order *Order) error
}

// New returns an Endpoint that sends HTTP requests to the base URL.
func New(baseURL string, opts ...Option) *Endpoint {
	o := newOptions(opts)
	requestClient := &http.Client{Transport: socket.CheckHeads(o.requestTransport())}
	reportClient := &http.Client{Transport: socket.CheckHeads(&http.Transport{MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: maxHeaderBytes})}
	base := sling.New().Base(baseURL)
	return &Endpoint{
		Load: func(ctx context.Context) (*Load, error) {
			ctx, cancel := context.WithTimeout(ctx, o.reportTimeout.Duration())
			defer cancel()
			load := new(Load)
			if err := getJSON(ctx, reportClient, base.New().Get("load"), load); err != nil {
				return nil, err
			}
			return load, nil
		},
		Stream: func(ctx context.Context, attempt *Attempt, request *StreamRequest, emit func(string) error) (*StreamResult, error) {
			s := stream{client: requestClient, base: base, options: o, attempt: attempt, request: request}
			return s.run(ctx, emit)
		},
		Call: func(ctx context.Context, attempt *Attempt, request *CallRequest) (*CallResponse, error) {
			return call(ctx, requestClient, base, o, attempt, request)
		},
		SendOrder: func(ctx context.Context, order *Order) error {
			ctx, cancel := context.WithTimeout(ctx, o.reportTimeout.Duration())
			defer cancel()
			return sendOrder(ctx, reportClient, base, order)
		},
	}
}

func sendOrder(ctx context.Context, client *http.Client, base *sling.Sling, order *Order) error {
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
	// DefaultIdleTimeout limits the wait for the next piece of text of a stream.
	DefaultIdleTimeout = 10 * clock.Second
)
