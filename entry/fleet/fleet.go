package fleet

import (
	"context"
	"encoding/json"
	"sync/atomic"

	"foxtailbridge/link/platform"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/gate"
	"foxtailbridge/policy/quarantine"
	"foxtailbridge/policy/ticket"
)

// RolloutStop ends the exposure of a roll-out's new version, as of one ticket.
type RolloutStop struct {
	Rollout ticket.RolloutName `json:"roll-out"`
	Number  ticket.Number      `json:"ticket"`
}

// Item is one item of the stream; exactly one field is set.
type Item struct {
	Lease     *gate.LeaseRecord     `json:"lease,omitempty"`
	Stop      *RolloutStop          `json:"stop,omitempty"`
	Suspicion *quarantine.Suspicion `json:"suspicion,omitempty"`
}

// Stream follows and extends the fleet stream.
type Stream struct {
	// Apply takes each item with its offset and the log's time.
	Apply func(offset platform.Offset, at clock.Millis, item Item)

	tail    *platform.Tail
	batcher *platform.Batcher
	skipped atomic.Bool
}

// New returns a Stream.
func New(log *platform.Log, c *clock.Clock) *Stream {
	s := &Stream{
		Apply:   func(platform.Offset, clock.Millis, Item) {},
		batcher: platform.NewBatcher(log, platform.StreamFleet, c),
	}
	s.tail = &platform.Tail{
		Log: log, Stream: platform.StreamFleet, Clock: c,
		Apply:  s.apply,
		OnSkip: func(platform.Offset, platform.Offset) { s.skipped.Store(true) },
	}
	return s
}

// Run follows the stream and appends to it until ctx ends.
func (s *Stream) Run(ctx context.Context) {
	go s.batcher.Run(ctx)
	s.tail.Run(ctx)
}

func (s *Stream) apply(record platform.Record) {
	var items []Item
	if json.Unmarshal(record.Data, &items) != nil {
		return
	}
	for _, item := range items {
		s.Apply(record.Offset, record.AppendedAt, item)
	}
}

// ReadStatus reports whether the stream was read to its end, and whether from its first record.
func (s *Stream) ReadStatus() (read, whole bool) {
	_, read = s.tail.Age()
	return read, !s.skipped.Load()
}

// Append queues an item; the channel yields the result of the append.
func (s *Stream) Append(item Item) <-chan error {
	data, err := json.Marshal(item)
	if err != nil {
		done := make(chan error, 1)
		done <- err
		return done
	}
	return s.batcher.Add(data)
}
