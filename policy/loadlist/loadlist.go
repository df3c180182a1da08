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

// Loads is what instances tell each other of their requests.
type Loads struct {
	// InFlight is the number of requests at each endpoint.
	InFlight Counts
	// Failures is the number of requests for which recent failed runs stand. Endpoints that fail
	// look as busy as with so many more, but not full.
	Failures Counts
}

// NewLoads returns empty Loads.
func NewLoads() Loads {
	return Loads{InFlight: Counts{}, Failures: Counts{}}
}

// Clone returns a copy.
func (l Loads) Clone() Loads {
	return Loads{InFlight: l.InFlight.Clone(), Failures: l.Failures.Clone()}
}

// Add adds other loads.
func (l Loads) Add(other Loads) {
	l.InFlight.Add(other.InFlight)
	l.Failures.Add(other.Failures)
}

// Version numbers the lists that one instance sends another, starting at 1.
type Version uint64

// List is the list that an instance sent another, as the receiver has it if all messages
// arrived.
type List struct {
	Loads
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

// Diff returns the changes from the list to the loads. An endpoint that no longer has requests
// is set to 0. Small differences of long lists are left out until the endpoint's slot in the
// refresh cycle.
func (l *List) Diff(loads Loads) Loads {
	slot := uint64(l.Version) % refreshCycle
	return Loads{InFlight: diff(l.InFlight, loads.InFlight, slot), Failures: diff(l.Failures, loads.Failures, slot)}
}

func diff(from, counts Counts, slot uint64) Counts {
	changed := Counts{}
	for id, n := range counts {
		old := from[id]
		delta := max(n-old, old-n)
		if delta > old/toleranceDivisor || delta > 0 && len(counts) <= maxExact || delta > 0 && xxhash.Sum64String(string(id))%refreshCycle == slot {
			changed[id] = n
		}
	}
	for id, n := range from {
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
func (l *List) Apply(changed Loads) {
	if l.InFlight == nil {
		l.Loads = NewLoads()
	}
	apply(l.InFlight, changed.InFlight)
	apply(l.Failures, changed.Failures)
}

func apply(counts, changed Counts) {
	for id, n := range changed {
		if n <= 0 || n > maxCount {
			delete(counts, id)
		} else {
			counts[id] = n
		}
	}
}
