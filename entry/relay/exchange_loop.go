package relay

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/clock"
)

// Run exchanges with peers until ctx is done.
func (r *Relay) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.runRound(ctx)
		select {
		case <-r.broadcastRequested:
			r.broadcast(ctx)
		case <-ctx.Done():
		case <-time.After(exchangePeriod.Duration()):
		}
	}
}

// TriggerBroadcast makes Run send changes to the peers at once instead of in the next round.
func (r *Relay) TriggerBroadcast() {
	select {
	case r.broadcastRequested <- struct{}{}:
	default:
	}
}

// logMemberCount logs the number of live members if it has changed considerably.
func (r *Relay) logMemberCount(now clock.Millis) {
	n := r.members.countAlive(now)
	change := math.Abs(float64(n - r.loggedMembers))
	if change < memberLogChange*float64(max(n, r.loggedMembers)) || change == 0 || r.loggedMembers > 0 && now-r.loggedAt < memberLogPeriod {
		return
	}
	r.logger.Info("members", "known", n, "before", r.loggedMembers)
	r.loggedMembers, r.loggedAt = n, now
}

// target is a peer to exchange with.
type target struct{ name, address string }

// runRound exchanges with the targets of one round.
func (r *Relay) runRound(ctx context.Context) {
	now := r.deps.Clock.Mono()
	r.mu.Lock()
	r.round++
	withMembers := r.round%memberListInterval == 1
	r.mu.Unlock()
	r.reprobe(ctx, now)
	r.logMemberCount(now)
	r.exchangeAll(ctx, r.targets(now), withMembers)
}

// reprobe has a zone's reader probe one peer that left or failed: a restarted peer knows only
// the seeds, which may have restarted themselves. The round does not wait for the response,
// because an instance that is gone sends none.
func (r *Relay) reprobe(ctx context.Context, now clock.Millis) {
	m := r.members
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isReader(now) {
		return
	}
	if p := m.nextToReprobe(now); p != nil {
		go r.exchange(ctx, p.member.Address, p.member.Name, true)
	}
}

// exchangeAll exchanges with all targets concurrently.
func (r *Relay) exchangeAll(ctx context.Context, targets []target, withMembers bool) {
	var wait sync.WaitGroup
	for _, t := range targets {
		wait.Go(func() { r.exchange(ctx, t.address, t.name, withMembers || t.name == "") })
	}
	wait.Wait()
}

// targets picks the peers of one round. A member picks the reader of its zone, a reader picks
// the readers of the other zones and a lost member of its own. An instance with a stale view
// also picks the other zones' readers and a random peer.
func (r *Relay) targets(now clock.Millis) []target {
	age := r.deps.Registry.Age(registry.FeedEndpoints)
	m := r.members
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []target
	add := func(member Member) {
		if p := m.peers[member.Name]; p != nil && now >= p.retryAt {
			list = append(list, target{member.Name, member.Address})
		}
	}
	zoneReader, _ := m.reader(m.self.Zone, now)
	reader := zoneReader.Name == m.self.Name
	if !reader {
		add(zoneReader)
	}
	if reader || age > staleViewAge {
		for _, zone := range m.zones(now) {
			if other, ok := m.reader(zone, now); ok {
				add(other)
			}
		}
	}
	if lost := m.nextLost(now); reader && lost != nil {
		// Otherwise two members that each consider the other lost would both stay readers.
		add(lost.member)
	}
	if age > staleViewAge || len(list) == 0 {
		list = append(list, r.randomPeer(now)...)
	}
	return list
}

// randomPeer returns a random peer whose retry is due, or the seeds if there is none.
func (r *Relay) randomPeer(now clock.Millis) []target {
	var known []target
	for _, p := range r.members.peers {
		if now >= p.retryAt {
			known = append(known, target{p.member.Name, p.member.Address})
		}
	}
	if len(known) > 0 {
		return known[rand.IntN(len(known)):][:1]
	}
	var list []target
	for _, address := range r.seeds {
		if address != r.members.self.Address {
			list = append(list, target{address: address})
		}
	}
	return list
}

// broadcast exchanges with every live peer of the zone and the two highest-ranked members of
// each other zone.
func (r *Relay) broadcast(ctx context.Context) {
	now := r.deps.Clock.Mono()
	m := r.members
	m.mu.Lock()
	var list []target
	for _, p := range m.peers {
		if p.member.Zone == m.self.Zone && m.alive(p, now) && now >= p.retryAt {
			list = append(list, target{p.member.Name, p.member.Address})
		}
	}
	for _, zone := range m.zones(now) {
		others := m.ranked(zone, now)
		for _, member := range others[:min(2, len(others))] {
			list = append(list, target{member.Name, member.Address})
		}
	}
	m.mu.Unlock()
	r.exchangeAll(ctx, list, false)
}
