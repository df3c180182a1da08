package registry

import (
	"bytes"
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

type id struct {
	feed Feed
	key  string
}

// entry is a record with what it says.
type entry struct {
	record Record
	fact   Object
	// seen is the monotonic time at which any instance first had the record.
	seen clock.Millis
	// lapsed is when the key went missing while the store was not dependable.
	lapsed clock.Millis
	// sequence is that of the endpoint's last entry.
	sequence int64
}

// State is the view with its version, for readers that keep what they derive from it.
type State struct {
	catalog.View
	// Version grows with each change.
	Version uint64
	// Statuses holds the last known state of each service's roll-out.
	Statuses map[ticket.ServiceName]Status
}

// Registry merges records by offset; merging is commutative and idempotent.
type Registry struct {
	// Decode returns what a record says; an error means that it says nothing usable.
	Decode func(*Record) (Object, error)
	// OnChange is called after the view changed, with the feeds that did.
	OnChange func(feeds []Feed)

	clock  *clock.Clock
	logger hclog.Logger
	opts   options
	view   atomic.Pointer[State]

	mu      sync.Mutex
	entries map[id]*entry
	heads   map[Feed]Offset
	// listed is the head of the last whole listing taken: of keys that were dropped
	// before it nothing is known here.
	listed map[Feed]Offset
	// confirmed is when the store was last known to hold nothing newer.
	confirmed map[Feed]clock.Millis
	// returned is when the store became readable after it had not been.
	returned clock.Millis
	chilled  map[ticket.ZoneName]clock.Millis
	version  uint64
}

// New returns an empty Registry.
func New(c *clock.Clock, logger hclog.Logger, opts ...Option) *Registry {
	r := &Registry{
		OnChange:  func([]Feed) {},
		clock:     c,
		logger:    logger.Named("registry"),
		opts:      defaults(),
		entries:   map[id]*entry{},
		heads:     map[Feed]Offset{},
		listed:    map[Feed]Offset{},
		confirmed: map[Feed]clock.Millis{},
		chilled:   map[ticket.ZoneName]clock.Millis{},
	}
	for _, opt := range opts {
		opt(&r.opts)
	}
	r.returned = -r.opts.lapseSpan // The store has not been away in this run.
	r.view.Store(&State{})
	return r
}

// View returns the current view; Config is nil before the first configuration.
func (r *Registry) View() *State {
	return r.view.Load()
}

// Head returns the offset behind the last record known of a feed, and whether
// the feed was ever read.
func (r *Registry) Head(feed Feed) (Offset, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	head, ok := r.heads[feed]
	return head, ok
}

// Heads returns the heads of all feeds that were ever read.
func (r *Registry) Heads() map[Feed]Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.heads)
}

// Age returns how long ago the view of a feed was confirmed by the store.
func (r *Registry) Age(feed Feed) clock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.age(feed)
}

// NeverConfirmed is the age of a feed that was not read in this run.
const NeverConfirmed = clock.Hour

func (r *Registry) age(feed Feed) clock.Millis {
	at, ok := r.confirmed[feed]
	if !ok {
		return NeverConfirmed
	}
	return r.clock.Mono() - at
}

// MarkStale makes all views count as unconfirmed, after this process stood still.
func (r *Registry) MarkStale() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.confirmed)
}

// Batch is a set of records of one feed with what else its reader learned.
type Batch struct {
	Feed    Feed
	Records []Record
	// From is the offset from which on the records are complete.
	From Offset
	// Head is the offset behind the last record covered.
	Head Offset
	// Age is how long ago the store confirmed this.
	Age clock.Millis
	// Full is true if keys that are missing do not exist.
	Full bool
	// Source names the origin in log lines.
	Source string
}

// Merge takes a batch and reports whether the view changed.
func (r *Registry) Merge(b Batch) bool {
	r.mu.Lock()
	changed := r.merge(&b)
	if changed {
		r.rebuild()
	}
	r.mu.Unlock()
	if changed {
		r.OnChange([]Feed{b.Feed})
	}
	return changed
}

