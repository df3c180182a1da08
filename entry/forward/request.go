package forward

import (
	"context"
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

// RequestID identifies one attempt of a caller.
type RequestID string

// EventID identifies an event of a stream.
type EventID string

// Request is a caller's request as the pipeline sees it.
type Request struct {
	ID     RequestID
	Method string
	Host   string
	// Path selects the route; Target is the path with its query, as sent on.
	Path   string
	Target string
	// Header holds only what may be passed on.
	Header http.Header
	Body   []byte
	// Key is the caller's API key, or "".
	Key catalog.APIKey
	// CallerTimeout is how long the caller waits, or 0 if it did not say.
	CallerTimeout clock.Millis
	// ReceivedAt is the monotonic time at which the request was read.
	ReceivedAt clock.Millis
	// AnyModel is true if the router names the model.
	AnyModel bool
	// MaxTokens is the largest number of tokens that the caller wants.
	MaxTokens   int
	PromptParts []placement.Part
	// Session groups requests of one caller, or is "".
	Session string
	// LastEventID is the last event that the caller already has, or "".
	LastEventID EventID
}

func (r *Request) hash() uint64 {
	return xxhash.Sum64String(string(r.ID))
}

// digest identifies the content, whatever the request's id.
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
	// KindRefused is KindNotSent of an endpoint whose machine answers: it accepts no
	// channel, and may still finish what it runs.
	KindRefused Kind = "refused"
	// KindBroken means that the channel ended or carried no proper answer.
	KindBroken Kind = "broken"
	// KindOverrun means that a stream held more than was asked for: what came of
	// it is no answer, and its ids lead nowhere.
	KindOverrun Kind = "overrun"
	// KindTimeout means that nothing came in time.
	KindTimeout Kind = "silent"
	// KindCanceled means that the caller went away.
	KindCanceled Kind = "canceled"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Attempt is one sending of a request to an endpoint.
type Attempt struct {
	Request   *Request
	Endpoint  *catalog.Endpoint
	Workspace ticket.WorkspaceName
	Rank      catalog.Rank
	// Model is named to the endpoint if the router chose it, else "".
	Model ticket.ModelName
	// Remaining is the time until the request's deadline.
	Remaining clock.Millis
	// HeadTimeout bounds the wait for the answer's head.
	HeadTimeout clock.Millis
	// KeepWaiting is asked when FirstBy or a Gap has passed; true waits as long again. It
	// runs in the goroutine that waits.
	KeepWaiting func() bool
	// AtMostOnce is true if the request may run only once.
	AtMostOnce bool
	// LastEventID is the event behind which a stream goes on, or "".
	LastEventID EventID
	// WeightsVersion is the version of the weights that must go on, or "".
	WeightsVersion string
	// Stream is true if the answer is to be read event by event.
	Stream bool
	// EventTimeout bounds the wait between events.
	EventTimeout clock.Millis
}

// Event is one whole event of a stream.
type Event struct {
	ID  EventID
	Raw []byte
}

// Response is an endpoint's answer.
type Response struct {
	Status int
	Header http.Header
	// NotRun is true if the endpoint says that it did not run the request.
	NotRun bool
	// AddressReassigned is true if another endpoint has the address.
	AddressReassigned bool
	Confidence        cascade.Confidence
	// Load is the endpoint's word on its load, or nil.
	Load *placement.Load
	// Draining is true if the endpoint closes the channel after this answer.
	Draining bool
	// WeightsVersion is the version of the weights that answered, or "".
	WeightsVersion string
	// Body is the whole body of a plain answer.
	Body []byte
	// Next returns the next whole event of a stream, io.EOF at its proper end.
	Next func() (Event, error)
	// Close ends the attempt; an unfinished one ends at the endpoint too.
	Close func()
}

// Sender sends attempts to endpoints.
type Sender struct {
	// Send returns once the answer's head is there, for a plain answer all of it.
	Send func(ctx context.Context, a *Attempt) (*Response, error)
	// Probe returns nil if the endpoint accepts channels, or why it is taken not to.
	Probe func(ctx context.Context, e *catalog.Endpoint) error
}

// ResponseWriter takes an answer to the caller.
type ResponseWriter struct {
	// OnDeadline takes the request's deadline on the monotonic clock, if it is set.
	OnDeadline func(deadline clock.Millis)
	// WriteHeader sends the head of a stream.
	WriteHeader func(status int, header http.Header)
	// WriteEvent sends one event.
	WriteEvent func(raw []byte) error
}

// Reason explains a refusal or failure in log lines and problem details.
type Reason string

// Reasons of the pipeline.
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
)

// Result is the end of a request.
type Result struct {
	// Status is the answer's status; 0 if it was streamed or the caller is gone.
	Status int
	Header http.Header
	Body   []byte
	Reason Reason
	// RetryAfter tells a refused caller when to come back, or is 0.
	RetryAfter clock.Millis
	// Abort is true if a begun answer must be broken off.
	Abort bool
	// LocalReply is true if the answer is this system's, not an endpoint's.
	LocalReply bool
}

func own(status int, reason Reason, retryAfter clock.Millis) Result {
	return Result{Status: status, Reason: reason, RetryAfter: retryAfter, LocalReply: true}
}
