package registry

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"

	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
)

// recordID identifies a record across feeds.
type recordID struct {
	feed Feed
	key  string
}

// entry is a record with its decoded content.
type entry struct {
	record Record
	object Object
	// firstSeen is the monotonic time at which any instance first saw the record.
	firstSeen clock.Millis
	// expired is true for the tombstone of an endpoint whose entry may merely have expired
	// during a store outage. The endpoint stays in the view until the grace period ends, so the
	// tombstone keeps the value of the last live record.
	expired bool
	// sequence is the sequence number of the endpoint's last heartbeat.
	sequence int64
	// replaced is the value of the key's record before this one, or nil.
	replaced []byte
	// base is the record that the store has under the key, if this one stays in force although the
	// store came back without it, or nil.
	base *entry
}

// State is the view with its version, by which readers can cache what they derive from it.
type State struct {
	catalog.View
	// Version increases with each change.
	Version uint64
	// Statuses holds the last known state of each service's roll-out.
	Statuses map[ticket.ServiceName]Status
}

// Registry caches the latest record of each key. It merges new ones by position, that is by the store's
// era and then by offset, and configurations by revision and then by position. Merging is commutative and
// idempotent within an era.
type Registry struct {
	// Decode decodes a record. Records for which it returns an error are skipped.
	Decode func(*Record) (Object, error)
	// OnChange is called after the view changed, with the feeds that changed.
	OnChange func(feeds []Feed)

	clock  *clock.Clock
	logger hclog.Logger
	opts   options
	view   atomic.Pointer[State]

	mu      sync.Mutex
	entries map[recordID]*entry
	// config is the entry of the configuration in force, or nil.
	config *entry
	// ignoredConfigUpTo is the latest position of an ignored record of the configuration that was
	// logged. Several peers send the same record.
	ignoredConfigUpTo Position
	heads             map[Feed]Position
	// listedUpTo is the head of the last full listing merged. Keys deleted before it have
	// no tombstone here.
	listedUpTo map[Feed]Position
	// era is the highest known era of the store, eraKnownAt the monotonic time since which it is known.
	era        Era
	eraKnownAt clock.Millis
	// adoptedAt is the monotonic time at which a feed moved on to its present era.
	adoptedAt map[Feed]clock.Millis
	// removals holds the recent removals of endpoints by key.
	removals map[string]*removal
	// confirmed is when the store last confirmed that it held nothing newer.
	confirmed map[Feed]clock.Millis
	// recoveredAt is when the store last became readable again after an outage.
	recoveredAt clock.Millis
	// zoneColdUntil is the time until which a zone's endpoints count as cold after its
	// drain ended.
	zoneColdUntil map[ticket.ZoneName]clock.Millis
	version       uint64
}

// New returns an empty Registry.
func New(c *clock.Clock, logger hclog.Logger, opts ...Option) *Registry {
	r := &Registry{
		OnChange:      func([]Feed) {},
		clock:         c,
		logger:        logger.Named("registry"),
		opts:          defaultOptions(),
		entries:       map[recordID]*entry{},
		heads:         map[Feed]Position{},
		listedUpTo:    map[Feed]Position{},
		adoptedAt:     map[Feed]clock.Millis{},
		removals:      map[string]*removal{},
		confirmed:     map[Feed]clock.Millis{},
		zoneColdUntil: map[ticket.ZoneName]clock.Millis{},
	}
	for _, opt := range opts {
		opt(&r.opts)
	}
	r.recoveredAt = -r.opts.expiryGrace // No store outage has been seen in this run.
	r.view.Store(&State{})
	return r
}

// View returns the current view. Its Config is nil until the first configuration is known.
func (r *Registry) View() *State {
	return r.view.Load()
}

// Head returns the position after the last known record of a feed, and whether the
// feed was ever read.
func (r *Registry) Head(feed Feed) (Position, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	head, ok := r.heads[feed]
	return head, ok
}

// Heads returns the heads of all feeds that were ever read, see Head.
func (r *Registry) Heads() map[Feed]Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.heads)
}

// Age returns the time since the store last confirmed the view of a feed.
func (r *Registry) Age(feed Feed) clock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.age(feed)
}

// NeverConfirmed is the age of a feed that the store has not confirmed in this run or
// since the last call of MarkStale.
const NeverConfirmed = clock.Hour

func (r *Registry) age(feed Feed) clock.Millis {
	at, ok := r.confirmed[feed]
	if !ok {
		return NeverConfirmed
	}
	return r.clock.Mono() - at
}

