package relay

import (
	"maps"

	"github.com/cespare/xxhash/v2"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/routing"
)

const (
	// loadTTL is how long a received load list is valid.
	loadTTL = 1500 * clock.Millis(1)
	// loadToleranceDivisor sets by how much an endpoint's load may differ from the one last
	// sent: by that load divided by this. At 600 endpoints, exact lists would take most of
	// an instance's bandwidth budget.
	loadToleranceDivisor = 4
	// maxExactLoads is the length up to which lists are sent exactly, because they are small.
	maxExactLoads = 64
	// loadRefreshCycle is the number of lists in which each load is sent exactly at least once.
	loadRefreshCycle = 8
)

// loadList is a list of in-flight requests by endpoint that one instance sent another.
type loadList struct {
	counts     map[routing.EndpointID]int
	scope      LoadScope
	receivedAt clock.Millis
	version    LoadVersion
}

// cloneCounts returns a copy of counts that is not nil even if counts is.
func cloneCounts(counts map[routing.EndpointID]int) map[routing.EndpointID]int {
	list := make(map[routing.EndpointID]int, len(counts))
	maps.Copy(list, counts)
	return list
}

// diff returns the changes from the list to counts. An endpoint that no longer has requests
// is set to 0. Small differences of long lists are left out until the endpoint's slot in the
// refresh cycle.
func (l *loadList) diff(counts map[routing.EndpointID]int) map[routing.EndpointID]int {
	changed := map[routing.EndpointID]int{}
	slot := uint64(l.version) % loadRefreshCycle
	for id, n := range counts {
		old := l.counts[id]
		delta := max(n-old, old-n)
		if delta > old/loadToleranceDivisor || delta > 0 && len(counts) <= maxExactLoads || delta > 0 && xxhash.Sum64String(string(id))%loadRefreshCycle == slot {
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

// apply applies changes to the list.
func (l *loadList) apply(changed map[routing.EndpointID]int) {
	for id, n := range changed {
		if n == 0 {
			delete(l.counts, id)
		} else {
			l.counts[id] = n
		}
	}
}

// sendLoads adds a load list for the peer to the message: only the changes, if the peer
// acknowledged the last list. The caller holds the members' lock.
func (p *peer) sendLoads(m *Message, scope LoadScope, counts map[routing.EndpointID]int) {
	m.LoadsScope, m.LoadsAcked = scope, p.receivedLoads.version
	m.LoadsVersion = p.sentLoads.version + 1
	if p.sentLoads.scope == scope && p.sentLoads.version > 0 && p.ackedLoads == p.sentLoads.version {
		m.LoadsBase = p.sentLoads.version
		m.Loads = p.sentLoads.diff(counts)
		p.sentLoads.apply(m.Loads)
	} else {
		m.Loads = counts
		p.sentLoads.counts = cloneCounts(counts)
	}
	p.sentLoads.scope, p.sentLoads.version = scope, m.LoadsVersion
}

// receiveLoads stores the load list in a peer's message and reports whether the stored list
// is now up to date. The caller holds the members' lock.
func (p *peer) receiveLoads(m *Message, now clock.Millis) bool {
	p.ackedLoads = m.LoadsAcked
	l := &p.receivedLoads
	switch {
	case m.LoadsScope == "":
		return false
	case m.LoadsBase == 0:
		l.counts = cloneCounts(m.Loads)
	case m.LoadsBase == l.version && m.LoadsScope == l.scope:
		l.apply(m.Loads)
	default:
		l.version = 0 // A list was lost, so the peer sends the next one in full.
		return false
	}
	l.scope, l.receivedAt, l.version = m.LoadsScope, now, m.LoadsVersion
	return true
}

// addLoads adds the load list that the peer needs to the message. The caller holds the
// members' lock.
func (r *Relay) addLoads(m *Message, p *peer, own map[routing.EndpointID]int, reader bool, now clock.Millis) {
	if p == nil {
		return // The first message of an unknown peer must arrive first.
	}
	sameZone := p.member.Zone == m.From.Zone
	switch {
	case !reader && sameZone:
		p.sendLoads(m, ScopeOwn, own)
	case reader && sameZone:
		p.sendLoads(m, ScopeOthers, r.sumLoads(now, own, func(other *peer) bool { return other != p }))
	case reader:
		p.sendLoads(m, ScopeZone, r.sumLoads(now, own, func(other *peer) bool { return other.receivedLoads.scope == ScopeOwn }))
	}
}

// sumLoads returns the sum of own and the valid load lists of the chosen peers. The caller
// holds the members' lock.
func (r *Relay) sumLoads(now clock.Millis, own map[routing.EndpointID]int, choose func(*peer) bool) map[routing.EndpointID]int {
	total := cloneCounts(own)
	for _, p := range r.members.peers {
		if p.receivedLoads.scope == ScopeOthers || now-p.receivedLoads.receivedAt > loadTTL || !choose(p) {
			continue
		}
		for id, n := range p.receivedLoads.counts {
			total[id] += n
		}
	}
	return total
}

// otherLoads returns the loads of all other instances after a list was received from the
// peer: a member gets them from its zone's reader, a reader sums them up. The caller holds
// the members' lock.
func (r *Relay) otherLoads(p *peer, now clock.Millis) map[routing.EndpointID]int {
	if p.receivedLoads.scope == ScopeOthers {
		return cloneCounts(p.receivedLoads.counts)
	}
	return r.sumLoads(now, nil, func(*peer) bool { return true })
}
