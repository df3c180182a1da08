package config

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"foxtailbridge/link/platform"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindUncertain means that the ticket may still take effect later.
	KindUncertain Kind = "uncertain"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Source is where a configuration change came from.
type Source string

// Sources of changes.
const (
	SourceLog  Source = "log"
	SourcePeer Source = "peer"
)

// Defaults of a Store.
const (
	// DefaultFreshnessTTL is how long a confirmation that the view is current stays valid.
	DefaultFreshnessTTL = 2 * clock.Second
	// DefaultRetention is how long the log is assumed to retain records.
	DefaultRetention = clock.Hour
	// snapshotDivisor sets when a snapshot is due: after retention / snapshotDivisor.
	snapshotDivisor = 4
	// publishTimeout limits how long Publish waits until the ticket is read back.
	publishTimeout       = 5 * clock.Second
	publishRetryInterval = 200 * clock.Millis(1)
	snapshotCheckPeriod  = clock.Second
)

// Store holds the configuration of one instance.
type Store struct {
	// OnChange is called after changes have taken effect; it may be nil.
	OnChange func(source Source)
	// Rank returns this instance's rank among the live instances, starting at 0.
	Rank func() int

	zone               ticket.ZoneName
	clock              *clock.Clock
	log                *platform.Log
	logger             hclog.Logger
	retention          clock.Millis
	state              *ticket.State
	tail               *platform.Tail
	skipFreshnessCheck bool

	mu               sync.Mutex
	zoneConfirmedAt  map[ticket.ZoneName]clock.Millis
	pendingPublishes map[string]platform.Offset
	lastSnapshot     clock.Millis
	lastRecordAt     clock.Millis
	loadedFromPeer   bool
}

// New returns an empty Store for an instance in the given zone.
func New(zone ticket.ZoneName, log *platform.Log, c *clock.Clock, logger hclog.Logger, opts ...Option) *Store {
	s := &Store{
		Rank:             func() int { return 0 },
		zone:             zone,
		clock:            c,
		log:              log,
		logger:           logger.Named("config"),
		retention:        DefaultRetention,
		state:            ticket.NewState(),
		zoneConfirmedAt:  map[ticket.ZoneName]clock.Millis{},
		pendingPublishes: map[string]platform.Offset{},
	}
	for _, opt := range opts {
		opt(s)
	}
	s.tail = &platform.Tail{Log: log, Stream: platform.StreamConfig, Clock: c, Apply: s.apply}
	return s
}

// Option configures a Store.
type Option func(*Store)

// WithRetention sets how long the log is assumed to retain records.
func WithRetention(retention clock.Millis) Option {
	return func(s *Store) { s.retention = retention }
}

// WithoutFreshnessCheck treats every view as fresh. It exists so that tests can
// compare with this unsafe variant.
func WithoutFreshnessCheck() Option {
	return func(s *Store) { s.skipFreshnessCheck = true }
}

// Run follows the log, and republishes the state as a snapshot before its records
// expire, until ctx is done.
func (s *Store) Run(ctx context.Context) {
	go s.tail.Run(ctx)
	for s.clock.Sleep(ctx, snapshotCheckPeriod) == nil {
		s.PublishSnapshotIfDue(ctx)
	}
}

// Poll reads the log once.
func (s *Store) Poll(ctx context.Context) error {
	return s.tail.Poll(ctx, 0)
}

// View returns the configuration in force.
func (s *Store) View() *ticket.View {
	return s.state.View()
}

// Entries returns the current entry of every object.
func (s *Store) Entries() []ticket.Entry {
	return s.state.Entries()
}

func (s *Store) apply(record platform.Record) {
	changed, err := s.state.ApplyRecord(record.Offset, record.Data)
	if err != nil {
		s.logger.Warn("record-skipped", "offset", record.Offset, "error", err)
	}
	s.recordProgress(record)
	s.notifyChange(changed, SourceLog)
}

// recordProgress records the offset of a pending publish once it is read back, and the
// time of the last snapshot, or of the first record read if there was no snapshot.
func (s *Store) recordProgress(record platform.Record) {
	var published ticket.Record
	if json.Unmarshal(record.Data, &published) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRecordAt = record.AppendedAt
	if published.Snapshot != nil || s.lastSnapshot == 0 {
		s.lastSnapshot = record.AppendedAt
	}
	if _, pending := s.pendingPublishes[published.Nonce]; pending {
		s.pendingPublishes[published.Nonce] = record.Offset
	}
}

func (s *Store) notifyChange(changed []ticket.Entry, source Source) {
	if len(changed) == 0 {
		return
	}
	for _, e := range changed {
		s.logger.Info("config-in-force", "kind", e.Kind, "name", e.Name,
			"ticket", e.Number, "offset", e.Offset, "source", source)
	}
	if s.OnChange != nil {
		s.OnChange(source)
	}
}