func (r *Registry) merge(b *Batch) bool {
	now := r.clock.Mono()
	changed := false
	for i := range b.Records {
		changed = r.put(&b.Records[i], b, now) || changed
	}
	if b.Full {
		changed = r.dropMissing(b, now) || changed
		r.listed[b.Feed] = max(r.listed[b.Feed], b.Head)
	}
	head, known := r.heads[b.Feed]
	if b.From > head || !known && b.From > 0 {
		// Records between what is known and the batch are missing.
		return changed
	}
	if !known || b.Head > head {
		r.heads[b.Feed] = b.Head
	}
	if b.Head >= head {
		r.confirm(b.Feed, now-b.Age, now)
	}
	return changed
}

// confirm moves the time of the last confirmation forward, and notes the
// store's return after it could not be read.
func (r *Registry) confirm(feed Feed, at, now clock.Millis) {
	last, ok := r.confirmed[feed]
	if ok && at <= last {
		return
	}
	if feed == FeedEndpoints && ok && at-last > r.opts.awaySpan {
		r.returned = now
		r.logger.Info("store-returned", "away", at-last, "feed", feed)
	}
	r.confirmed[feed] = at
}

func (r *Registry) put(record *Record, b *Batch, now clock.Millis) bool {
	key := id{b.Feed, record.Key}
	old := r.entries[key]
	if old != nil && record.Offset == old.record.Offset {
		return r.advance(old, now-record.Age, b.Source)
	}
	if old != nil && record.Offset < old.record.Offset {
		return false
	}
	if old == nil && !b.Full && record.Offset < r.listed[b.Feed] {
		return false // A peer still had what the listing lacks.
	}
	next := &entry{record: *record, seen: now - record.Age}
	next.record.Feed = b.Feed
	if !record.Deleted {
		fact, err := r.Decode(&next.record)
		if err != nil {
			r.logger.Warn("record-skipped", "feed", b.Feed, "key", record.Key, "offset", record.Offset, "source", b.Source, "error", err)
			return false
		}
		next.fact = fact
	}
	if b.Feed == FeedEndpoints {
		return r.putEndpoint(key, old, next, now)
	}
	if old != nil && old.record.Deleted == record.Deleted && bytes.Equal(old.record.Value, record.Value) {
		if b.Feed != FeedOrders {
			return false
		}
	}
	if old != nil && old.fact.ZoneOut != "" && record.Deleted {
		r.chilled[old.fact.ZoneOut] = now + r.opts.chill
	}
	r.entries[key] = next
	r.logger.Info("record-taken", "feed", b.Feed, "key", record.Key, "offset", record.Offset, "gone", record.Deleted, "age-ms", int64(record.Age+b.Age), "source", b.Source)
	return true
}

// putEndpoint keeps the first record of those that say the same, so that beats
// are not passed on.
func (r *Registry) putEndpoint(key id, old, next *entry, now clock.Millis) bool {
	if next.record.Deleted {
		if old == nil || old.record.Deleted {
			return false
		}
		if now-r.returned < r.opts.lapseSpan || r.age(FeedEndpoints) > r.opts.awaySpan {
			// Entries run out while the store is away; a live endpoint writes again.
			r.logger.Info("endpoint-lapsed", "endpoint", key.key, "offset", next.record.Offset,
				"since-returned-ms", int64(now-r.returned), "view-age-ms", int64(r.age(FeedEndpoints)))
			old.lapsed = now
			old.record.Offset = next.record.Offset
			return false
		}
		r.entries[key] = next
		r.logger.Info("endpoint-gone", "endpoint", key.key, "offset", next.record.Offset)
		return true
	}
	e := next.fact.Endpoint
	if e == nil {
		return false
	}
	if old != nil && old.fact.Endpoint != nil {
		o := old.fact.Endpoint
		if e.StartedAt < o.StartedAt || e.StartedAt == o.StartedAt && e.Sequence < old.sequence && !old.record.Deleted {
			r.logger.Warn("beat-is-old", "endpoint", key.key, "born", e.StartedAt, "sequence", e.Sequence, "known-sequence", old.sequence)
			return false
		}
		if !old.record.Deleted && sameButWarming(o, e) {
			old.lapsed = 0
			old.sequence = e.Sequence
			return false
		}
	}
	next.sequence = e.Sequence
	r.entries[key] = next
	r.logger.Info("endpoint-changed", "endpoint", e.ID, "service", e.Service, "zone", e.Zone, "release", e.Release,
		"leaving", e.Draining, "cold-ms", int64(e.ColdFor), "offset", next.record.Offset, "age-ms", int64(now-next.seen))
	return true
}

