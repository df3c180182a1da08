package registry

import (
	"bytes"
	"cmp"

	"foxtailbridge/policy/clock"
)

// Offset is the position of a record in its feed within an era.
type Offset int64

// Era counts how often the store came back from an older copy. In a new era the store lacks what it
// acknowledged after the copy, and gives out the offsets of that again. Era 0 is that of a store
// that has no eras.
type Era int64

// MaxEra bounds eras, so that order numbers hold them.
const MaxEra Era = 1 << 30

// Position is the place of a record in its feed.
type Position struct {
	Era    Era    `json:"era,omitempty"`
	Offset Offset `json:"offset"`
}

// Compare orders positions by era and then by offset.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Offset, other.Offset))
}

// Before reports whether the position precedes another.
func (p Position) Before(other Position) bool {
	return p.Compare(other) < 0
}

// later returns the later of two positions.
func later(a, b Position) Position {
	if a.Before(b) {
		return b
	}
	return a
}

// rewriteGrace is how long after the adoption of an era the operator's lost records stay in force
// unless they are written again, and how long a repeated one counts as written again. The store's
// clients repeat their lost writes within seconds.
const rewriteGrace = 10 * clock.Second

// NoteEra records an era of the store, by which Outdated tells which feeds lie behind. It ignores
// eras that are not higher than the known one.
func (r *Registry) NoteEra(era Era, source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteEra(era, source, r.clock.Mono())
}

func (r *Registry) noteEra(era Era, source string, now clock.Millis) {
	if era <= r.era || era > MaxEra {
		return
	}
	r.logger.Info("store-era", "before", r.era, "era", era, "source", source, "orders-head", r.heads[FeedOrders].Offset,
		"endpoints-head", r.heads[FeedEndpoints].Offset, "outcomes-head", r.heads[FeedOutcomes].Offset)
	r.era, r.eraKnownAt = era, now
}

// Era returns the highest known era of the store.
func (r *Registry) Era() Era {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.era
}

// Outdated reports whether the view of a feed is of an earlier era than the store, and the time
// since that is known.
func (r *Registry) Outdated(feed Feed) (clock.Millis, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	head, known := r.heads[feed]
	return r.clock.Mono() - r.eraKnownAt, known && head.Era < r.era
}

// adopt moves a feed on to the era of a full listing. Nothing is deleted for lack of it in the
// listing: what is not written again lapses, see removeLapsed.
func (r *Registry) adopt(b *Batch, now clock.Millis) {
	before := r.heads[b.Feed]
	kept := 0
	for key, e := range r.entries {
		if key.feed == b.Feed && !e.record.Deleted {
			kept++
		}
	}
	r.logger.Warn("era-adopted", "feed", b.Feed, "before", before.Era, "era", b.Era, "head-before", before.Offset, "head", b.Head,
		"known", kept, "listed", len(b.Records), "source", b.Source)
	r.heads[b.Feed] = Position{Era: b.Era}
	r.adoptedAt[b.Feed] = now
	if b.Feed == FeedEndpoints {
		r.recoveredAt = now // Entries in the copy may have expired since it was taken.
	}
}

// isRewriting reports whether records of the feed that its present era lost may still be written
// again, as far as is known here.
func (r *Registry) isRewriting(feed Feed, now clock.Millis) bool {
	at, adopted := r.adoptedAt[feed]
	return !adopted || now-at < rewriteGrace
}

// inEarlierEra reports whether the era of the entry's feed lacks the entry's record.
func (r *Registry) inEarlierEra(e *entry) bool {
	return e.record.Era < r.heads[e.record.Feed].Era
}

// removeLapsed removes the records of a feed that its era lacks and that were not written again
// within the grace period, and reports whether the view changed. The configuration doesn't lapse.
func (r *Registry) removeLapsed(feed Feed, grace, now clock.Millis) bool {
	since := r.adoptedAt[feed]
	if feed == FeedEndpoints {
		since = max(since, r.recoveredAt)
	}
	if r.heads[feed].Era == 0 || now-since < grace || r.age(feed) > r.opts.unavailableAfter {
		return false
	}
	changed := false
	for key, e := range r.entries {
		if key.feed != feed || e.record.Deleted || !r.inEarlierEra(e) || e.object.Config != nil {
			continue
		}
		r.logger.Warn("record-lapsed", "feed", feed, "key", key.key, "era", e.record.Era, "offset", e.record.Offset, "replaced", e.base != nil)
		if e.base == nil {
			delete(r.entries, key)
		} else {
			r.entries[key] = e.base
		}
		r.noteZoneReturn(e, e.base, now)
		changed = true
	}
	return changed
}

// confirmRecord reports whether a record is the known one, written again in a new era. If so, the
// known one takes over its position and keeps its identity and age.
func (r *Registry) confirmRecord(old, next *entry, now clock.Millis) bool {
	first := old.record.FirstPosition()
	if first.Era >= next.record.Era || !r.isRewriting(next.record.Feed, now) || !sameContent(old, next) {
		return false
	}
	old.record.Era, old.record.Offset, old.record.First = next.record.Era, next.record.Offset, &first
	old.base = nil
	return true
}

// sameContent reports whether two entries of a key have the same content.
func sameContent(a, b *entry) bool {
	return a.record.Deleted == b.record.Deleted && bytes.Equal(a.record.Value, b.record.Value)
}

// outlasts reports whether a known record of an earlier era stays in force although the new era
// has another one under its key: the record of the copy, which the known one had replaced.
func outlasts(old, next *entry) bool {
	return !old.record.Deleted && !next.record.Deleted && old.record.Era < next.record.Era &&
		old.replaced != nil && bytes.Equal(old.replaced, next.record.Value)
}

// storedAt returns the position of the latest record that the store is known to have under the
// entry's key.
func (e *entry) storedAt() Position {
	if e.base != nil {
		return e.base.record.Position()
	}
	return e.record.Position()
}

// isLost reports whether the store came back without the entry's record.
func (r *Registry) isLost(e *entry) bool {
	return e.base != nil || r.inEarlierEra(e)
}

// mergeStatus merges the status of a roll-out, which this system writes itself, and reports whether
// the view changed. A lost status stays in force until it is written again.
func (r *Registry) mergeStatus(key recordID, old, next *entry, b *Batch) bool {
	if old != nil {
		if sameContent(old, next) {
			lost := r.isLost(old)
			old.record.Era, old.record.Offset, old.base = next.record.Era, next.record.Offset, nil
			return lost
		}
		if a, s := old.object.Status, next.object.Status; a != nil && s != nil && a.outlasts(*s, old.record.Era < next.record.Era) {
			old.base = next
			r.logger.Warn("status-outlasts", "key", key.key, "outcome", a.Outcome, "order", a.Order, "era", old.record.Era, "offset", old.record.Offset,
				"listed-outcome", s.Outcome, "listed-order", s.Order, "listed-era", next.record.Era, "listed-offset", next.record.Offset, "source", b.Source)
			return true
		}
	}
	r.take(key, next, b)
	return true
}
