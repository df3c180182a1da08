package loadlist

import (
	"maps"

	"github.com/cespare/xxhash/v2"

	"foxtailbridge/policy/routing"
)

// Counts is the number of in-flight requests by endpoint.
type Counts map[routing.EndpointID]int

// Clone returns a copy that is not nil even if the counts are.
func (c Counts) Clone() Counts {
	list := make(Counts, len(c))
	maps.Copy(list, c)
	return list
}

// Add adds other counts.
func (c Counts) Add(other Counts) {
	for id, n := range other {
		c[id] += n
	}
}

// Version numbers the lists that one instance sends another, starting at 1.
type Version uint64

// List is the list that an instance sent another, as the receiver has it if all messages
// arrived.
type List struct {
	Counts  Counts
	Version Version
}

const (
	// toleranceDivisor sets by how much an endpoint's load may differ from the one last
	// sent: by that load divided by this. At 600 endpoints, exact lists would take most of
	// an instance's bandwidth budget.
	toleranceDivisor = 4
	// maxExact is the length up to which lists are sent exactly, because they are small.
	maxExact = 64
	// refreshCycle is the number of lists in which each load is sent exactly at least once.
	refreshCycle = 8
)

// Diff returns the changes from the list to counts. An endpoint that no longer has requests
// is set to 0. Small differences of long lists are left out until the endpoint's slot in the
// refresh cycle.
func (l *List) Diff(counts Counts) Counts {
	changed := Counts{}
	slot := uint64(l.Version) % refreshCycle
	for id, n := range counts {
		old := l.Counts[id]
		delta := max(n-old, old-n)
		if delta > old/toleranceDivisor || delta > 0 && len(counts) <= maxExact || delta > 0 && xxhash.Sum64String(string(id))%refreshCycle == slot {
			changed[id] = n
		}
	}
	for id, n := range l.Counts {
		if _, ok := counts[id]; !ok && n > 0 {
			changed[id] = 0
		}
	}
	return changed
}

// maxCount bounds the number of requests that is believed of an endpoint: a larger one would
// hide the endpoint from all instances, or overflow a sum.
const maxCount = 100_000

// Apply applies changes to the list. A number that cannot be right counts as none.
func (l *List) Apply(changed Counts) {
	if l.Counts == nil {
		l.Counts = Counts{}
	}
	for id, n := range changed {
		if n <= 0 || n > maxCount {
			delete(l.Counts, id)
		} else {
			l.Counts[id] = n
		}
	}
}
