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
	// KindRefused means that a call was rejected and had no effect.
	KindRefused Kind = "refused"
	// KindUncertain means that a call may have taken effect.
	KindUncertain Kind = "uncertain"
	// KindClosed means that this client has stopped.
	KindClosed Kind = "closed"
	// KindMalformed means that the response could not be decoded.
	KindMalformed Kind = "malformed"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Stream is the name of one append-only sequence of records.
type Stream string

// Offset is a position in a stream.
type Offset = ticket.Offset

// Names of the streams.
const (
	StreamConfig Stream = "config"
	StreamBills  Stream = "bills"
	// StreamFleet holds gate leases, stopped roll-outs and quarantined requests.
	StreamFleet Stream = "fleet"
	// StreamClaims is the prefix of the names of the claim partitions.
	StreamClaims Stream = "claims"
)

// ClaimPartition returns the name of the claim partition with the given index.
func ClaimPartition(index int) Stream {
	return Stream(fmt.Sprintf("%s-%02d", StreamClaims, index))
}

// Record is one entry of a stream.
type Record struct {
	Offset Offset `json:"offset"`
	// AppendedAt is the Unix time of the append by the log's clock.
	AppendedAt clock.Millis `json:"at-ms"`
	Data       []byte       `json:"data"`
}

// Batch is the result of a read: records in offset order and the bounds of the stream.
type Batch struct {
	Records []Record `json:"records"`
	// First is the lowest offset that is still retained.
	First Offset `json:"first"`
	// End is the offset after the last record of the stream.
	End Offset `json:"end"`
	// LogTime is the Unix time of the response by the log's clock.
	LogTime clock.Millis `json:"now-ms"`
}

// Log is a client of the platform's append-only log.
type Log struct {
	// Append adds one record and returns its offset. An error of kind
	// KindUncertain means that the record may have been added.
	Append func(ctx context.Context, stream Stream, data []byte) (Offset, error)
	// Read returns at most limit records starting at the offset from, and waits up to
	// wait for the first one.
	Read func(ctx context.Context, stream Stream, from Offset, limit int, wait clock.Millis) (*Batch, error)
}

type appendResponse struct {
	Offset Offset `json:"offset"`
}

type readQuery struct {
	From  Offset       `url:"from"`
	Limit int          `url:"limit"`
	Wait  clock.Millis `url:"wait-ms"`
}

// NewLog returns a Log that sends HTTP requests to the base URL.
func NewLog(baseURL string, opts ...Option) *Log {
	o := newOptions(opts)
	base := sling.New().Client(o.client).Base(baseURL)
	return &Log{
		Append: func(ctx context.Context, stream Stream, data []byte) (Offset, error) {
			ctx, cancel := context.WithTimeout(ctx, o.timeout.Duration())
			defer cancel()
			var response appendResponse
			call := base.New().Post("streams/" + string(stream) + "/records").Body(bytes.NewReader(data))
			if err := doJSON(ctx, o.client, "append", call, &response); err != nil {
				return 0, err
			}
			return response.Offset, nil
		},
		Read: func(ctx context.Context, stream Stream, from Offset, limit int, wait clock.Millis) (*Batch, error) {
			ctx, cancel := context.WithTimeout(ctx, (o.timeout + wait).Duration())
			defer cancel()
			batch := new(Batch)
			query := readQuery{From: from, Limit: limit, Wait: wait}
			call := base.New().Get("streams/" + string(stream) + "/records").QueryStruct(&query)
			if err := doJSON(ctx, o.client, "read", call, batch); err != nil {
				return nil, err
			}
			return batch, nil
		},
	}
}

// doJSON sends the call and decodes the JSON response into result, unless that is nil.
func doJSON(ctx context.Context, client *http.Client, op string, call *sling.Sling, result any) error {
	request, err := call.Request()
	if err != nil {
		return fault.New(op, KindRefused, "build request: %w", err)
	}
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return fault.New(op, KindUncertain, "%w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fault.New(op, KindUncertain, "read response: %w", err)
	}
	switch {
	case response.StatusCode >= http.StatusInternalServerError:
		return fault.New(op, KindUncertain, "status %d", response.StatusCode)
	case response.StatusCode >= http.StatusBadRequest:
		return fault.New(op, KindRefused, "status %d: %.200s", response.StatusCode, body)
	case result == nil:
		return nil
	}
	if err := json.Unmarshal(body, result); err != nil {
		return fault.New(op, KindMalformed, "%w", err)
	}
	return nil
}
