package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"foxtailbridge/policy/cascade"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/quarantine"
	"foxtailbridge/policy/ticket"
)

// RequestID identifies one try of a caller to send a request.
type RequestID string

// EventID identifies an event of a stream.
type EventID string

// Request is a caller's request.
type Request struct {
	ID     RequestID
	Method string
	Host   string
	// Path selects the route; Target is the path with its query, as sent to the
	// endpoint.
	Path   string
	Target string
	// Header holds only the headers that may be forwarded.
	Header http.Header
	Body   []byte
	// Key is the caller's API key, or "".
	Key catalog.APIKey
	// CallerTimeout is how long the caller waits for the response, or 0 if unknown.
	CallerTimeout clock.Millis
	// ReceivedAt is the monotonic time at which the request was read.
	ReceivedAt clock.Millis
	// AnyModel is true if the router may choose the model.
	AnyModel bool
	// MaxTokens is the largest number of output tokens that the caller wants, or 0 if
	// unknown.
	MaxTokens   int
	PromptParts []placement.Part
	// Session groups requests of one caller; it may be "".
	Session string
	// LastEventID is the last event that the caller already has, or "".
	LastEventID EventID
	// ReserveResponse reserves memory for a response until the request ends or ReleaseResponse
	// releases it. It waits for room until the context is done, and returns false if there is
	// none. Both are nil or neither is.
	ReserveResponse func(ctx context.Context, bytes int) bool
	ReleaseResponse func(bytes int)
}

// maxOutputTokens bounds the output that is taken into account: callers may name any number.
const maxOutputTokens = 1 << 20

// tokens returns the number of tokens that the request takes of an engine's memory: its prompt and
// the longest output.
func (r *Request) tokens() int {
	return placement.Tokens(r.PromptParts) + min(maxOutputTokens, max(0, r.MaxTokens))
}

func (r *Request) hash() uint64 {
	return xxhash.Sum64String(string(r.ID))
}

// digest hashes the request's content, without its ID.
func (r *Request) digest(workspace ticket.WorkspaceName) quarantine.Digest {
	h := xxhash.New()
	for _, part := range []string{string(workspace), "\x00", r.Method, "\x00", r.Target, "\x00"} {
		_, _ = h.WriteString(part) // A hash never fails to write.
	}
	_, _ = h.Write(r.Body)
	return quarantine.Digest(strconv.FormatUint(h.Sum64(), 16))
}

// Kind classifies the errors of an attempt.
type Kind string

