package relay

import "foxtailbridge/policy/clock"

// newsList is a list of what peers must be told once, in the order in which it became known.
// How much of it a peer was told is an index into the list.
type newsList[T comparable] struct {
	entries []T
	// knownSince holds when each entry became known.
	knownSince map[T]clock.Millis
	// limit bounds the number of entries.
	limit int
}

func newNewsList[T comparable](limit int) newsList[T] {
	return newsList[T]{knownSince: map[T]clock.Millis{}, limit: limit}
}

// knows reports whether the list holds an entry.
func (l *newsList[T]) knows(entry T) bool {
	_, ok := l.knownSince[entry]
	return ok
}

// add adds an entry unless it is known or the list is full, and reports whether it was added.
func (l *newsList[T]) add(entry T, now clock.Millis) bool {
	if l.knows(entry) || len(l.entries) >= l.limit {
		return false
	}
	l.knownSince[entry] = now
	l.entries = append(l.entries, entry)
	return true
}

// unsent returns the entries after the index up to which a peer was told, and moves it.
func (l *newsList[T]) unsent(sent *int) []T {
	list := l.entries[min(*sent, len(l.entries)):]
	*sent = len(l.entries)
	return list
}

// retain removes all other entries and reports whether there were any. The peers' indexes are
// then wrong and must be set to 0; telling an entry twice is harmless.
func (l *newsList[T]) retain(keep func(entry T, since clock.Millis) bool) bool {
	var kept []T // A new slice, because in-flight messages share the old one's backing array.
	for _, entry := range l.entries {
		if keep(entry, l.knownSince[entry]) {
			kept = append(kept, entry)
		} else {
			delete(l.knownSince, entry)
		}
	}
	changed := len(kept) != len(l.entries)
	l.entries = kept
	return changed
}