// MarkStale discards the confirmations of all feeds, after this process was suspended.
func (r *Registry) MarkStale() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.confirmed)
}

// Batch is a set of records of one feed and the range of offsets that it covers in an era.
type Batch struct {
	Feed    Feed     `json:"Feed"`
	Records []Record `json:"Records"`
	// Era is the era of From and Head. Records of earlier eras are those that were not written again yet.
	Era Era `json:"era,omitempty"`
	// From is the first offset covered: no record from there up to Head is missing.
	From Offset `json:"From"`
	// Head is the offset after the last one covered.
	Head Offset `json:"Head"`
	// Age is the time since the store confirmed the batch.
	Age clock.Millis `json:"Age"`
	// Full is true for a listing of all keys: keys that are not in it do not exist.
	Full bool `json:"Whole"`
	// Compacted is true if the batch has only the latest record of each key.
	Compacted bool `json:"compacted,omitempty"`
	// Source names the origin of the batch in log lines.
	Source string `json:"Source"`
}

// head returns the position after the last one covered.
func (b *Batch) head() Position {
	return Position{Era: b.Era, Offset: b.Head}
}

// hasPossibleEras reports whether the batch and its records can be of their eras. Only a malformed
// message has others, and would keep its receiver from reading the store.
func (b *Batch) hasPossibleEras() bool {
	if b.Era < 0 || b.Era > MaxEra {
		return false
	}
	return !slices.ContainsFunc(b.Records, func(r Record) bool { return r.Era < 0 || r.Era > b.Era })
}

// Merge merges a batch and reports whether the view changed.
func (r *Registry) Merge(b Batch) bool {
	if !b.hasPossibleEras() {
		r.logger.Warn("batch-skipped", "feed", b.Feed, "era", b.Era, "source", b.Source)
		return false
	}
	b.Age = max(0, b.Age) // Otherwise the view would look confirmed for some time to come.
	return r.update(b.Feed, func(now clock.Millis) bool { return r.merge(&b, now) })
}

// update applies a change under the lock, given the monotonic time. If apply reports that the view
// changed, it rebuilds the view and calls OnChange with the feed.
func (r *Registry) update(feed Feed, apply func(now clock.Millis) bool) bool {
	r.mu.Lock()
	changed := apply(r.clock.Mono())
	if changed {
		r.rebuild()
	}
	r.mu.Unlock()
	if changed {
		r.OnChange([]Feed{feed})
	}
	return changed
}

func (r *Registry) merge(b *Batch, now clock.Millis) bool {
	r.noteEra(b.Era, b.Source, now)
	head, known := r.heads[b.Feed]
	adopts := known && b.Era > head.Era
	if adopts {
		if !b.Full {
			return false // Only a full listing tells what the new era has.
		}
		r.adopt(b, now)
		head = r.heads[b.Feed]
	}
	changed := adopts && b.Feed == FeedOutcomes
	for i := range b.Records {
		changed = r.mergeRecord(&b.Records[i], b, now) || changed
	}
	if known && b.Era < head.Era {
		return changed
	}
	if b.Full {
		changed = r.deleteMissing(b, now) || changed
		r.listedUpTo[b.Feed] = later(r.listedUpTo[b.Feed], b.head())
	}
	if b.From > head.Offset || !known && b.From > 0 {
		// There is a gap between the known records and the batch.
		return changed
	}
	if !known {
		r.adoptedAt[b.Feed] = now
	}
	if !known || b.Head > head.Offset {
		r.heads[b.Feed] = b.head()
		if b.Feed == FeedEndpoints {
			r.forgetRemovals(now)
			changed = r.removeSuperseded(now, b.Source) || changed
		}
	}
	if b.Head >= head.Offset {
		r.confirm(b.Feed, now-b.Age, now)
	}
	return changed
}

// confirm moves the time of the feed's last confirmation forward. If the endpoints
// were not confirmed for too long, the store counts as just recovered from an outage.
func (r *Registry) confirm(feed Feed, at, now clock.Millis) {
	last, ok := r.confirmed[feed]
	if ok && at <= last {
		return
	}
	if feed == FeedEndpoints && ok && at-last > r.opts.unavailableAfter {
		r.recoveredAt = now
		r.logger.Info("store-returned", "away", at-last, "feed", feed)
	}
	r.confirmed[feed] = at
}

