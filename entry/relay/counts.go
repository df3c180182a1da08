package relay

import (
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
)

// ZoneCount is the number of instances of a zone, and the time since its reader counted them.
type ZoneCount struct {
	Count int          `json:"count"`
	Age   clock.Millis `json:"age-ms"`
}

// zoneCount is a ZoneCount with the time at which the instances were counted.
type zoneCount struct {
	count     int
	countedAt clock.Millis
}

const (
	// maxZoneCount and maxZones bound what is believed of a peer's counts. A count that is far
	// too high would leave every instance without a share of the fleet's limits.
	maxZoneCount = maxPeers
	maxZones     = 64
)

// countKnown returns the number of a zone's instances that this instance knows itself. The caller holds
// the lock.
func (m *members) countKnown(zone ticket.ZoneName, now clock.Millis) int {
	n := 0
	if zone == m.self.Zone {
		n = 1
	}
	for _, p := range m.peers {
		if p.member.Zone == zone && now-p.lastSeen < instanceCountTimeout {
			n++
		}
	}
	return n
}

// zoneCounts returns the counts to tell peers. A zone's reader counts its zone anew. The caller
// holds the lock.
func (m *members) zoneCounts(reader bool, now clock.Millis) map[ticket.ZoneName]ZoneCount {
	if reader {
		m.counts[m.self.Zone] = zoneCount{count: m.countKnown(m.self.Zone, now), countedAt: now}
	}
	list := make(map[ticket.ZoneName]ZoneCount, len(m.counts))
	for zone, c := range m.counts {
		list[zone] = ZoneCount{Count: c.count, Age: now - c.countedAt}
	}
	return list
}

// mergeZoneCounts adopts counts that are newer than the known ones, and returns the zones of
// those that make no sense. The caller holds the lock.
func (m *members) mergeZoneCounts(counts map[ticket.ZoneName]ZoneCount, now clock.Millis) (ignored []ticket.ZoneName) {
	for zone, c := range counts {
		known, ok := m.counts[zone]
		if c.Count < 1 || c.Count > maxZoneCount || c.Age < 0 || !ok && len(m.counts) >= maxZones {
			ignored = append(ignored, zone)
			continue
		}
		if at := now - c.Age; !ok || at > known.countedAt {
			m.counts[zone] = zoneCount{count: c.Count, countedAt: at}
		}
	}
	return ignored
}

// instanceCount returns the number of instances among which the fleet's limits are divided: in
// each zone those that its reader counted, or those that this instance knows itself if they are
// more. A zone that is cut off counts until forgetTimeout, as its instances may still reach
// endpoints. It also removes members that were not seen for that long.
func (m *members) instanceCount(now clock.Millis) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := map[ticket.ZoneName]int{m.self.Zone: 1}
	for name, p := range m.peers {
		switch {
		case now-p.lastSeen < instanceCountTimeout:
			known[p.member.Zone]++
		case now-p.lastSeen > forgetTimeout:
			delete(m.peers, name)
		}
	}
	for zone, c := range m.counts {
		if now-c.countedAt > forgetTimeout {
			delete(m.counts, zone)
			continue
		}
		known[zone] = max(known[zone], c.count)
	}
	sum := 0
	for _, n := range known {
		sum += n
	}
	return sum
}
