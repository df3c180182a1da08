package endpoints

import (
	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fairshare"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/share"
	"foxtailbridge/policy/ticket"
)

const (
	// minSlotTimes is the number of requests after which the time in which a request occupies
	// slots is known.
	minSlotTimes = 20
	// rejectionWindow is the time over which attempts that endpoints reject are counted.
	rejectionWindow = clock.Second
	// minRejections is the number of rejected attempts within that time from which endpoints may
	// count as refusing: a single one may come from an endpoint that fails.
	minRejections = 5
)

// slotUse is how a service's requests occupy slots.
type slotUse struct {
	// slotTime is the mean time for which a request occupies slots, in milliseconds.
	slotTime placement.MovingAverage
	// attempts and rejections count the attempts that ended, and those that endpoints rejected.
	attempts, rejections share.SlidingWindow
}

// countAttempt counts an attempt that has ended.
func (u *slotUse) countAttempt(rejected bool, now clock.Millis) {
	u.attempts.Add(rejectionWindow, now)
	if rejected {
		u.rejections.Add(rejectionWindow, now)
	}
}

// refusing reports whether the endpoints rejected most of the recent attempts.
func (u *slotUse) refusing(now clock.Millis) bool {
	rejected := u.rejections.Sum(rejectionWindow, now)
	return rejected >= minRejections && 2*rejected > u.attempts.Sum(rejectionWindow, now)
}

// RecordSlotTime records for how long a request that has ended occupied slots.
func (t *Tracker) RecordSlotTime(service ticket.ServiceName, took clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	updateAverage(&t.states.pool(service).use.slotTime, float64(took), runTimeWindow)
}

// Capacity returns what the endpoints of a service can take that are reachable from a zone. The
// limit is the utilization up to which requests queue at an endpoint.
func (t *Tracker) Capacity(view *registry.State, service *catalog.Service, zone ticket.ZoneName, limit float64) fairshare.Capacity {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.deps.Clock.Mono()
	t.syncView(view, now)
	p := t.states.pool(service.Name)
	c := fairshare.Capacity{Refusing: p.use.refusing(now)}
	if p.use.slotTime.Count >= minSlotTimes {
		c.SlotTime = max(1, clock.Millis(p.use.slotTime.Mean))
	}
	for _, s := range p.states {
		switch {
		case !t.takesRequests(view, s, zone, now):
		case s.Cold(now):
			c.ColdSlots += s.Endpoint.Slots
			c.ColdRate += fairshare.Rate(share.FleetShare * service.ColdRate)
		default:
			places := limit * float64(s.Endpoint.Slots)
			c.Slots += s.Endpoint.Slots
			c.Places += places
			c.Room += max(0, places-float64(s.InFlight(now)))
		}
	}
	return c
}

// takesRequests reports whether an endpoint of the view, to which the states were updated, takes
// requests; the caller holds the lock. catalog.View.Usable would search the view for each.
func (t *Tracker) takesRequests(view *registry.State, s *placement.State, zone ticket.ZoneName, now clock.Millis) bool {
	e := s.Endpoint
	return mayGetRequests(view, s) && s.WantsRequests(now) && !s.InBackoff(now) && (e.Zone == zone || !t.zones.inBackoff(e.Zone, now))
}

// slotTimeOf returns for how long an attempt occupied a slot: the part of its time in which it did
// not wait, estimated from the load of the endpoint; the caller holds the lock.
func slotTimeOf(s *placement.State, sentAt, now clock.Millis) clock.Millis {
	return clock.Millis(float64(now-sentAt) / max(1, s.Fullness(now)))
}
