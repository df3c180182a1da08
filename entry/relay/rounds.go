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

// Run exchanges with peers until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.round(ctx)
		select {
		case <-r.urged:
			r.spread(ctx)
		case <-ctx.Done():
		case <-time.After(period.Duration()):
		}
	}
}

// TriggerBroadcast makes news go out at once.
func (r *Relay) TriggerBroadcast() {
	select {
	case r.urged <- struct{}{}:
	default:
	}
}

// noteKnown logs that much more or fewer members are known than before.
func (r *Relay) noteKnown(now clock.Millis) {
	n := r.members.known(now)
	change := math.Abs(float64(n - r.logged))
	if change < knownChange*float64(max(n, r.logged)) || change == 0 || r.logged > 0 && now-r.loggedAt < knownPeriod {
		return
	}
	r.logger.Info("members", "known", n, "before", r.logged)
	r.logged, r.loggedAt = n, now
}

// target is a peer to exchange with.
type target struct{ name, address string }

func (r *Relay) round(ctx context.Context) {
	now := r.parts.Clock.Mono()
	r.mu.Lock()
	r.turn++
	withMembers := r.turn%membersEvery == 1
	r.mu.Unlock()
	r.revisit(ctx, now)
	r.noteKnown(now)
	r.each(ctx, r.targets(now), withMembers)
}

// revisit has a zone's reader ask one peer that is away whether it is back: one that starts
// again knows only the seeds, which may have started again themselves. The round does not
// wait for the answer, as a machine that is gone gives none.
func (r *Relay) revisit(ctx context.Context, now clock.Millis) {
	m := r.members
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ranked(m.self.Zone, now)[0].Name != m.self.Name {
		return
	}
	if p := m.away(now); p != nil {
		go r.exchange(ctx, p.member.Address, p.member.Name, true)
	}
}

// each exchanges with all targets at once.
func (r *Relay) each(ctx context.Context, targets []target, withMembers bool) {
	var wait sync.WaitGroup
	for _, t := range targets {
		wait.Go(func() { r.exchange(ctx, t.address, t.name, withMembers || t.name == "") })
	}
	wait.Wait()
}

// targets picks the peers of one round: a plain member asks the reader of its
// zone; the reader asks those of the other zones; who has old news asks anyone.
func (r *Relay) targets(now clock.Millis) []target {
	age := r.parts.Registry.Age(registry.FeedEndpoints)
	m := r.members
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []target
	add := func(member Member) {
		if p := m.peers[member.Name]; p != nil && now >= p.retry {
			list = append(list, target{member.Name, member.Address})
		}
	}
	ranked := m.ranked(m.self.Zone, now)
	reader := ranked[0].Name == m.self.Name
	if !reader {
		add(ranked[0])
	}
	if reader || age > lonelySpan {
		for _, zone := range m.zones(now) {
			if others := m.ranked(zone, now); len(others) > 0 {
				add(others[0])
			}
		}
	}
	if lost := m.lost(now); reader && lost != nil {
		// Two members that each take the other for lost would both read for good.
		add(lost.member)
	}
	if age > lonelySpan || len(list) == 0 {
		list = append(list, r.anyone(now)...)
	}
	return list
}

// anyone returns a random member that may be asked, or the seeds while no
// member is known.
func (r *Relay) anyone(now clock.Millis) []target {
	var known []target
	for _, p := range r.members.peers {
		if now >= p.retry {
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

// spread tells every live peer of the zone and the readers of the others.
func (r *Relay) spread(ctx context.Context) {
	now := r.parts.Clock.Mono()
	m := r.members
	m.mu.Lock()
	var list []target
	for _, p := range m.peers {
		if p.member.Zone == m.self.Zone && m.alive(p, now) && now >= p.retry {
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
	r.each(ctx, list, false)
}
