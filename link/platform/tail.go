package platform

import (
	"context"
	"sync"

	"foxtailbridge/policy/clock"
)

// Defaults of a Tail.
const (
	DefaultTailLimit = 512
	DefaultTailWait  = 500 * clock.Millis(1)
	minRetryDelay    = 50 * clock.Millis(1)
	maxRetryDelay    = clock.Second
)

// Tail follows one stream in offset order and passes each record to Apply.
type Tail struct {
	Log    *Log
	Stream Stream
	Clock  *clock.Clock
	// Apply is called once for each record, in order.
	Apply func(Record)
	// OnSkip is called when records from offset from up to to expired before they were
	// read; it may be nil.
	OnSkip func(from, to Offset)

	mu          sync.Mutex
	next        Offset
	confirmedAt clock.Millis
	caughtUp    bool
	changed     chan struct{}
}

// Run follows the stream until ctx is done and retries failed reads with backoff.
func (t *Tail) Run(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		if err := t.Poll(ctx, DefaultTailWait); err == nil {
			delay = minRetryDelay
			continue
		}
		if t.Clock.Sleep(ctx, delay) != nil {
			return
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// Poll reads and applies one batch and records whether it reached the end of the stream.
func (t *Tail) Poll(ctx context.Context, wait clock.Millis) error {
	sent := t.Clock.Mono()
	from := t.NextOffset()
	batch, err := t.Log.Read(ctx, t.Stream, from, DefaultTailLimit, wait)
	if err != nil {
		return err
	}
	if batch.First > from && t.OnSkip != nil {
		t.OnSkip(from, batch.First)
	}
	next := max(from, batch.First)
	for _, record := range batch.Records {
		if record.Offset < next {
			continue
		}
		t.Apply(record)
		next = record.Offset + 1
	}
	t.advance(next, next >= batch.End, sent)
	return nil
}

func (t *Tail) advance(next Offset, atEnd bool, sent clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = next
	if atEnd {
		t.caughtUp = true
		t.confirmedAt = sent
	}
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}

// NextOffset returns the offset of the next read.
func (t *Tail) NextOffset() Offset {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next
}

// StartAt sets the offset of the first read; call it before Run.
func (t *Tail) StartAt(from Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = from
}

// Age returns the time since the tail was last known to be at the end of the stream, and
// false if it never was.
func (t *Tail) Age() (clock.Millis, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Clock.Mono() - t.confirmedAt, t.caughtUp
}

// Changed returns a channel that is closed after the next successful read.
func (t *Tail) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.changed
}
