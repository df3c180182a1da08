package loadlist

import (
	"maps"
	"math"

	"github.com/cespare/xxhash/v2"

	"foxtailbridge/policy/routing"
)

// Counts is the number of requests by endpoint.
type Counts = CountsBy[routing.EndpointID]

// CountsBy holds a whole number for each key.
type CountsBy[K ~string] map[K]int

// Clone returns a copy that is not nil even if the counts are.
func (c CountsBy[K]) Clone() CountsBy[K] {
	list := make(CountsBy[K], len(c))
	maps.Copy(list, c)
	return list
}

// Add adds other counts.
func (c CountsBy[K]) Add(other CountsBy[K]) {
	for key, n := range other {
		c[key] += n
	}
}

// Key identifies what one number of a Sum is about.
type Key string

// Sum is a quantity that is summed over instances, by key.
type Sum = CountsBy[Key]

// Kind names a Sum. An instance passes on kinds that it does not know.
type Kind string

// Kinds of sums.
const (
	// KindPrefill is the number of prompt tokens that have yet to be read, by endpoint ID, weighted
	// by the relative cost of the model and in units of PrefillUnit.
	KindPrefill Kind = "prefill"
	// KindDemand is the number of requests in the last second, by workspace and rank.
	KindDemand Kind = "demand"
	// KindAnswers is the number of answers of the last seconds by route, model, size class and band
	// of confidence, in units of cascade.Answers.Report.
	KindAnswers Kind = "answers"
	// KindZoneDemand is the number of requests sent to endpoints in the last second, by the zone of
	// the instances and the service.
	KindZoneDemand Kind = "zone-demand"
	// KindRepeats holds placement.RepeatCounts of all services together, by the size of the parts.
	KindRepeats Kind = "repeats"
)

// PrefillUnit is the number of prompt tokens that KindPrefill counts as one: exact numbers would
// change with each request and be sent each time.
const PrefillUnit = 256

// PrefillUnits returns a number of weighted prompt tokens in units of PrefillUnit, at most
// maxCount.
func PrefillUnits(tokens float64) int {
	return int(min(maxCount, max(0, math.Round(tokens/PrefillUnit))))
}

// Loads is what instances tell each other of their requests.
type Loads struct {
	// InFlight is the number of requests at each endpoint.
	InFlight Counts
	// Failures is the number of requests for which recent failed runs stand. Endpoints that fail
	// look as busy as with so many more, but not full.
	Failures Counts
	// Sums holds further quantities by kind.
	Sums map[Kind]Sum
}

// NewLoads returns empty Loads.
func NewLoads() Loads {
	return Loads{InFlight: Counts{}, Failures: Counts{}, Sums: map[Kind]Sum{}}
}

// Clone returns a copy.
func (l Loads) Clone() Loads {
	sums := make(map[Kind]Sum, len(l.Sums))
	for kind, sum := range l.Sums {
		sums[kind] = sum.Clone()
	}
	return Loads{InFlight: l.InFlight.Clone(), Failures: l.Failures.Clone(), Sums: sums}
}

// Add adds other loads.
func (l Loads) Add(other Loads) {
	l.InFlight.Add(other.InFlight)
	l.Failures.Add(other.Failures)
	for kind, sum := range other.Sums {
		if l.Sums[kind] == nil {
			l.Sums[kind] = Sum{}
		}
		l.Sums[kind].Add(sum)
	}
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
	// prefillTolerance is by how much a KindPrefill of a long list may differ whatever the one last
	// sent, in units: the backlog of an endpoint is another with nearly each list. 12 units are
	// 33 ms of reading at 92 tokens a ms and 88 ms at 35.
	prefillTolerance = 12
	// refreshCycle is the number of lists in which each load is sent exactly at least once.
	refreshCycle = 8
)

// Diff returns the changes from the list to the loads. An endpoint that no longer has requests
// is set to 0. Small differences of long lists are left out until the endpoint's slot in the
// refresh cycle.
func (l *List) Diff(loads Loads) Loads {
	slot := uint64(l.Version) % refreshCycle
	changed := Loads{InFlight: diff(l.InFlight, loads.InFlight, slot, requestPrecision), Failures: diff(l.Failures, loads.Failures, slot, requestPrecision)}
	for kind, sum := range loads.Sums {
		changed.addSum(kind, diff(l.Sums[kind], sum, slot, kind.precision()))
	}
	for kind, sum := range l.Sums {
		if _, ok := loads.Sums[kind]; !ok {
			changed.addSum(kind, diff(sum, nil, slot, kind.precision()))
		}
	}
	return changed
}

// addSum adds a sum unless it is empty.
func (l *Loads) addSum(kind Kind, sum Sum) {
	if len(sum) == 0 {
		return
	}
	if l.Sums == nil {
		l.Sums = map[Kind]Sum{}
	}
	l.Sums[kind] = sum
}

// precision says which differences from the list last sent are sent at once.
type precision struct {
	// maxExact is the length up to which lists are sent exactly.
	maxExact int
	// tolerance is by how much a number of a longer list may differ whatever the one last sent.
	tolerance int
}

// requestPrecision is the precision of numbers of requests by endpoint.
var requestPrecision = precision{maxExact: maxExact}

// precision returns the precision with which sums of this kind are sent.
func (k Kind) precision() precision {
	switch k {
	case KindPrefill:
		return precision{maxExact: maxExact, tolerance: prefillTolerance}
	case KindAnswers:
		return precision{} // They change with each request, and only their proportions matter.
	}
	return requestPrecision
}

func diff[K ~string](from, counts CountsBy[K], slot uint64, p precision) CountsBy[K] {
	changed := CountsBy[K]{}
	for id, n := range counts {
		old := from[id]
		delta := max(n-old, old-n)
		if delta > max(old/toleranceDivisor, p.tolerance) || delta > 0 && len(counts) <= p.maxExact || delta > 0 && xxhash.Sum64String(string(id))%refreshCycle == slot {
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

const (
	// maxCount bounds the number of requests that is believed of an endpoint: a larger one would
	// hide the endpoint from all instances, or overflow a sum.
	maxCount = 100_000
	// maxKinds and maxKeys bound what a malformed message can make an instance keep: there are a
	// handful of kinds, and some hundred endpoints, workspaces or routes.
	maxKinds = 16
	maxKeys  = 8192
)

// Apply applies changes to the list. A number that cannot be right counts as none.
func (l *List) Apply(changed Loads) {
	if l.InFlight == nil {
		l.Loads = NewLoads()
	}
	if l.Sums == nil {
		l.Sums = map[Kind]Sum{}
	}
	apply(l.InFlight, changed.InFlight)
	apply(l.Failures, changed.Failures)
	for kind, sum := range changed.Sums {
		if l.Sums[kind] == nil {
			if len(l.Sums) >= maxKinds {
				continue
			}
			l.Sums[kind] = Sum{}
		}
		apply(l.Sums[kind], sum)
	}
}

func apply[K ~string](counts, changed CountsBy[K]) {
	for id, n := range changed {
		if n <= 0 || n > maxCount {
			delete(counts, id)
		} else if _, known := counts[id]; known || len(counts) < maxKeys {
			counts[id] = n
		}
	}
}
