package relay

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
)

const (
	// aliveSpan is how long a member counts as alive after it was last heard of:
	// three times the period at which member lists go round.
	aliveSpan = 5 * clock.Second
	// countSpan is how long a member still counts for the parts of fleet limits.
	countSpan = 30 * clock.Second
	// forgetSpan is when a silent member is dropped.
	forgetSpan = 2 * clock.Minute
)

// peer is what is known of another instance.
type peer struct {
	member Member
	heard  clock.Millis
	// heads is what the peer said last of what it knows.
	heads map[registry.Feed]registry.Offset
	// count is how many instances the peer counts.
	count int
	// heardLoads is what the peer told of its own requests or those of others,
	// told what it holds of this instance's.
	heardLoads loads
	told       loads
	// toldHeld is the last of this instance's lists that the peer holds.
	toldHeld LoadVersion
	// suspicions is how many of the listed suspicions the peer was told.
	suspicions int
	// holds is the same for the listed holds.
	holds int
	// begins is when orders began as the peer has it, by their keys.
	begins map[string]begin
	// retry is when the peer may be asked again after a failure.
	retry   clock.Millis
	failing bool
	leaving bool
	// revisited is when the peer, which was away, was last asked whether it is back.
	revisited clock.Millis
}

// tellAgain has the next message tell everything that is told once: the peer may have
// missed the last one.
func (p *peer) tellAgain() {
	p.suspicions, p.holds = 0, 0
	clear(p.begins)
}

// members is the set of known instances. Its methods take the lock.
type members struct {
	mu    sync.Mutex
	self  Member
	peers map[string]*peer
}

func newMembers(self Member) *members {
	return &members{self: self, peers: map[string]*peer{}}
}

// learn notes that a member was heard of the given age ago.
func (m *members) learn(h MemberEntry, now clock.Millis) *peer {
	if h.Name == m.self.Name || h.Name == "" {
		return nil
	}
	p := m.peers[h.Name]
	if p == nil {
		p = &peer{member: h.Member, heard: now - h.Age}
		m.peers[h.Name] = p
		return p
	}
	if at := now - h.Age; at > p.heard {
		p.heard = at
		if p.member.RunID != h.RunID {
			*p = peer{member: h.Member, heard: at}
		}
	}
	return p
}

// tellAgain is the peer's of the name.
func (m *members) tellAgain(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[name]; p != nil {
		p.tellAgain()
	}
}

func (m *members) alive(p *peer, now clock.Millis) bool {
	return now-p.heard < aliveSpan && !p.leaving
}

// lost returns a member of the own zone that did not answer last, or that was not
// heard of for so long that it may have another reader, and may be asked again: the
// one asked longest ago, or nil.
func (m *members) lost(now clock.Millis) *peer {
	var oldest *peer
	for _, p := range m.peers {
		lost := p.failing || !p.leaving && !m.alive(p, now)
		if lost && p.member.Zone == m.self.Zone && now >= p.retry && (oldest == nil || p.retry < oldest.retry) {
			oldest = p
		}
	}
	return oldest
}

// away returns the peer that left or did not answer last and was asked longest ago whether
// it is back, and notes that it is asked now; or nil. Most members of other zones are only
// not heard of, and are none.
func (m *members) away(now clock.Millis) *peer {
	var oldest *peer
	for _, p := range m.peers {
		if !p.leaving && !p.failing || now < p.revisited+revisitPause {
			continue
		}
		if oldest == nil || p.revisited < oldest.revisited {
			oldest = p
		}
	}
	if oldest != nil {
		oldest.revisited = now
	}
	return oldest
}

// known returns how many of the members are alive, with this instance.
func (m *members) known(now clock.Millis) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 1
	for _, p := range m.peers {
		if m.alive(p, now) {
			n++
		}
	}
	return n
}

// ranked returns the live members of a zone in the order in which they take duties.
func (m *members) ranked(zone ticket.ZoneName, now clock.Millis) []Member {
	var list []Member
	if m.self.Zone == zone {
		list = append(list, m.self)
	}
	for _, p := range m.peers {
		if p.member.Zone == zone && m.alive(p, now) && !p.failing {
			list = append(list, p.member)
		}
	}
	key := xxhash.Sum64String(string(zone))
	slices.SortFunc(list, func(a, b Member) int {
		if a.before(b, key) {
			return -1
		}
		return 1
	})
	return list
}

// rank returns this instance's place in its zone.
func (m *members) rank(now clock.Millis) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.IndexFunc(m.ranked(m.self.Zone, now), func(x Member) bool { return x.Name == m.self.Name })
}

// dutyRank returns this instance's place among the readers of all zones, who
// have the evidence for a duty; all others stand behind them.
func (m *members) dutyRank(key uint64, now clock.Millis) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	rank, reader := 0, false
	for _, zone := range append(m.zones(now), m.self.Zone) {
		first := m.ranked(zone, now)
		switch {
		case len(first) == 0:
		case first[0].Name == m.self.Name:
			reader = true
		case !m.self.before(first[0], key):
			rank++
		}
	}
	if !reader {
		rank = len(m.peers) // Each instance counts fewer readers than this.
	}
	return rank
}

// count returns how many instances may use a part of the fleet's limits.
func (m *members) count(now clock.Millis) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, told := 1, 0
	for name, p := range m.peers {
		switch {
		case now-p.heard < countSpan:
			n++
			told = max(told, p.count)
		case now-p.heard > forgetSpan:
			delete(m.peers, name)
		}
	}
	return max(n, told)
}

// zones returns the zones of the live peers other than this instance's.
func (m *members) zones(now clock.Millis) []ticket.ZoneName {
	var list []ticket.ZoneName
	for _, p := range m.peers {
		z := p.member.Zone
		if z != m.self.Zone && m.alive(p, now) && !slices.Contains(list, z) {
			list = append(list, z)
		}
	}
	slices.Sort(list)
	return list
}

// strangers is how many members of another zone a list names.
const strangers = 2

// list returns the members that an instance of the zone needs to know: those of
// its zone, and the first of each other.
func (m *members) list(zone ticket.ZoneName, now clock.Millis) []MemberEntry {
	var list []MemberEntry
	for _, z := range append(m.zones(now), m.self.Zone) {
		for i, member := range m.ranked(z, now) {
			if z != zone && i >= strangers {
				break
			}
			h := MemberEntry{Member: member}
			if p := m.peers[member.Name]; p != nil {
				h.Age = now - p.heard
			}
			list = append(list, h)
		}
	}
	return list
}