// mergeRecord merges a record of the batch and reports whether the view changed.
func (r *Registry) mergeRecord(record *Record, b *Batch, now clock.Millis) bool {
	key := recordID{b.Feed, record.Key}
	old := r.entries[key]
	older := r.isOlder(old, record, b, now)
	if older && !mayBeConfig(old, record, b.Feed) {
		if old != nil && record.Position() == old.record.Position() {
			return r.adoptEarlierStart(old, record.First, now-record.Age, b.Source)
		}
		return false
	}
	next := &entry{record: *record, firstSeen: now - record.Age}
	next.record.Feed = b.Feed
	if !record.Deleted || len(record.Value) > 0 && b.Feed == FeedEndpoints {
		object, err := r.Decode(&next.record)
		if err != nil {
			r.logger.Warn("record-skipped", "feed", b.Feed, "key", record.Key, "era", record.Era, "offset", record.Offset, "source", b.Source, "error", err)
			if !record.Deleted {
				return false
			}
			next.record.Value = nil
		}
		next.object = object
	}
	if next.object.Config != nil || old != nil && old.object.Config != nil {
		return r.mergeConfig(key, next, b)
	}
	if older {
		return false
	}
	switch b.Feed {
	case FeedEndpoints:
		return r.mergeEndpoint(key, old, next, b.Full || b.Compacted, now)
	case FeedOutcomes:
		return r.mergeStatus(key, old, next, b)
	}
	if old != nil {
		if r.confirmRecord(old, next, now) {
			r.logger.Info("record-confirmed", "feed", b.Feed, "key", key.key, "era", record.Era, "offset", record.Offset, "source", b.Source)
			return false
		}
		if outlasts(old, next) {
			old.base = next
			r.logger.Warn("record-outlasts", "feed", b.Feed, "key", key.key, "era", old.record.Era, "offset", old.record.Offset,
				"listed-era", record.Era, "listed-offset", record.Offset, "source", b.Source)
			return false
		}
		next.replaced = old.record.Value
		r.noteZoneReturn(old, next, now)
	}
	r.take(key, next, b)
	return true
}

// isOlder reports whether a record of the batch precedes what is known of its key.
func (r *Registry) isOlder(old *entry, record *Record, b *Batch, now clock.Millis) bool {
	if old != nil {
		return record.Position().Compare(old.storedAt()) <= 0
	}
	if record.Era < b.Era {
		// No listing tells whether it is written again yet.
		return !r.isRewriting(b.Feed, now)
	}
	// A peer may still have a key that a later full listing lacks.
	listedUpTo := r.listedUpTo[b.Feed]
	return record.Position().Before(listedUpTo) && (!b.Full || b.head().Before(listedUpTo))
}

// noteZoneReturn notes that the endpoints of a zone count as cold if its drain ends with a record.
func (r *Registry) noteZoneReturn(old, next *entry, now clock.Millis) {
	if zone := old.object.ZoneOut; zone != "" && (next == nil || next.record.Deleted) {
		r.zoneColdUntil[zone] = now + r.opts.zoneColdPeriod
	}
}

// take stores an entry from the batch and logs it.
func (r *Registry) take(key recordID, e *entry, b *Batch) {
	r.entries[key] = e
	r.logger.Info("record-taken", "feed", b.Feed, "key", key.key, "era", e.record.Era, "offset", e.record.Offset, "gone", e.record.Deleted, "age-ms", int64(e.record.Age+b.Age), "source", b.Source)
}

// mergeEndpoint merges an endpoint's record. Of several heartbeats in the log with the same
// content it keeps the first, so that the others are not passed on to peers. A compacted batch
// may lack a tombstone between them.
func (r *Registry) mergeEndpoint(key recordID, old, next *entry, compacted bool, now clock.Millis) bool {
	if next.record.Deleted {
		return r.deleteEndpoint(key, old, next, now)
	}
	e := next.object.Endpoint
	if e == nil {
		return false
	}
	next.sequence = e.Sequence
	if m := r.removals[key.key]; m != nil && m.supersedes(next.heartbeat()) {
		r.logger.Warn("beat-is-late", "endpoint", key.key, "born", e.StartedAt, "sequence", e.Sequence, "offset", next.record.Offset,
			"removed-sequence", m.Sequence, "removed-ms", int64(now-m.firstSeen))
		return false
	}
	if old != nil && old.object.Endpoint != nil {
		if next.heartbeat().compare(old.heartbeat()) < 0 {
			r.logger.Warn("beat-is-old", "endpoint", key.key, "born", e.StartedAt, "sequence", e.Sequence, "known-sequence", old.sequence)
			if next.record.Era > old.record.Era {
				old.record.Era, old.record.Offset = next.record.Era, next.record.Offset
			}
			return false
		}
		if !old.record.Deleted && sameExceptWarmup(old.object.Endpoint, e) {
			old.sequence = e.Sequence
			if compacted || next.record.Era > old.record.Era {
				// The endpoint may have been removed and come back since the first heartbeat.
				old.record.Era, old.record.Offset, old.record.Value = next.record.Era, next.record.Offset, next.record.Value
			}
			return false
		}
	}
	r.entries[key] = next
	r.logger.Info("endpoint-changed", "endpoint", e.ID, "service", e.Service, "zone", e.Zone, "release", e.Release,
		"leaving", e.Draining, "cold-ms", int64(e.ColdFor), "born", int64(e.StartedAt), "sequence", e.Sequence, "era", next.record.Era, "offset", next.record.Offset, "age-ms", int64(now-next.firstSeen))
	return true
}

