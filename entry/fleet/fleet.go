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

// RolloutStop ends the exposure of a rollout's new version. It applies to the rollout as
// set by the ticket Number.
type RolloutStop struct {
	Rollout ticket.RolloutName `json:"roll-out"`
	Number  ticket.Number      `json:"ticket"`
}

// Item is one element of a record in the stream; exactly one field is set.
type Item struct {
	Lease     *gate.LeaseRecord     `json:"lease,omitempty"`
	Stop      *RolloutStop          `json:"stop,omitempty"`
	Suspicion *quarantine.Suspicion `json:"suspicion,omitempty"`
}

// Stream tails the fleet stream and appends to it.
type Stream struct {
	// Apply is called for each item with the offset and the log time of its record.
	Apply func(offset platform.Offset, at clock.Millis, item Item)

	tail          *platform.Tail
	batcher       *platform.Batcher
	recordsMissed atomic.Bool
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
		OnSkip: func(platform.Offset, platform.Offset) { s.recordsMissed.Store(true) },
	}
	return s
}

// Run tails the stream and appends queued items until ctx is done.
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

// ReadStatus reports whether the stream was read to its end, and whether no record
// had expired before it was read.
func (s *Stream) ReadStatus() (caughtUp, complete bool) {
	_, caughtUp = s.tail.Age()
	return caughtUp, !s.recordsMissed.Load()
}

// Append queues an item. The returned channel receives the result of the append.
func (s *Stream) Append(item Item) <-chan error {
	data, err := json.Marshal(item)
	if err != nil {
		done := make(chan error, 1)
		done <- err
		return done
	}
	return s.batcher.Add(data)
}
