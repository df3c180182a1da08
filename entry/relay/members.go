package relay

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/loadlist"
	"foxtailbridge/policy/ticket"
)

const (
	// aliveTimeout is how long a member counts as alive after it was last seen: about
	// three times the period at which member lists are exchanged.
	aliveTimeout = 5 * clock.Second
	// instanceCountTimeout is how long a member that is not seen still counts in the
	// division of fleet limits.
	instanceCountTimeout = 30 * clock.Second
	// followTimeout is how long a member of its zone may send a reader nothing before the reader
	// contacts it: some exchange periods.
	followTimeout = 4 * exchangePeriod
	// forgetTimeout is the time without being seen after which a member is removed.
	forgetTimeout = 2 * clock.Minute
)

// peer is the state kept for another instance.
type peer struct {
	member Member
	// lastSeen is the latest time at which any instance is known to have seen the peer.
	lastSeen clock.Millis
	// heardAt is when the peer's last message arrived here, or 0.
	heardAt clock.Millis
	// heads holds the feed heads that the peer last reported.
	heads map[registry.Feed]registry.Position
	// config identifies the configuration that the peer last reported as in force, or is nil if
	// the peer doesn't report it.
	config *registry.ConfigID
	// receivedLoads is the load list received from the peer, sentLoads the one that it
	// has if all messages sent to it arrived.
	receivedLoads loadList
	sentLoads     loadList
	// ackedLoads is the version of the last load list acknowledged by the peer.
	ackedLoads loadlist.Version
	// suspicionsSent is the number of entries of Relay.suspicions sent to the peer.
	suspicionsSent int
	// holdsSent and leavingSent are the numbers of entries of Relay.holds and
	// Relay.leavingEndpoints sent to the peer.
	holdsSent   int
	leavingSent int
	// orderStarts holds the order starts that the peer knows, by the orders' keys.
	orderStarts map[string]peerOrderStart
	// removalsSentAt is when removals of endpoints were last sent to the peer, or 0.
	removalsSentAt clock.Millis
	// retryAt is when exchanges with the peer are tried again after a failure.
	retryAt clock.Millis
	failing bool
	leaving bool
	// reprobedAt is when the peer was last probed while it was leaving or failing.
	reprobedAt clock.Millis
}

// resendAll makes the next message repeat everything that is otherwise sent only once,
// because the peer may not have received the last message.
func (p *peer) resendAll() {
	p.suspicionsSent, p.holdsSent, p.leavingSent, p.removalsSentAt = 0, 0, 0, 0
	clear(p.orderStarts)
}

// members is the set of known instances. mu guards it; some methods lock it themselves,
// the others expect the caller to hold it.
type members struct {
	mu    sync.Mutex
	self  Member
	peers map[string]*peer
	// counts holds the number of instances of each zone as its reader last counted them.
	counts map[ticket.ZoneName]zoneCount
	// tooMany is true if a peer was ignored since the last message because maxPeers are known.
	tooMany bool
}

func newMembers(self Member) *members {
	return &members{self: self, peers: map[string]*peer{}, counts: map[ticket.ZoneName]zoneCount{}}
}

// maxPeers bounds the number of known peers: some times the instances of the largest fleet.
const maxPeers = 4096

// observe records when a member was last seen and returns its peer, or nil for this instance.
// A new run of a known member replaces its state. The caller holds the lock.
func (m *members) observe(entry MemberEntry, now clock.Millis) *peer {
	if entry.Name == m.self.Name || entry.Name == "" {
		return nil
	}
	p := m.peers[entry.Name]
	if p == nil {
		if len(m.peers) >= maxPeers {
			m.tooMany = true
			return nil
		}
		p = &peer{member: entry.Member, lastSeen: now - max(0, entry.Age)}
		m.peers[entry.Name] = p
		return p
	}
	if at := now - max(0, entry.Age); at > p.lastSeen {
		p.lastSeen = at
		if p.member.RunID != entry.RunID {
			*p = peer{member: entry.Member, lastSeen: at}
		}
	}
	return p
}

// resendAll calls resendAll of the named peer.
func (m *members) resendAll(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[name]; p != nil {
		p.resendAll()
	}
}

func (m *members) alive(p *peer, now clock.Millis) bool {
	return now-p.lastSeen < aliveTimeout && !p.leaving
}

