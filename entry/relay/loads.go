package relay

import (
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/loadlist"
)

// loadTTL is how long a received load list is valid.
const loadTTL = 1500 * clock.Millis(1)

// loadList is a list of in-flight requests by endpoint that one instance sent another.
type loadList struct {
	loadlist.List
	scope      LoadScope
	receivedAt clock.Millis
}

// sendLoads adds a load list for the peer to the message: only the changes, if the peer
// acknowledged the last list. The caller holds the members' lock.
func (p *peer) sendLoads(m *Message, scope LoadScope, loads loadlist.Loads) {
	m.LoadsScope, m.LoadsAcked = scope, p.receivedLoads.Version
	m.LoadsVersion = p.sentLoads.Version + 1
	if p.sentLoads.scope == scope && p.sentLoads.Version > 0 && p.ackedLoads == p.sentLoads.Version {
		m.LoadsBase = p.sentLoads.Version
		changed := p.sentLoads.Diff(loads)
		p.sentLoads.Apply(changed)
		m.Loads, m.Failures, m.Sums = changed.InFlight, changed.Failures, changed.Sums
	} else {
		m.Loads, m.Failures, m.Sums = loads.InFlight, loads.Failures, loads.Sums
		p.sentLoads.Loads = loads.Clone()
	}
	p.sentLoads.scope, p.sentLoads.Version = scope, m.LoadsVersion
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
		l.Loads = loadlist.NewLoads()
		l.Apply(m.loads())
	case m.LoadsBase == l.Version && m.LoadsScope == l.scope:
		l.Apply(m.loads())
	default:
		l.Version = 0 // A list was lost, so the peer sends the next one in full.
		return false
	}
	l.scope, l.receivedAt, l.Version = m.LoadsScope, now, m.LoadsVersion
	return true
}

// addLoads adds the load list that the peer needs to the message. The caller holds the
// members' lock.
func (r *Relay) addLoads(m *Message, p *peer, own loadlist.Loads, reader bool, now clock.Millis) {
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
func (r *Relay) sumLoads(now clock.Millis, own loadlist.Loads, choose func(*peer) bool) loadlist.Loads {
	total := own.Clone()
	for _, p := range r.members.peers {
		if p.receivedLoads.scope == ScopeOthers || now-p.receivedLoads.receivedAt > loadTTL || !choose(p) {
			continue
		}
		total.Add(p.receivedLoads.Loads)
	}
	return total
}

// otherLoads returns the loads of all other instances after a list was received from the
// peer: a member gets them from its zone's reader, a reader sums them up. The caller holds
// the members' lock.
func (r *Relay) otherLoads(p *peer, now clock.Millis) loadlist.Loads {
	if p.receivedLoads.scope == ScopeOthers {
		return p.receivedLoads.Loads.Clone()
	}
	return r.sumLoads(now, loadlist.NewLoads(), func(*peer) bool { return true })
}
