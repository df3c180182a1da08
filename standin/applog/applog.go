package applog

import (
	"context"
	"errors"
	"sync"

	"foxtailbridge/link/platform"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
)

// Faults are the failures that the log injects.
type Faults struct {
	// Outage makes every call fail.
	Outage bool `json:"outage"`
	// Delay is added to the latency of each append.
	Delay clock.Millis `json:"delay-ms"`
	// LoseResponses is how many of the next appends succeed but report failure.
	LoseResponses int `json:"lose-answers"`
	// LateAppends is how many of the next appends report failure but succeed after
	// LateAppendDelay.
	LateAppends     int          `json:"land-late"`
	LateAppendDelay clock.Millis `json:"late-by-ms"`
}

var errInjected = errors.New("injected fault")

// Log stores streams of records in memory.
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

// DefaultRetention is how long records are retained.
const DefaultRetention = clock.Hour

// New returns an empty Log that retains records for the given time.
func New(c *clock.Clock, retention clock.Millis) *Log {
	return &Log{clock: c, retention: retention, streams: map[platform.Stream]*stream{}}
}

// Client returns a client that calls the log in process.
func (l *Log) Client() *platform.Log {
	return &platform.Log{Append: l.Append, Read: l.Read}
}

// SetFaults replaces the injected faults.
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

// Append adds a record and returns its offset, unless a fault is injected.
func (l *Log) Append(ctx context.Context, name platform.Stream, data []byte) (platform.Offset, error) {
	faults := l.takeAppendFaults()
	if faults.delay > 0 && l.clock.Sleep(ctx, faults.delay) != nil {
		return 0, fault.New("append", platform.KindUncertain, "%w", ctx.Err())
	}
	switch {
	case faults.outage:
		return 0, fault.New("append", platform.KindUncertain, "outage: %w", errInjected)
	case faults.applyLate:
		go l.addAfter(name, data, faults.lateDelay)
		return 0, fault.New("append", platform.KindUncertain, "response lost: %w", errInjected)
	}
	offset := l.add(name, data)
	if faults.loseResponse {
		return 0, fault.New("append", platform.KindUncertain, "response lost: %w", errInjected)
	}
	return offset, nil
}

type appendFaults struct {
	outage, loseResponse, applyLate bool
	delay, lateDelay                clock.Millis
}

func (l *Log) takeAppendFaults() appendFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := appendFaults{outage: l.faults.Outage, delay: l.faults.Delay, lateDelay: l.faults.LateAppendDelay}
	switch {
	case taken.outage:
	case l.faults.LoseResponses > 0:
		l.faults.LoseResponses--
		taken.loseResponse = true
	case l.faults.LateAppends > 0:
		l.faults.LateAppends--
		taken.applyLate = true
	}
	return taken
}

func (l *Log) addAfter(name platform.Stream, data []byte, after clock.Millis) {
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

// Read returns up to limit records starting at the offset. If there are none, it waits
// for the next one for the given time.
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

// waitFor reports whether the channel was closed before the timeout.
func waitFor(ctx context.Context, c *clock.Clock, changed <-chan struct{}, timeout clock.Millis) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timedOut := make(chan struct{})
	go func() {
		defer close(timedOut)
		_ = c.Sleep(ctx, timeout)
	}()
	select {
	case <-changed:
		return true
	case <-timedOut:
		return false
	}
}

func (l *Log) readNow(name platform.Stream, from platform.Offset, limit int) (*platform.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Outage {
		return nil, nil, fault.New("read", platform.KindUncertain, "outage: %w", errInjected)
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