// MergePeer merges the entries of a peer. The result is complete enough to serve from
// if that peer has itself read the log.
func (s *Store) MergePeer(entries []ticket.Entry, peerReadLog bool) {
	changed := s.state.Merge(entries)
	s.mu.Lock()
	s.loadedFromPeer = s.loadedFromPeer || peerReadLog
	s.mu.Unlock()
	s.notifyChange(changed, SourcePeer)
}

// ConfirmZone records that an instance in the zone compared its state with this
// instance's in a sync that started at the given monotonic time.
func (s *Store) ConfirmZone(zone ticket.ZoneName, startedAt clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.zoneConfirmedAt[zone] = max(s.zoneConfirmedAt[zone], startedAt)
}

// Freshness reports whether the log was read to its end recently, and which zones
// confirmed the view recently.
func (s *Store) Freshness() *routing.Freshness {
	age, read := s.tail.Age()
	freshness := &routing.Freshness{Zone: s.zone, ConfigFresh: s.skipFreshnessCheck || read && age <= DefaultFreshnessTTL}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Mono()
	for zone, at := range s.zoneConfirmedAt {
		if now-at <= DefaultFreshnessTTL {
			if freshness.FreshZones == nil {
				freshness.FreshZones = map[ticket.ZoneName]bool{}
			}
			freshness.FreshZones[zone] = true
		}
	}
	return freshness
}

// LogAge returns how long ago the log was read to its end, or -1 if never.
func (s *Store) LogAge() clock.Millis {
	age, read := s.tail.Age()
	if !read {
		return -1
	}
	return age
}

// Ready reports whether the instance has a configuration to serve from, read from the
// log or from a peer that has read it.
func (s *Store) Ready() bool {
	_, read := s.tail.Age()
	s.mu.Lock()
	defer s.mu.Unlock()
	return read || s.loadedFromPeer
}

// Publish appends a ticket to the log and waits until it is read back. If the response
// to an append is lost, it retries: reading the log shows whether an append succeeded,
// and appending the same ticket again is idempotent.
func (s *Store) Publish(ctx context.Context, t *ticket.Ticket) (platform.Offset, error) {
	record := ticket.Record{Nonce: uuid.NewString(), Ticket: t}
	data, err := json.Marshal(record)
	if err != nil {
		return 0, fault.New("publish", KindUncertain, "%w", err)
	}
	const unread = platform.Offset(-1)
	s.setPublishOffset(record.Nonce, unread)
	defer s.removePublish(record.Nonce)
	deadline := s.clock.Mono() + publishTimeout
	var appendErr error
	appended := false
	for s.clock.Mono() < deadline {
		if !appended {
			_, appendErr = s.log.Append(ctx, platform.StreamConfig, data)
			appended = appendErr == nil
		}
		if at := s.publishOffset(record.Nonce); at != unread {
			return at, nil
		}
		s.waitForRead(ctx)
		if ctx.Err() != nil {
			break
		}
	}
	return 0, fault.New("publish", KindUncertain, "ticket %d was not read back: %w", t.Number, appendErr)
}

// waitForRead waits until the tail has read from the log, for publishRetryInterval at most.
func (s *Store) waitForRead(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, publishRetryInterval.Duration())
	defer cancel()
	select {
	case <-s.tail.Changed():
	case <-ctx.Done():
	}
}

func (s *Store) setPublishOffset(nonce string, at platform.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingPublishes[nonce] = at
}

func (s *Store) publishOffset(nonce string) platform.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pendingPublishes[nonce]
}

func (s *Store) removePublish(nonce string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pendingPublishes, nonce)
}

// PublishSnapshotIfDue publishes a snapshot if the log may soon expire part of the
// state. The delay grows with the instance's rank, so that usually only one publishes.
func (s *Store) PublishSnapshotIfDue(ctx context.Context) {
	if !s.snapshotDue() {
		return
	}
	record := ticket.Record{Nonce: uuid.NewString(), Snapshot: s.state.Entries()}
	data, err := json.Marshal(record)
	if err != nil {
		return
	}
	offset, err := s.log.Append(ctx, platform.StreamConfig, data)
	s.logger.Info("snapshot-published", "objects", len(record.Snapshot), "offset", offset, "error", err)
}

func (s *Store) snapshotDue() bool {
	if _, read := s.tail.Age(); !read || s.View().ObjectCount() == 0 {
		return false
	}
	rankDelay := clock.Millis(s.Rank()) * 5 * snapshotCheckPeriod
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Wall()-s.lastSnapshot > s.retention/snapshotDivisor+rankDelay
}
