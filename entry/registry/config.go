package registry

import (
	"bytes"
	"cmp"

	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
)

// ConfigID identifies a record of the configuration. The zero value stands for none, and so does
// a negative End, which only a malformed message has.
type ConfigID struct {
	Revision catalog.Revision `json:"revision"`
	// Era is the era of the record.
	Era Era `json:"era,omitempty"`
	// End is the offset after the record, so that a record has an End of at least 1.
	End Offset `json:"end"`
}

// Compare orders records of the configuration. The one with the highest revision is in force,
// whatever the order of the log: the store may execute a write seconds after the operator gave up
// on it, when a higher revision is already in force. Of equal revisions the later record wins.
func (id ConfigID) Compare(other ConfigID) int {
	if id.End <= 0 || other.End <= 0 {
		return cmp.Compare(max(0, id.End), max(0, other.End))
	}
	return cmp.Or(cmp.Compare(id.Revision, other.Revision), cmp.Compare(id.Era, other.Era), cmp.Compare(id.End, other.End))
}

// configID returns the ID of an entry with a configuration, or the zero value for nil.
func (e *entry) configID() ConfigID {
	if e == nil {
		return ConfigID{}
	}
	return ConfigID{Revision: e.object.Config.Revision, Era: e.record.Era, End: e.record.Offset + 1}
}

// ConfigID returns the ID of the configuration in force.
func (r *Registry) ConfigID() ConfigID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.config.configID()
}

// mayBeConfig reports whether a record that is not the latest of its key in the log may be the
// configuration to put in force.
func mayBeConfig(old *entry, record *Record, feed Feed) bool {
	if feed != FeedOrders || record.Deleted {
		return false
	}
	if old == nil || old.record.Deleted {
		return true
	}
	// Equal content has an equal revision.
	return old.object.Config != nil && !bytes.Equal(old.record.Value, record.Value)
}

// mergeConfig merges a record of the configuration, or one that follows it under the same key, and
// reports whether it is in force now. A configuration that was deleted stays in force.
func (r *Registry) mergeConfig(key recordID, next *entry, b *Batch) bool {
	known := r.config.configID()
	if next.object.Config != nil && next.configID().Compare(known) > 0 {
		r.config = next
		r.take(key, next, b)
		return true
	}
	position, inForce := next.record.Position(), Position{Era: known.Era, Offset: known.End - 1}
	if inForce.Before(position) && r.ignoredConfigUpTo.Before(position) {
		r.ignoredConfigUpTo = position
		args := []any{"key", key.key, "era", position.Era, "offset", position.Offset, "gone", next.record.Deleted, "in-force", known.Revision, "in-force-era", inForce.Era, "in-force-offset", inForce.Offset, "source", b.Source}
		if next.object.Config != nil {
			args = append(args, "version", next.object.Config.Revision)
		}
		r.logger.Warn("config-ignored", args...)
	}
	return false
}

// withConfig adds the configuration in force to the records for another instance if that one has
// an older one or none and the records lack it. The other one's head may be past its offset.
func (r *Registry) withConfig(records []Record, other ConfigID, now clock.Millis) []Record {
	if r.config == nil || r.config.configID().Compare(other) <= 0 {
		return records
	}
	for i := range records {
		if records[i].Key == r.config.record.Key && records[i].Position() == r.config.record.Position() {
			return records
		}
	}
	return append([]Record{r.config.recordAt(now)}, records...)
}