// Kinds of errors.
const (
	// KindNotSent means that the endpoint cannot have seen the request.
	KindNotSent Kind = "not-sent"
	// KindRefused is like KindNotSent, but the endpoint's host responded: the endpoint
	// accepts no new connections and may still finish its in-flight requests.
	KindRefused Kind = "refused"
	// KindWithdrawn is like KindNotSent, but the endpoint wants no requests any more.
	KindWithdrawn Kind = "withdrawn"
	// KindBroken means that the connection ended early or carried no valid response.
	KindBroken Kind = "broken"
	// KindOverrun means that a stream held more than was requested. Its content is
	// invalid, and it cannot be resumed from its event IDs.
	KindOverrun Kind = "overrun"
	// KindTimeout means that nothing was received in time.
	KindTimeout Kind = "silent"
	// KindCanceled means that the caller disconnected.
	KindCanceled Kind = "canceled"
	// KindNoRoom means that this instance has no memory for the response.
	KindNoRoom Kind = "no-room"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Attempt is one try to send a request to an endpoint.
type Attempt struct {
	Request   *Request
	Endpoint  *catalog.Endpoint
	Workspace ticket.WorkspaceName
	Rank      catalog.Rank
	// Model is sent to the endpoint if the router chose it, else "".
	Model ticket.ModelName
	// Remaining is the time until the request's deadline.
	Remaining clock.Millis
	// HeadTimeout bounds the wait for the response headers.
	HeadTimeout clock.Millis
	// KeepWaiting is called when HeadTimeout or EventTimeout has passed; if it returns
	// true, the wait starts again. It runs in the goroutine that waits.
	KeepWaiting func() bool
	// AtMostOnce is true if the request must not run more than once.
	AtMostOnce bool
	// LastEventID is the event after which to resume a stream, or "".
	LastEventID EventID
	// WeightsVersion is the version of the model weights that must resume the stream,
	// or "".
	WeightsVersion string
	// StillWanted is called right before the request is sent; if it returns false, the request
	// is not sent and the error is KindWithdrawn. It may be nil.
	StillWanted func() bool
	// Notify receives what the endpoint says about itself, in the goroutine of Send, before
	// the response is returned. It may be nil.
	Notify func(Notice)
	// Stream is true if the response is read event by event.
	Stream bool
	// EventTimeout bounds the wait for each event.
	EventTimeout clock.Millis
}

// Notice is what an endpoint says about itself in the head of a response, whatever became of
// the request.
type Notice struct {
	// Leaving is true if the endpoint will end soon and wants no more requests.
	Leaving bool
	// HoldOff is how long the endpoint wants no requests from this instance, or 0.
	HoldOff clock.Millis
}

// Event is one complete event of a stream.
type Event struct {
	ID  EventID
	Raw []byte
}

// Response is an endpoint's response.
type Response struct {
	Status int
	Header http.Header
	// NotRun is true if the endpoint states that it did not run the request.
	NotRun bool
	// AddressReassigned is true if the address now belongs to another endpoint.
	AddressReassigned bool
	Confidence        cascade.Confidence
	// Load is the load that the endpoint reported, or nil.
	Load *placement.Load
	// WeightsVersion is the version of the model weights that produced the response, or
	// "".
	WeightsVersion string
	// Body is the complete body of a plain response.
	Body []byte
	// Next returns the next complete event of a stream, and io.EOF at its regular end.
	// It is nil for a plain response.
	Next func() (Event, error)
	// Close ends the attempt; if the response is incomplete, the endpoint stops working
	// on it.
	Close func()
}

// Sender sends attempts to endpoints.
type Sender struct {
	// Send returns when the response headers have arrived; for a plain response, when
	// all of it has.
	Send func(ctx context.Context, a *Attempt) (*Response, error)
	// Probe returns nil if the endpoint accepts connections, else the error.
	Probe func(ctx context.Context, e *catalog.Endpoint) error
}

// ResponseWriter writes a streamed response to the caller.
type ResponseWriter struct {
	// OnDeadline receives the request's deadline on the monotonic clock. It may be nil.
	OnDeadline func(deadline clock.Millis)
	// WriteHeader sends the status and headers of a stream.
	WriteHeader func(status int, header http.Header)
	// WriteEvent sends one event.
	WriteEvent func(raw []byte) error
}

// Reason explains a request's outcome in log lines and problem details.
type Reason string

// Reasons for the outcome of a request.
const (
	ReasonServed         Reason = "served"
	ReasonNoConfig       Reason = "no-configuration"
	ReasonUnconfirmed    Reason = "view-unconfirmed"
	ReasonNoRoute        Reason = "no-route"
	ReasonUnknownKey     Reason = "no-such-key"
	ReasonQuarantined    Reason = "quarantined"
	ReasonDeadlinePassed Reason = "deadline-passed"
	ReasonEndpointFailed Reason = "endpoint-failed"
	ReasonOutcomeUnknown Reason = "outcome-unknown"
	ReasonCallerGone     Reason = "caller-gone"
	ReasonStreamCut      Reason = "stream-cut"
	ReasonNoEndpoint     Reason = "no-endpoint"
	ReasonEndpointsFull  Reason = "endpoints-full"
	ReasonShutdown       Reason = "shutdown"
	// ReasonOverShare means that the service is short of capacity and that others come first.
	ReasonOverShare Reason = "over-share"
)

// ErrShutdown is the cause with which the context of a request is canceled when the instance
// cannot wait for its response any longer.
var ErrShutdown = errors.New("the instance is shutting down")

// Result is the outcome of a request.
type Result struct {
	// Status is the response status; 0 if the response was streamed or the caller
	// disconnected.
	Status int
	Header http.Header
	Body   []byte
	Reason Reason
	// RetryAfter is the Retry-After of a refused request, or 0.
	RetryAfter clock.Millis
	// Abort is true if the response was started and the connection must be closed
	// before its regular end.
	Abort bool
	// LocalReply is true if the response comes from the router, not from an endpoint.
	LocalReply bool
	// CloseConnection is true if the caller should use another connection for its next request.
	CloseConnection bool
}

func localReply(status int, reason Reason, retryAfter clock.Millis) Result {
	return Result{Status: status, Reason: reason, RetryAfter: retryAfter, LocalReply: true}
}
