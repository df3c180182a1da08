package registry

import (
	"cmp"

	"foxtailbridge/policy/clock"
)

// Removal says that the store has removed an endpoint, and which of its heartbeats are older than
// that. The store may execute a heartbeat seconds after the endpoint gave up on it, so that it
// follows the removal in the log.
type Removal struct {
	Key string `json:"key"`
	// Era and Offset are the position of the removal in the feed.
	Era    Era    `json:"era,omitempty"`
	Offset Offset `json:"offset"`
	// StartedAt and Sequence are those of the endpoint's last heartbeat that is known to precede
	// the removal.
	StartedAt clock.Millis `json:"started"`
	Sequence  int64        `json:"sequence"`
	// Age is the time since any instance first saw the removal.
	Age clock.Millis `json:"age-ms"`
}

// removal is a Removal with the monotonic times at which any instance first saw it and at which
// this one learned of it.
type removal struct {
	Removal
	firstSeen, learnedAt clock.Millis
}

const (
	// removalMemory is how long removals are remembered. The store executes late writes within
	// seconds.
	removalMemory = clock.Minute
	// maxRemovals bounds the removals that are remembered: some releases of the largest fleet in
	// one minute.
	maxRemovals = 8192
)

// heartbeat identifies a heartbeat of an endpoint.
type heartbeat struct {
	startedAt clock.Millis
	sequence  int64
}

// compare orders an endpoint's heartbeats by time, whatever their offsets in the feed.
func (h heartbeat) compare(other heartbeat) int {
	return cmp.Or(cmp.Compare(h.startedAt, other.startedAt), cmp.Compare(h.sequence, other.sequence))
}

// heartbeat returns the last known heartbeat of the entry's endpoint.
func (e *entry) heartbeat() heartbeat {
	return heartbeat{e.object.Endpoint.StartedAt, e.sequence}
}

// heartbeat returns the last heartbeat that is known to precede the removal.
func (m *Removal) heartbeat() heartbeat {
	return heartbeat{m.StartedAt, m.Sequence}
}

// position returns the position of the removal in the feed.
func (m *Removal) position() Position {
	return Position{Era: m.Era, Offset: m.Offset}
}

// supersedes reports whether the endpoint's heartbeat is older than the removal.
func (m *Removal) supersedes(h heartbeat) bool {
	return h.compare(m.heartbeat()) <= 0
}

// noteRemoval remembers the removal of an endpoint, unless a later one is known. Without a start
// time a heartbeat may be of a later run, whose sequence starts anew.
func (r *Registry) noteRemoval(m Removal, now clock.Millis) bool {
	known := r.removals[m.Key]
	if m.StartedAt <= 0 || m.Age >= removalMemory || known == nil && len(r.removals) >= maxRemovals {
		return false
	}
	if known != nil && known.supersedes(m.heartbeat()) {
		return false
	}
	r.removals[m.Key] = &removal{Removal: m, firstSeen: now - max(0, m.Age), learnedAt: now}
	return true
}

// forgetRemovals forgets the removals that no late heartbeat can follow any more.
func (r *Registry) forgetRemovals(now clock.Millis) {
	for key, known := range r.removals {
		if now-known.firstSeen >= removalMemory {
			delete(r.removals, key)
		}
	}
}

// RemovalsSince returns the removals that this instance learned of at or after the given monotonic
// time.
func (r *Registry) RemovalsSince(at clock.Millis) []Removal {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Mono()
	var list []Removal
	for _, known := range r.removals {
		if known.learnedAt >= at && now-known.firstSeen < removalMemory {
			m := known.Removal
			m.Age = now - known.firstSeen
			list = append(list, m)
		}
	}
	return list
}

// MergeRemovals merges removals known to another instance and reports whether the view changed.
func (r *Registry) MergeRemovals(list []Removal, source string) bool {
	if len(list) == 0 {
		return false
	}
	return r.update(FeedEndpoints, func(now clock.Millis) bool {
		learned := false
		for _, m := range list {
			learned = r.noteRemoval(m, now) || learned
		}
		return learned && r.removeSuperseded(now, source)
	})
}

// removeSuperseded removes the endpoints whose last known heartbeat is older than their removal,
// and reports whether the view changed. It leaves that to the feed where the removal is still to
// come; a batch from a peer may have skipped it, as it has only the latest record of each key.
func (r *Registry) removeSuperseded(now clock.Millis, source string) bool {
	changed := false
	for _, m := range r.removals {
		key := recordID{FeedEndpoints, m.Key}
		old := r.entries[key]
		if old == nil || old.record.Deleted || old.object.Endpoint == nil || !m.supersedes(old.heartbeat()) {
			continue
		}
		at, head := later(old.record.Position(), m.position()), r.heads[FeedEndpoints]
		if at == m.position() && head.Compare(at) <= 0 {
			continue
		}
		r.logger.Warn("late-beat-removed", "endpoint", m.Key, "era", old.record.Era, "offset", old.record.Offset, "sequence", old.sequence,
			"removed-in-era", m.Era, "removed-at-offset", m.Offset, "removed-sequence", m.Sequence, "source", source)
		tombstone := &entry{record: Record{Feed: FeedEndpoints, Key: m.Key, Era: at.Era, Offset: at.Offset, Deleted: true}, firstSeen: now}
		changed = r.deleteEndpoint(key, old, tombstone, now) || changed
	}
	return changed
}
