package relay

import (
	"maps"

	"github.com/cespare/xxhash/v2"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/routing"
)

const (
	// loadSpan is how long a told load counts.
	loadSpan = 1500 * clock.Millis(1)
	// loadSlack is the part of a load by which it may differ from what was told, as
	// a divisor: at 600 endpoints, exact lists would take most of what an instance
	// may send.
	loadSlack = 4
	// exactLoads is the length up to which lists are told exactly: they take few bytes.
	exactLoads = 64
	// loadParts is in how many lists each load is told exactly once.
	loadParts = 8
)

// loads is a list of requests at endpoints that one instance told another.
type loads struct {
	counts map[routing.EndpointID]int
	of     LoadScope
	at     clock.Millis
	number LoadVersion
}

// cloned returns a copy that can be written to, also of a list that is nil.
func cloned(counts map[routing.EndpointID]int) map[routing.EndpointID]int {
	list := make(map[routing.EndpointID]int, len(counts))
	maps.Copy(list, counts)
	return list
}

// changes returns how counts differ from the list; an endpoint without requests
// is told as 0. Small differences wait for the endpoint's turn.
func (l *loads) changes(counts map[routing.EndpointID]int) map[routing.EndpointID]int {
	changed := map[routing.EndpointID]int{}
	turn := uint64(l.number) % loadParts
	for id, n := range counts {
		old := l.counts[id]
		off := max(n-old, old-n)
		if off > old/loadSlack || off > 0 && len(counts) <= exactLoads || off > 0 && xxhash.Sum64String(string(id))%loadParts == turn {
			changed[id] = n
		}
	}
	for id, n := range l.counts {
		if _, ok := counts[id]; !ok && n > 0 {
			changed[id] = 0
		}
	}
	return changed
}

// apply takes changes into the list.
func (l *loads) apply(changed map[routing.EndpointID]int) {
	for id, n := range changed {
		if n == 0 {
			delete(l.counts, id)
		} else {
			l.counts[id] = n
		}
	}
}

// tell fills in the loads for a peer: the changes, if it holds the last list.
// The caller holds the members' lock.
func (p *peer) tell(m *Message, of LoadScope, counts map[routing.EndpointID]int) {
	m.LoadsScope, m.LoadsAcked = of, p.heardLoads.number
	m.LoadsVersion = p.told.number + 1
	if p.told.of == of && p.told.number > 0 && p.toldHeld == p.told.number {
		m.LoadsBase = p.told.number
		m.Loads = p.told.changes(counts)
		p.told.apply(m.Loads)
	} else {
		m.Loads = counts
		p.told.counts = cloned(counts)
	}
	p.told.of, p.told.number = of, m.LoadsVersion
}

// hear takes what a peer told of loads, and reports whether it is complete. The
// caller holds the members' lock.
func (p *peer) hear(m *Message, now clock.Millis) bool {
	p.toldHeld = m.LoadsAcked
	l := &p.heardLoads
	switch {
	case m.LoadsScope == "":
		return false
	case m.LoadsBase == 0:
		l.counts = cloned(m.Loads)
	case m.LoadsBase == l.number && m.LoadsScope == l.of:
		l.apply(m.Loads)
	default:
		l.number = 0 // A list between was lost; the peer sends the next whole.
		return false
	}
	l.of, l.at, l.number = m.LoadsScope, now, m.LoadsVersion
	return true
}

// loads fills in the requests at endpoints; the caller holds the members' lock.
func (r *Relay) loads(m *Message, p *peer, own map[routing.EndpointID]int, reader bool, now clock.Millis) {
	if p == nil {
		return // A peer that is not known yet tells of itself first.
	}
	sameZone := p.member.Zone == m.From.Zone
	switch {
	case !reader && sameZone:
		p.tell(m, ScopeOwn, own)
	case reader && sameZone:
		p.tell(m, ScopeOthers, r.sum(now, own, func(other *peer) bool { return other != p }))
	case reader:
		p.tell(m, ScopeZone, r.sum(now, own, func(other *peer) bool { return other.heardLoads.of == ScopeOwn }))
	}
}

// sum adds what the chosen peers told lately; the caller holds the members' lock.
func (r *Relay) sum(now clock.Millis, own map[routing.EndpointID]int, choose func(*peer) bool) map[routing.EndpointID]int {
	total := cloned(own)
	for _, p := range r.members.peers {
		if p.heardLoads.of == ScopeOthers || now-p.heardLoads.at > loadSpan || !choose(p) {
			continue
		}
		for id, n := range p.heardLoads.counts {
			total[id] += n
		}
	}
	return total
}

// others returns what all others have at endpoints after a peer told of loads: a
// reader sums that up, a plain member hears it from its reader. The caller holds
// the members' lock.
func (r *Relay) others(p *peer, now clock.Millis) map[routing.EndpointID]int {
	if p.heardLoads.of == ScopeOthers {
		return cloned(p.heardLoads.counts)
	}
	return r.sum(now, nil, func(*peer) bool { return true })
}
