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

// Tail follows one stream in offset order and hands each record to Apply.
type Tail struct {
	Log    *Log
	Stream Stream
	Clock  *clock.Clock
	// Apply takes each record once, in order.
	Apply func(Record)
	// OnSkip is told of records that expired before they were read; it may be nil.
	OnSkip func(from, to Offset)

	mu        sync.Mutex
	next      Offset
	confirmed clock.Millis
	caughtUp  bool
	changed   chan struct{}
}

// Run follows the stream until ctx ends and retries failed reads with backoff.
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

// Poll reads one batch, applies it and notes whether the end was reached.
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
		t.confirmed = sent
	}
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}

// NextOffset returns the offset that will be read next.
func (t *Tail) NextOffset() Offset {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next
}

// StartAt sets the offset to read first; call it before Run.
func (t *Tail) StartAt(from Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = from
}

// Age returns how long ago the tail is known to have been at the end of the
// stream, and false if it never was.
func (t *Tail) Age() (clock.Millis, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Clock.Mono() - t.confirmed, t.caughtUp
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
