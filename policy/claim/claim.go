package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/google/uuid"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
	"foxtailbridge/policy/ticket"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindNoTimestamp means that an idempotency key does not carry its age.
	KindNoTimestamp Kind = "no-age"
	// KindExpired means that the log may no longer hold the key's first claim.
	KindExpired Kind = "expired"
	// KindFuture means that the key's time lies ahead of the clock.
	KindFuture Kind = "future"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// RequestID identifies one request of one workspace, over all its retries.
type RequestID string

// Nonce identifies one append of a claim.
type Nonce string

// State is what is known of a request.
type State string

// States of a request.
const (
	StateRunning  State = "running"
	StateAnswered State = "answered"
	StateNotRun   State = "not-run"
	StateUnknown  State = "unknown"
)

// Outcome is the end of a request.
type Outcome struct {
	State       State  `json:"state"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// RecordKind names the records of a claim stream.
type RecordKind string

// Kinds of records.
const (
	// RecordClaim asks to run the request.
	RecordClaim RecordKind = "claim"
	// RecordRefuse closes a request that nobody has claimed.
	RecordRefuse RecordKind = "refuse"
	// RecordDone reports the end of a claimed request.
	RecordDone RecordKind = "done"
)

// Record is one item of a claim stream.
type Record struct {
	Kind     RecordKind `json:"kind"`
	ID       RequestID  `json:"id"`
	Nonce    Nonce      `json:"nonce"`
	Instance string     `json:"instance"`
	// Digest identifies the content, so that a key cannot stand for two requests.
	Digest  string   `json:"digest,omitempty"`
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Entry is the state of one claimed request.
type Entry struct {
	Nonce    Nonce
	Instance string
	Digest   string
	Offset   ticket.Offset
	// OpenedAt is the log's time of the first record.
	OpenedAt clock.Millis
	Outcome  Outcome
}

// Table folds the records of claim streams; it is not safe for concurrent use.
type Table struct {
	holdings map[RequestID]*Entry
	order    []RequestID
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{holdings: map[RequestID]*Entry{}}
}

// Apply folds one record read at the offset.
func (t *Table) Apply(offset ticket.Offset, at clock.Millis, record Record) {
	holding := t.holdings[record.ID]
	switch record.Kind {
	case RecordClaim:
		t.open(holding, offset, at, record, StateRunning)
	case RecordRefuse:
		t.open(holding, offset, at, record, StateNotRun)
	case RecordDone:
		t.finish(holding, record)
	}
}

func (t *Table) open(holding *Entry, offset ticket.Offset, at clock.Millis, record Record, state State) {
	if holding != nil {
		return
	}
	t.holdings[record.ID] = &Entry{
		Nonce:    record.Nonce,
		Instance: record.Instance,
		Digest:   record.Digest,
		Offset:   offset,
		OpenedAt: at,
		Outcome:  Outcome{State: state},
	}
	t.order = append(t.order, record.ID)
}

func (t *Table) finish(holding *Entry, record Record) {
	if holding == nil || holding.Nonce != record.Nonce || record.Outcome == nil {
		return
	}
	if holding.Outcome.State == StateRunning {
		holding.Outcome = *record.Outcome
	}
}

// Lookup returns the holding of a request, or false if no record names it.
func (t *Table) Lookup(id RequestID) (Entry, bool) {
	holding, ok := t.holdings[id]
	if !ok {
		return Entry{}, false
	}
	return *holding, true
}

// Expire forgets requests whose first record is older than the point in log time.
func (t *Table) Expire(before clock.Millis) {
	kept := 0
	for kept < len(t.order) && t.holdings[t.order[kept]].OpenedAt < before {
		delete(t.holdings, t.order[kept])
		kept++
	}
	t.order = t.order[kept:]
}

// Len returns the number of requests held.
func (t *Table) Len() int {
	return len(t.holdings)
}

// RequestIDForKey derives the request id of a workspace's idempotency key.
func RequestIDForKey(workspace ticket.WorkspaceName, key string) RequestID {
	sum := sha256.Sum256([]byte(string(workspace) + "\x00" + key))
	return RequestID("k-" + hex.EncodeToString(sum[:12]))
}

// NewRequestID returns a request id that no caller can have sent before.
func NewRequestID() RequestID {
	return RequestID("m-" + uuid.Must(uuid.NewV7()).String())
}

// NewNonce returns a fresh nonce.
func NewNonce() Nonce {
	return Nonce(uuid.NewString())
}

// Margins of CheckAge.
const (
	// MaxKeyAge is how old the key of a non-idempotent request may be.
	MaxKeyAge = 10 * clock.Minute
	// MaxKeySkew is how far a key's time may lie ahead.
	MaxKeySkew = clock.Minute
)

// CheckKeyAge reads the time in a UUIDv7 idempotency key and reports an Error
// unless the log is sure to retain every claim that was made under it.
func CheckKeyAge(key string, now clock.Millis) error {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return fault.New("check-key", KindNoTimestamp, "key is not a version 7 UUID")
	}
	seconds, nanos := id.Time().UnixTime()
	minted := clock.Millis(time.Unix(seconds, nanos).UnixMilli())
	if age := now - minted; age > MaxKeyAge {
		return fault.New("check-key", KindExpired, "key is %d s old, limit is %d s", age/clock.Second, MaxKeyAge/clock.Second)
	}
	if ahead := minted - now; ahead > MaxKeySkew {
		return fault.New("check-key", KindFuture, "key lies %d s ahead", ahead/clock.Second)
	}
	return nil
}
