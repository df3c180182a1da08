package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/dghubble/sling"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
	"foxtailbridge/policy/ticket"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindRefused means that the platform answered and did nothing.
	KindRefused Kind = "refused"
	// KindUncertain means that a call may have taken effect.
	KindUncertain Kind = "uncertain"
	// KindClosed means that this client has stopped.
	KindClosed Kind = "closed"
	// KindMalformed means that the platform's answer did not decode.
	KindMalformed Kind = "malformed"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Stream names one append-only sequence of records.
type Stream string

// Offset is a position in a stream.
type Offset = ticket.Offset

// Streams of the system.
const (
	StreamConfig Stream = "config"
	StreamBills  Stream = "bills"
	// StreamFleet carries gate leases, stopped roll-outs and quarantined requests.
	StreamFleet Stream = "fleet"
	// StreamClaims is the prefix of the claim partitions.
	StreamClaims Stream = "claims"
)

// ClaimPartition names the claim stream with the given index.
func ClaimPartition(index int) Stream {
	return Stream(fmt.Sprintf("%s-%02d", StreamClaims, index))
}

// Record is one entry of a stream.
type Record struct {
	Offset Offset `json:"offset"`
	// AppendedAt is the log's Unix time of the append.
	AppendedAt clock.Millis `json:"at-ms"`
	Data       []byte       `json:"data"`
}

// Batch is a run of records in offset order.
type Batch struct {
	Records []Record `json:"records"`
	// First is the lowest offset that is still retained.
	First Offset `json:"first"`
	// End is the offset after the last record of the stream.
	End Offset `json:"end"`
	// LogTime is the log's Unix time of the answer.
	LogTime clock.Millis `json:"now-ms"`
}

// Log is the platform's append-only log.
type Log struct {
	// Append adds one record and returns its offset. An error of kind
	// KindUncertain leaves open whether the record was added.
	Append func(ctx context.Context, stream Stream, data []byte) (Offset, error)
	// Read returns at most limit records from the offset on, and waits up to
	// the span for the first one.
	Read func(ctx context.Context, stream Stream, from Offset, limit int, wait clock.Millis) (*Batch, error)
}

type appendAnswer struct {
	Offset Offset `json:"offset"`
}

type readQuery struct {
	From  Offset       `url:"from"`
	Limit int          `url:"limit"`
	Wait  clock.Millis `url:"wait-ms"`
}

// NewLog returns a Log that is reached over HTTP at the base URL.
func NewLog(baseURL string, opts ...Option) *Log {
	o := newOptions(opts)
	base := sling.New().Client(o.client).Base(baseURL)
	return &Log{
		Append: func(ctx context.Context, stream Stream, data []byte) (Offset, error) {
			ctx, cancel := context.WithTimeout(ctx, o.timeout.Duration())
			defer cancel()
			var answer appendAnswer
			call := base.New().Post("streams/" + string(stream) + "/records").Body(bytes.NewReader(data))
			if err := do(ctx, o.client, "append", call, &answer); err != nil {
				return 0, err
			}
			return answer.Offset, nil
		},
		Read: func(ctx context.Context, stream Stream, from Offset, limit int, wait clock.Millis) (*Batch, error) {
			ctx, cancel := context.WithTimeout(ctx, (o.timeout + wait).Duration())
			defer cancel()
			batch := new(Batch)
			query := readQuery{From: from, Limit: limit, Wait: wait}
			call := base.New().Get("streams/" + string(stream) + "/records").QueryStruct(&query)
			if err := do(ctx, o.client, "read", call, batch); err != nil {
				return nil, err
			}
			return batch, nil
		},
	}
}

// do sends the call and decodes a JSON answer.
func do(ctx context.Context, client *http.Client, op string, call *sling.Sling, into any) error {
	request, err := call.Request()
	if err != nil {
		return fault.New(op, KindRefused, "build request: %w", err)
	}
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return fault.New(op, KindUncertain, "%w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return fault.New(op, KindUncertain, "read answer: %w", err)
	}
	switch {
	case response.StatusCode >= http.StatusInternalServerError:
		return fault.New(op, KindUncertain, "status %d", response.StatusCode)
	case response.StatusCode >= http.StatusBadRequest:
		return fault.New(op, KindRefused, "status %d: %.200s", response.StatusCode, body)
	case into == nil:
		return nil
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fault.New(op, KindMalformed, "%w", err)
	}
	return nil
}
