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
	// KindNoTimestamp means that an idempotency key contains no timestamp.
	KindNoTimestamp Kind = "no-age"
	// KindExpired means that the log may no longer retain the key's first claim.
	KindExpired Kind = "expired"
	// KindFuture means that the key's timestamp is in the future.
	KindFuture Kind = "future"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// RequestID identifies one request of one workspace across all its retries.
type RequestID string

// Nonce identifies one append of a claim.
type Nonce string

// State is the state of a request.
type State string

// States of a request.
const (
	StateRunning  State = "running"
	StateAnswered State = "answered"
	StateNotRun   State = "not-run"
	StateUnknown  State = "unknown"
)

// Outcome is the state of a request and, once it was answered, the answer.
type Outcome struct {
	State       State  `json:"state"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// RecordKind is the kind of a record in a claim stream.
type RecordKind string

// Kinds of records.
const (
	// RecordClaim claims the right to run the request.
	RecordClaim RecordKind = "claim"
	// RecordRefuse closes a request that no instance has claimed, so that it never runs.
	RecordRefuse RecordKind = "refuse"
	// RecordDone reports the outcome of a claimed request.
	RecordDone RecordKind = "done"
)

// Record is one record of a claim stream.
type Record struct {
	Kind     RecordKind `json:"kind"`
	ID       RequestID  `json:"id"`
	Nonce    Nonce      `json:"nonce"`
	Instance string     `json:"instance"`
	// Digest is a hash of the content, to detect a key reused for another request.
	Digest  string   `json:"digest,omitempty"`
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Entry is the state of one claimed or refused request.
type Entry struct {
	Nonce    Nonce
	Instance string
	Digest   string
	Offset   ticket.Offset
	// OpenedAt is the log's timestamp of the request's first record.
	OpenedAt clock.Millis
	Outcome  Outcome
}

// Table is the state machine that applies the records of claim streams.
// It is not safe for concurrent use.
type Table struct {
	entries map[RequestID]*Entry
	order   []RequestID
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{entries: map[RequestID]*Entry{}}
}

// Apply applies one record, given its offset and the log's timestamp of the append.
func (t *Table) Apply(offset ticket.Offset, at clock.Millis, record Record) {
	entry := t.entries[record.ID]
	switch record.Kind {
	case RecordClaim:
		t.open(entry, offset, at, record, StateRunning)
	case RecordRefuse:
		t.open(entry, offset, at, record, StateNotRun)
	case RecordDone:
		t.finish(entry, record)
	}
}

func (t *Table) open(entry *Entry, offset ticket.Offset, at clock.Millis, record Record, state State) {
	if entry != nil {
		return
	}
	t.entries[record.ID] = &Entry{
		Nonce:    record.Nonce,
		Instance: record.Instance,
		Digest:   record.Digest,
		Offset:   offset,
		OpenedAt: at,
		Outcome:  Outcome{State: state},
	}
	t.order = append(t.order, record.ID)
}

func (t *Table) finish(entry *Entry, record Record) {
	if entry == nil || entry.Nonce != record.Nonce || record.Outcome == nil {
		return
	}
	if entry.Outcome.State == StateRunning {
		entry.Outcome = *record.Outcome
	}
}

// Lookup returns the entry of a request, or false if no record names it.
func (t *Table) Lookup(id RequestID) (Entry, bool) {
	entry, ok := t.entries[id]
	if !ok {
		return Entry{}, false
	}
	return *entry, true
}

// Expire drops the requests whose first record is older than the given log time.
func (t *Table) Expire(before clock.Millis) {
	expired := 0
	for expired < len(t.order) && t.entries[t.order[expired]].OpenedAt < before {
		delete(t.entries, t.order[expired])
		expired++
	}
	t.order = t.order[expired:]
}

// Len returns the number of requests in the table.
func (t *Table) Len() int {
	return len(t.entries)
}

// RequestIDForKey derives the request id from a workspace's idempotency key.
func RequestIDForKey(workspace ticket.WorkspaceName, key string) RequestID {
	sum := sha256.Sum256([]byte(string(workspace) + "\x00" + key))
	return RequestID("k-" + hex.EncodeToString(sum[:12]))
}

// NewRequestID generates a request id that no caller can have sent before.
func NewRequestID() RequestID {
	return RequestID("m-" + uuid.Must(uuid.NewV7()).String())
}

// NewNonce returns a random nonce.
func NewNonce() Nonce {
	return Nonce(uuid.NewString())
}

// Limits of CheckKeyAge.
const (
	// MaxKeyAge is how old the key of a non-idempotent request may be.
	MaxKeyAge = 10 * clock.Minute
	// MaxKeySkew is how far in the future a key's timestamp may be, to allow for clock skew.
	MaxKeySkew = clock.Minute
)

// CheckKeyAge reads the timestamp in a UUIDv7 idempotency key. It returns an Error
// unless the key is so recent that the log still retains every claim made with it.
func CheckKeyAge(key string, now clock.Millis) error {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return fault.New("check-key", KindNoTimestamp, "key is not a version 7 UUID")
	}
	seconds, nanos := id.Time().UnixTime()
	generatedAt := clock.Millis(time.Unix(seconds, nanos).UnixMilli())
	if age := now - generatedAt; age > MaxKeyAge {
		return fault.New("check-key", KindExpired, "key is %d s old, limit is %d s", age/clock.Second, MaxKeyAge/clock.Second)
	}
	if ahead := generatedAt - now; ahead > MaxKeySkew {
		return fault.New("check-key", KindFuture, "key lies %d s ahead", ahead/clock.Second)
	}
	return nil
}