// nextLost returns a member of this instance's zone that failed the last exchange, or that
// sent this instance nothing for so long that it may follow another reader, and whose retry
// is due: the one with the earliest retry time, or nil.
func (m *members) nextLost(now clock.Millis) *peer {
	var oldest *peer
	for _, p := range m.peers {
		lost := p.failing || !p.leaving && now-p.heardAt > followTimeout
		if lost && p.member.Zone == m.self.Zone && now >= p.retryAt && (oldest == nil || p.retryAt < oldest.retryAt) {
			oldest = p
		}
	}
	return oldest
}

// nextToReprobe returns the least recently probed of the peers that left or failed the last
// exchange, and records that it is probed now. It returns nil if no probe is due. Peers that
// merely were not seen for long are not probed: that is normal for members of other zones.
func (m *members) nextToReprobe(now clock.Millis) *peer {
	var oldest *peer
	for _, p := range m.peers {
		if !p.leaving && !p.failing || now < p.reprobedAt+reprobePeriod {
			continue
		}
		if oldest == nil || p.reprobedAt < oldest.reprobedAt {
			oldest = p
		}
	}
	if oldest != nil {
		oldest.reprobedAt = now
	}
	return oldest
}

// countAlive returns the number of live members, including this instance.
func (m *members) countAlive(now clock.Millis) int {
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

// live returns the live members of a zone in any order.
func (m *members) live(zone ticket.ZoneName, now clock.Millis) []Member {
	var list []Member
	if m.self.Zone == zone {
		list = append(list, m.self)
	}
	for _, p := range m.peers {
		if p.member.Zone == zone && m.alive(p, now) && !p.failing {
			list = append(list, p.member)
		}
	}
	return list
}

// compareRanks returns a comparison that puts the members of a zone in the order of their ranks.
func compareRanks(zone ticket.ZoneName) func(a, b Member) int {
	key := xxhash.Sum64String(string(zone))
	return func(a, b Member) int {
		if a.outranks(b, key) {
			return -1
		}
		return 1
	}
}

// ranked returns the live members of a zone by rank. The first is the zone's reader.
func (m *members) ranked(zone ticket.ZoneName, now clock.Millis) []Member {
	list := m.live(zone, now)
	slices.SortFunc(list, compareRanks(zone))
	return list
}

// reader returns the reader of a zone, and false if no live member of the zone is known.
func (m *members) reader(zone ticket.ZoneName, now clock.Millis) (Member, bool) {
	list := m.live(zone, now)
	if len(list) == 0 {
		return Member{}, false
	}
	return slices.MinFunc(list, compareRanks(zone)), true
}

// isReader reports whether this instance is the reader of its zone.
func (m *members) isReader(now clock.Millis) bool {
	reader, _ := m.reader(m.self.Zone, now)
	return reader.Name == m.self.Name
}

// rank returns this instance's rank in its zone.
func (m *members) rank(now clock.Millis) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.IndexFunc(m.ranked(m.self.Zone, now), func(x Member) bool { return x.Name == m.self.Name })
}

// dutyRank returns this instance's rank for a duty among the readers of all zones, which
// have the evidence for it. All other instances rank behind the readers.
func (m *members) dutyRank(key uint64, now clock.Millis) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	rank, reader := 0, false
	for _, zone := range append(m.zones(now), m.self.Zone) {
		ranked := m.ranked(zone, now)
		switch {
		case len(ranked) == 0:
		case ranked[0].Name == m.self.Name:
			reader = true
		case !m.self.outranks(ranked[0], key):
			rank++
		}
	}
	if !reader {
		rank = len(m.peers) // No reader has a rank this high.
	}
	return rank
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

// membersPerOtherZone is the number of members that a list holds of each zone other than
// the receiver's.
const membersPerOtherZone = 2

// list returns the members that an instance of the zone needs to know: all of its own zone
// and the highest-ranked of each other zone.
func (m *members) list(zone ticket.ZoneName, now clock.Millis) []MemberEntry {
	var list []MemberEntry
	for _, z := range append(m.zones(now), m.self.Zone) {
		for i, member := range m.ranked(z, now) {
			if z != zone && i >= membersPerOtherZone {
				break
			}
			list = append(list, m.entry(member, now))
		}
	}
	return list
}

// readerEntry returns the reader of a zone, or nil if no live member of it is known.
func (m *members) readerEntry(zone ticket.ZoneName, now clock.Millis) *MemberEntry {
	reader, ok := m.reader(zone, now)
	if !ok {
		return nil
	}
	entry := m.entry(reader, now)
	return &entry
}

// entry returns the entry of a known member.
func (m *members) entry(member Member, now clock.Millis) MemberEntry {
	entry := MemberEntry{Member: member}
	if p := m.peers[member.Name]; p != nil {
		entry.Age = now - p.lastSeen
	}
	return entry
}
