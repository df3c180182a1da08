package applog

import (
	"context"
	"errors"
	"sync"

	"foxtailbridge/link/platform"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
)

// Faults are the failures that the log brings about.
type Faults struct {
	// Outage refuses every call.
	Outage bool `json:"outage"`
	// Delay is added to each append.
	Delay clock.Millis `json:"delay-ms"`
	// LoseResponses is how many appends take effect and report failure.
	LoseResponses int `json:"lose-answers"`
	// LateAppends is how many appends report failure and take effect after LateBy.
	LateAppends     int          `json:"land-late"`
	LateAppendDelay clock.Millis `json:"late-by-ms"`
}

var errFault = errors.New("fault switched on")

// Log keeps streams of records in memory.
type Log struct {
	clock     *clock.Clock
	retention clock.Millis

	mu      sync.Mutex
	streams map[platform.Stream]*stream
	faults  Faults
	appends int
}

type stream struct {
	first   platform.Offset
	records []platform.Record
	changed chan struct{}
}

// DefaultRetention is how long records are kept.
const DefaultRetention = clock.Hour

// New returns an empty Log that keeps records for the retention time.
func New(c *clock.Clock, retention clock.Millis) *Log {
	return &Log{clock: c, retention: retention, streams: map[platform.Stream]*stream{}}
}

// Client returns a client that calls the log directly.
func (l *Log) Client() *platform.Log {
	return &platform.Log{Append: l.Append, Read: l.Read}
}

// SetFaults replaces the faults.
func (l *Log) SetFaults(faults Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// Appends returns the number of append calls that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Records returns all retained records of a stream.
func (l *Log) Records(name platform.Stream) []platform.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]platform.Record(nil), l.stream(name).records...)
}

// Append adds a record and returns its offset, subject to the faults.
func (l *Log) Append(ctx context.Context, name platform.Stream, data []byte) (platform.Offset, error) {
	fate := l.drawFate()
	if fate.delay > 0 && l.clock.Sleep(ctx, fate.delay) != nil {
		return 0, fault.New("append", platform.KindUncertain, "%w", ctx.Err())
	}
	switch {
	case fate.outage:
		return 0, fault.New("append", platform.KindUncertain, "outage: %w", errFault)
	case fate.late:
		go l.landLate(name, data, fate.lateBy)
		return 0, fault.New("append", platform.KindUncertain, "answer lost: %w", errFault)
	}
	offset := l.add(name, data)
	if fate.lost {
		return 0, fault.New("append", platform.KindUncertain, "answer lost: %w", errFault)
	}
	return offset, nil
}

type fate struct {
	outage, lost, late bool
	delay, lateBy      clock.Millis
}

func (l *Log) drawFate() fate {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := fate{outage: l.faults.Outage, delay: l.faults.Delay, lateBy: l.faults.LateAppendDelay}
	switch {
	case f.outage:
	case l.faults.LoseResponses > 0:
		l.faults.LoseResponses--
		f.lost = true
	case l.faults.LateAppends > 0:
		l.faults.LateAppends--
		f.late = true
	}
	return f
}

func (l *Log) landLate(name platform.Stream, data []byte, after clock.Millis) {
	if l.clock.Sleep(context.Background(), after) == nil {
		l.add(name, data)
	}
}

func (l *Log) add(name platform.Stream, data []byte) platform.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	s := l.stream(name)
	offset := s.first + platform.Offset(len(s.records))
	record := platform.Record{Offset: offset, AppendedAt: l.clock.Wall(), Data: append([]byte(nil), data...)}
	s.records = append(s.records, record)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// stream returns the named stream without its expired records.
func (l *Log) stream(name platform.Stream) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	expired := 0
	oldest := l.clock.Wall() - l.retention
	for expired < len(s.records) && s.records[expired].AppendedAt < oldest {
		expired++
	}
	s.first += platform.Offset(expired)
	s.records = s.records[expired:]
	return s
}

// Read returns records from the offset on and waits for the first one.
func (l *Log) Read(ctx context.Context, name platform.Stream, from platform.Offset, limit int, wait clock.Millis) (*platform.Batch, error) {
	batch, changed, err := l.readNow(name, from, limit)
	if err != nil || len(batch.Records) > 0 || wait <= 0 {
		return batch, err
	}
	if !waitFor(ctx, l.clock, changed, wait) {
		return batch, nil
	}
	batch, _, err = l.readNow(name, from, limit)
	return batch, err
}

// waitFor reports whether the channel was closed within the span.
func waitFor(ctx context.Context, c *clock.Clock, changed <-chan struct{}, span clock.Millis) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	slept := make(chan struct{})
	go func() {
		defer close(slept)
		_ = c.Sleep(ctx, span)
	}()
	select {
	case <-changed:
		return true
	case <-slept:
		return false
	}
}

func (l *Log) readNow(name platform.Stream, from platform.Offset, limit int) (*platform.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Outage {
		return nil, nil, fault.New("read", platform.KindUncertain, "outage: %w", errFault)
	}
	s := l.stream(name)
	batch := &platform.Batch{
		First:   s.first,
		End:     s.first + platform.Offset(len(s.records)),
		LogTime: l.clock.Wall(),
	}
	start := max(0, int(from-s.first))
	if start < len(s.records) {
		end := min(len(s.records), start+max(1, limit))
		batch.Records = append(batch.Records, s.records[start:end]...)
	}
	return batch, s.changed, nil
}
