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
	// KindUncertain means that the ticket may come into force later.
	KindUncertain Kind = "uncertain"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Source says how a change reached this instance.
type Source string

// Sources of changes.
const (
	SourceLog  Source = "log"
	SourcePeer Source = "peer"
)

// Defaults of a Store.
const (
	// DefaultFreshnessTTL is how long a confirmation of the view counts.
	DefaultFreshnessTTL = 2 * clock.Second
	// DefaultRetention is how long the log is taken to keep records.
	DefaultRetention = clock.Hour
	// snapshotShare is the part of the retention after which a snapshot is due.
	snapshotShare = 4
	// publishWait bounds the wait for a published ticket to be read back.
	publishWait  = 5 * clock.Second
	publishRetry = 200 * clock.Millis(1)
	upkeepPeriod = clock.Second
)

// Store holds the configuration of one instance.
type Store struct {
	// OnChange is called after changes took effect; it may be nil.
	OnChange func(source Source)
	// Rank returns this instance's place among the live instances, 0 first.
	Rank func() int

	zone      ticket.ZoneName
	clock     *clock.Clock
	log       *platform.Log
	logger    hclog.Logger
	retention clock.Millis
	state     *ticket.State
	tail      *platform.Tail
	trusting  bool

	mu        sync.Mutex
	confirmed map[ticket.ZoneName]clock.Millis
	published map[string]platform.Offset
	covered   clock.Millis
	logNow    clock.Millis
	fromPeer  bool
}

// New returns an empty Store for an instance in the zone.
func New(zone ticket.ZoneName, log *platform.Log, c *clock.Clock, logger hclog.Logger, opts ...Option) *Store {
	s := &Store{
		Rank:      func() int { return 0 },
		zone:      zone,
		clock:     c,
		log:       log,
		logger:    logger.Named("config"),
		retention: DefaultRetention,
		state:     ticket.NewState(),
		confirmed: map[ticket.ZoneName]clock.Millis{},
		published: map[string]platform.Offset{},
	}
	for _, opt := range opts {
		opt(s)
	}
	s.tail = &platform.Tail{Log: log, Stream: platform.StreamConfig, Clock: c, Apply: s.apply}
	return s
}

// Option changes a Store.
type Option func(*Store)

// WithRetention sets how long the log keeps records.
func WithRetention(span clock.Millis) Option {
	return func(s *Store) { s.retention = span }
}

// WithoutFreshnessCheck takes every view for confirmed. It is the naive rule that
// the tests compare with.
func WithoutFreshnessCheck() Option {
	return func(s *Store) { s.trusting = true }
}

// Run follows the log and republishes the state before it expires, until ctx ends.
func (s *Store) Run(ctx context.Context) {
	go s.tail.Run(ctx)
	for s.clock.Sleep(ctx, upkeepPeriod) == nil {
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

// Entries returns the whole state.
func (s *Store) Entries() []ticket.Entry {
	return s.state.Entries()
}

func (s *Store) apply(record platform.Record) {
	changed, err := s.state.ApplyRecord(record.Offset, record.Data)
	if err != nil {
		s.logger.Warn("record-skipped", "offset", record.Offset, "error", err)
	}
	s.note(record)
	s.announce(changed, SourceLog)
}

// note remembers which publications were read and how long the log covers the state.
func (s *Store) note(record platform.Record) {
	var published ticket.Record
	if json.Unmarshal(record.Data, &published) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logNow = record.AppendedAt
	if published.Snapshot != nil || s.covered == 0 {
		s.covered = record.AppendedAt
	}
	if _, waiting := s.published[published.Nonce]; waiting {
		s.published[published.Nonce] = record.Offset
	}
}

func (s *Store) announce(changed []ticket.Entry, source Source) {
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

// MergePeer takes the state of another instance. The state counts as complete
// enough to serve from if that instance has itself read the log.
func (s *Store) MergePeer(entries []ticket.Entry, peerRead bool) {
	changed := s.state.Merge(entries)
	s.mu.Lock()
	s.fromPeer = s.fromPeer || peerRead
	s.mu.Unlock()
	s.announce(changed, SourcePeer)
}

// ConfirmZone notes that an instance in the zone compared its state with this
// one, in an exchange that began at the monotonic time.
func (s *Store) ConfirmZone(zone ticket.ZoneName, began clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmed[zone] = max(s.confirmed[zone], began)
}

// Freshness returns how well the view is confirmed now.
func (s *Store) Freshness() *routing.Freshness {
	age, read := s.tail.Age()
	fresh := &routing.Freshness{Zone: s.zone, ConfigFresh: s.trusting || read && age <= DefaultFreshnessTTL}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Mono()
	for zone, at := range s.confirmed {
		if now-at <= DefaultFreshnessTTL {
			if fresh.FreshZones == nil {
				fresh.FreshZones = map[ticket.ZoneName]bool{}
			}
			fresh.FreshZones[zone] = true
		}
	}
	return fresh
}

// LogAge returns how long ago the log was read to its end, or -1 if never.
func (s *Store) LogAge() clock.Millis {
	age, read := s.tail.Age()
	if !read {
		return -1
	}
	return age
}

// Ready reports whether the instance holds a configuration to serve from.
func (s *Store) Ready() bool {
	_, read := s.tail.Age()
	s.mu.Lock()
	defer s.mu.Unlock()
	return read || s.fromPeer
}

// Publish appends a ticket and waits until it is read back; a lost answer is
// settled by reading, and a repeated append of the same ticket changes nothing.
func (s *Store) Publish(ctx context.Context, t *ticket.Ticket) (platform.Offset, error) {
	record := ticket.Record{Nonce: uuid.NewString(), Ticket: t}
	data, err := json.Marshal(record)
	if err != nil {
		return 0, fault.New("publish", KindUncertain, "%w", err)
	}
	const unread = platform.Offset(-1)
	s.setPublished(record.Nonce, unread)
	defer s.forgetPublished(record.Nonce)
	end := s.clock.Mono() + publishWait
	var appendErr error
	appended := false
	for s.clock.Mono() < end {
		if !appended {
			_, appendErr = s.log.Append(ctx, platform.StreamConfig, data)
			appended = appendErr == nil
		}
		if at := s.publishedAt(record.Nonce); at != unread {
			return at, nil
		}
		s.awaitRead(ctx)
		if ctx.Err() != nil {
			break
		}
	}
	return 0, fault.New("publish", KindUncertain, "ticket %d was not read back: %w", t.Number, appendErr)
}

// awaitRead waits for the next read of the log, or briefly.
func (s *Store) awaitRead(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, publishRetry.Duration())
	defer cancel()
	select {
	case <-s.tail.Changed():
	case <-ctx.Done():
	}
}

func (s *Store) setPublished(nonce string, at platform.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.published[nonce] = at
}

func (s *Store) publishedAt(nonce string) platform.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.published[nonce]
}

func (s *Store) forgetPublished(nonce string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.published, nonce)
}

// PublishSnapshotIfDue publishes a snapshot if the log will soon forget part of the state.
// Instances wait in turn of their rank, so that usually one publishes.
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
	turn := clock.Millis(s.Rank()) * 5 * upkeepPeriod
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Wall()-s.covered > s.retention/snapshotShare+turn
}