// deleteEndpoint merges the tombstone of an endpoint's record. Whether the endpoint left or its
// entry merely expired during a store outage is each instance's own judgment, so peers receive the
// tombstone in either case.
func (r *Registry) deleteEndpoint(key recordID, old, next *entry, now clock.Millis) bool {
	sinceRecovery, age := now-r.recoveredAt, r.age(FeedEndpoints)
	if old != nil && old.object.Endpoint != nil {
		r.noteRemoval(Removal{Key: key.key, Era: next.record.Era, Offset: next.record.Offset, StartedAt: old.object.Endpoint.StartedAt, Sequence: old.sequence}, now)
	}
	switch {
	case old == nil:
		if e := next.object.Endpoint; e != nil {
			// A peer still uses an endpoint that this instance never knew.
			next.expired, next.sequence = true, e.Sequence
		}
		r.entries[key] = next
		return next.expired
	case old.record.Deleted:
		old.record.Era, old.record.Offset = next.record.Era, next.record.Offset
		return false
	case sinceRecovery < r.opts.expiryGrace || age > r.opts.unavailableAfter:
		// A live endpoint writes a new entry within the grace period.
		next.expired, next.record.Value, next.object, next.sequence = true, old.record.Value, old.object, old.sequence
		r.entries[key] = next
		r.logger.Info("endpoint-lapsed", "endpoint", key.key, "offset", next.record.Offset, "since-returned-ms", int64(sinceRecovery), "view-age-ms", int64(age))
		return false
	}
	r.removeEndpoint(next)
	r.entries[key] = next
	return true
}

// removeEndpoint turns an endpoint's tombstone into one without content.
func (r *Registry) removeEndpoint(tombstone *entry) {
	tombstone.expired, tombstone.record.Value, tombstone.object = false, nil, Object{}
	r.logger.Info("endpoint-gone", "endpoint", tombstone.record.Key, "offset", tombstone.record.Offset, "lapsed-ms", int64(r.clock.Mono()-tombstone.firstSeen))
}

// sameExceptWarmup reports whether two states of an endpoint differ at most in the
// remaining cold time, which must not have grown.
func sameExceptWarmup(a, b *catalog.Endpoint) bool {
	x, y := *a, *b
	if x.ColdFor > 0 && y.ColdFor > 0 && y.ColdFor <= x.ColdFor || x.ColdFor > 0 && y.ColdFor == 0 {
		x.ColdFor, y.ColdFor = 0, 0
	}
	return x.EqualExceptSequence(&y)
}

// deleteMissing deletes the keys that a full listing lacks or has as deleted, unless their
// records are newer than the listing. Those of an earlier era may still be written again.
func (r *Registry) deleteMissing(b *Batch, now clock.Millis) bool {
	present := map[string]bool{}
	for i := range b.Records {
		present[b.Records[i].Key] = present[b.Records[i].Key] || !b.Records[i].Deleted && b.Records[i].Era == b.Era
	}
	changed := false
	for key, old := range r.entries {
		if key.feed != b.Feed || present[key.key] || old.record.Deleted || !old.record.Position().Before(b.head()) {
			continue
		}
		if old.record.Era < b.Era {
			old.base = nil
			continue
		}
		tombstone := Record{Feed: b.Feed, Key: key.key, Era: b.Era, Offset: b.Head - 1, Deleted: true}
		if tombstone.Offset <= old.record.Offset {
			tombstone.Offset = old.record.Offset + 1
		}
		changed = r.mergeRecord(&tombstone, b, now) || changed
	}
	return changed
}

