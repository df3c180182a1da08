package platform

import (
	"context"
	"encoding/json"
	"errors"
	"sync"

	"foxtailbridge/policy/clock"
)

// Defaults of a Batcher.
const (
	DefaultBatchBytes   = 256 << 10
	DefaultMinInterval  = 10 * clock.Millis(1)
	DefaultBatchBacklog = 4096
)

var (
	errBacklog = errors.New("append backlog is full")
	errClosed  = errors.New("batcher is stopped")
)

// Batcher groups items into records, each a JSON array. At most one append is in
// flight, so the latency of the log limits the append rate.
type Batcher struct {
	Log    *Log
	Stream Stream
	Clock  *clock.Clock

	mu      sync.Mutex
	pending []pendingItem
	wake    chan struct{}
	closed  bool
}

type pendingItem struct {
	data json.RawMessage
	done chan error
}

// NewBatcher returns a Batcher for one stream.
func NewBatcher(log *Log, stream Stream, c *clock.Clock) *Batcher {
	return &Batcher{Log: log, Stream: stream, Clock: c, wake: make(chan struct{}, 1)}
}

// Add queues one JSON item; the returned channel receives the result of the append,
// which is not retried. An error of kind KindRefused or KindClosed means that the item
// was not and will not be written.
func (b *Batcher) Add(item json.RawMessage) <-chan error {
	done := make(chan error, 1)
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.closed:
		done <- &Error{Op: "append", Kind: KindClosed, Err: errClosed}
		return done
	case len(b.pending) >= DefaultBatchBacklog:
		done <- &Error{Op: "append", Kind: KindRefused, Err: errBacklog}
		return done
	}
	b.pending = append(b.pending, pendingItem{data: item, done: done})
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return done
}

// Run appends queued items until ctx is done, then fails queued and new items with KindClosed.
func (b *Batcher) Run(ctx context.Context) {
	defer b.close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		}
		delay := DefaultMinInterval
		for {
			sent, err := b.flush(ctx)
			if !sent {
				break
			}
			delay = nextDelay(delay, err)
			if b.Clock.Sleep(ctx, delay) != nil {
				return
			}
		}
	}
}

func (b *Batcher) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for _, item := range b.pending {
		item.done <- &Error{Op: "append", Kind: KindClosed, Err: errClosed}
	}
	b.pending = nil
}

// nextDelay returns the delay before the next append: doubled after a failure, so that
// a recovering log is not hit by a burst.
func nextDelay(delay clock.Millis, err error) clock.Millis {
	if err == nil {
		return DefaultMinInterval
	}
	return min(2*delay, maxRetryDelay)
}

// flush appends one batch as a record; it returns false if nothing was queued.
func (b *Batcher) flush(ctx context.Context) (bool, error) {
	items := b.takeBatch()
	if len(items) == 0 {
		return false, nil
	}
	list := make([]json.RawMessage, len(items))
	for i, item := range items {
		list[i] = item.data
	}
	data, err := json.Marshal(list)
	if err == nil {
		_, err = b.Log.Append(ctx, b.Stream, data)
	}
	for _, item := range items {
		item.done <- err
	}
	return true, err
}

func (b *Batcher) takeBatch() []pendingItem {
	b.mu.Lock()
	defer b.mu.Unlock()
	size := 0
	count := 0
	for count < len(b.pending) && (count == 0 || size+len(b.pending[count].data) <= DefaultBatchBytes) {
		size += len(b.pending[count].data)
		count++
	}
	items := b.pending[:count:count]
	b.pending = b.pending[count:]
	return items
}