// sameButWarming reports whether an endpoint says the same apart from the time
// that it still stays cold.
func sameButWarming(a, b *catalog.Endpoint) bool {
	x, y := *a, *b
	if x.ColdFor > 0 && y.ColdFor > 0 && y.ColdFor <= x.ColdFor || x.ColdFor > 0 && y.ColdFor == 0 {
		x.ColdFor, y.ColdFor = 0, 0
	}
	return x.EqualExceptSequence(&y)
}

func (r *Registry) dropMissing(b *Batch, now clock.Millis) bool {
	present := map[string]bool{}
	for i := range b.Records {
		present[b.Records[i].Key] = true
	}
	changed := false
	for key, old := range r.entries {
		if key.feed != b.Feed || present[key.key] || old.record.Deleted || old.record.Offset >= b.Head {
			continue
		}
		gone := Record{Feed: b.Feed, Key: key.key, Offset: b.Head - 1, Deleted: true}
		if gone.Offset <= old.record.Offset {
			gone.Offset = old.record.Offset + 1
		}
		changed = r.put(&gone, b, now) || changed
	}
	return changed
}

// RemoveExpired ends endpoints that lapsed while the store was away and did not come back.
func (r *Registry) RemoveExpired() {
	r.mu.Lock()
	now := r.clock.Mono()
	changed := false
	for key, e := range r.entries {
		if e.lapsed == 0 || e.record.Deleted {
			continue
		}
		back := max(r.returned, e.lapsed)
		if r.age(FeedEndpoints) > r.opts.awaySpan || now-back < r.opts.lapseSpan {
			continue
		}
		e.record.Deleted = true
		e.record.Value = nil
		changed = true
		r.logger.Info("endpoint-gone", "endpoint", key.key, "offset", e.record.Offset, "lapsed-ms", int64(now-e.lapsed))
	}
	if changed {
		r.rebuild()
	}
	r.mu.Unlock()
	if changed {
		r.OnChange([]Feed{FeedEndpoints})
	}
}

// Since returns the records behind the heads, oldest first, for another instance.
func (r *Registry) Since(heads map[Feed]Offset) []Batch {
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
		b := Batch{Feed: feed, Head: head, Age: r.age(feed)}
		switch {
		case known && from < r.listed[feed]:
			// What was dropped since is not known here, only what is left.
			b.Records, b.Full = r.behind(feed, 0, false, now), true
		case !known || from < head:
			b.Records = r.behind(feed, from, known, now)
		}
		if known {
			b.From = min(from, head)
		}
		batches = append(batches, b)
	}
	return batches
}

func (r *Registry) behind(feed Feed, from Offset, known bool, now clock.Millis) []Record {
	var list []Record
	for key, e := range r.entries {
		if key.feed != feed || known && e.record.Offset < from {
			continue
		}
		record := e.record
		record.Age = now - e.seen
		list = append(list, record)
	}
	slices.SortFunc(list, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return list
}

// rebuild makes the view anew.
func (r *Registry) rebuild() {
	r.version++
	s := &State{
		View: catalog.View{
			Endpoints:     map[ticket.ServiceName][]*catalog.Endpoint{},
			Orders:        map[ticket.ServiceName]*catalog.Order{},
			DrainedZones:  map[ticket.ZoneName]bool{},
			ZoneColdUntil: maps.Clone(r.chilled),
		},
		Version:  r.version,
		Statuses: map[ticket.ServiceName]Status{},
	}
	for _, e := range r.entries {
		if e.record.Deleted {
			continue
		}
		switch {
		case e.fact.Config != nil:
			s.Config = e.fact.Config
		case e.fact.Endpoint != nil:
			service := e.fact.Endpoint.Service
			s.Endpoints[service] = append(s.Endpoints[service], e.fact.Endpoint)
		case e.fact.Order != nil:
			order := *e.fact.Order
			order.StartedAt = e.seen
			s.Orders[order.Service] = &order
		case e.fact.ZoneOut != "":
			s.DrainedZones[e.fact.ZoneOut] = true
		case e.fact.Status != nil:
			s.Statuses[e.fact.Status.Service] = *e.fact.Status
		}
	}
	for _, list := range s.Endpoints {
		slices.SortFunc(list, func(a, b *catalog.Endpoint) int {
			return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartedAt, b.StartedAt))
		})
	}
	if s.Config == nil {
		s.Config = r.view.Load().Config
	}
	r.view.Store(s)
}