// RemoveExpired removes endpoints whose entries expired during a store outage and that did
// not write new ones within the grace period after the recovery, and the records that a new era
// of the store lacks and that were not written again in time.
func (r *Registry) RemoveExpired() {
	r.update(FeedOrders, func(now clock.Millis) bool { return r.removeLapsed(FeedOrders, rewriteGrace, now) })
	r.update(FeedEndpoints, func(now clock.Millis) bool {
		changed := r.removeLapsed(FeedEndpoints, r.opts.expiryGrace, now)
		for _, e := range r.entries {
			if !e.expired {
				continue
			}
			since := e.firstSeen
			if r.recoveredAt > since-r.opts.expiryGrace {
				since = r.recoveredAt // Endpoints write new entries as soon as they reach the store.
			}
			if r.age(FeedEndpoints) > r.opts.unavailableAfter || now-since < r.opts.expiryGrace {
				continue
			}
			r.removeEndpoint(e)
			changed = true
		}
		return changed
	})
}

// Since returns the records that another instance with the given heads and configuration lacks,
// oldest first. A nil config means that it is not known which configuration the other one has.
func (r *Registry) Since(heads map[Feed]Position, config *ConfigID) []Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Mono()
	var batches []Batch
	for _, feed := range Feeds {
		head, ok := r.heads[feed]
		if !ok {
			continue
		}
		from, known := heads[feed]
		b := Batch{Feed: feed, Era: head.Era, Head: head.Offset, Age: r.age(feed), Compacted: true}
		switch {
		case known && from.Era > head.Era:
			// The other instance knows better.
		case from.Before(r.listedUpTo[feed]) || known && from.Era < head.Era:
			// Keys deleted since then are not known here, so send all that remain; also to a
			// receiver that knows nothing, which may get such a key from a third instance.
			b.Records, b.Full = r.recordsFrom(feed, Position{}, false, now), true
		case !known || from.Before(head) || feed == FeedOrders && head.Era > 0 && r.isRewriting(feed, now):
			b.Records = r.recordsFrom(feed, from, known, now)
		}
		if known && !b.Full {
			b.From = min(from.Offset, head.Offset)
		}
		if feed == FeedOrders && config != nil {
			b.Records = r.withConfig(b.Records, *config, now)
		}
		batches = append(batches, b)
	}
	return batches
}

// recordsFrom returns the records of a feed from a position on, or all if known is false. Lost
// records of operators are among them, as a receiver that is past them may not know them.
func (r *Registry) recordsFrom(feed Feed, from Position, known bool, now clock.Millis) []Record {
	var records []Record
	for key, e := range r.entries {
		if key.feed != feed {
			continue
		}
		for ; e != nil; e = e.base {
			if !known || !e.record.Position().Before(from) || feed == FeedOrders && r.inEarlierEra(e) {
				records = append(records, e.recordAt(now))
			}
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return a.Position().Compare(b.Position()) })
	return records
}

// recordAt returns the entry's record with its age at the given time.
func (e *entry) recordAt(now clock.Millis) Record {
	record := e.record
	record.Age = now - e.firstSeen
	return record
}

// rebuild replaces the view with a new one built from all entries.
func (r *Registry) rebuild() {
	r.version++
	s := &State{
		View: catalog.View{
			Endpoints:     map[ticket.ServiceName][]*catalog.Endpoint{},
			Orders:        map[ticket.ServiceName]*catalog.Order{},
			DrainedZones:  map[ticket.ZoneName]bool{},
			ZoneColdUntil: maps.Clone(r.zoneColdUntil),
		},
		Version:  r.version,
		Statuses: map[ticket.ServiceName]Status{},
	}
	for _, e := range r.entries {
		if e.record.Deleted && !e.expired {
			continue
		}
		switch {
		case e.object.Endpoint != nil:
			service := e.object.Endpoint.Service
			s.Endpoints[service] = append(s.Endpoints[service], e.object.Endpoint)
		case e.object.Order != nil:
			order := *e.object.Order
			order.StartedAt = e.firstSeen
			s.Orders[order.Service] = &order
		case e.object.ZoneOut != "":
			s.DrainedZones[e.object.ZoneOut] = true
		case e.object.Status != nil:
			status := *e.object.Status
			status.Lost = r.isLost(e)
			s.Statuses[status.Service] = status
		}
	}
	for _, list := range s.Endpoints {
		slices.SortFunc(list, func(a, b *catalog.Endpoint) int {
			return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartedAt, b.StartedAt))
		})
	}
	if r.config != nil {
		s.Config = r.config.object.Config
	}
	r.view.Store(s)
}
