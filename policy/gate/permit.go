package gate

import (
	"foxtailbridge/policy/clock"
)

// EndpointID identifies an endpoint.
type EndpointID string

// PermitID identifies one permit.
type PermitID string

// PermitTTL bounds how long a permit lasts; its owner ends the work by then.
const PermitTTL = 30 * clock.Second

// Permits counts the work of cold endpoints at the lease holder.
// It is not safe for concurrent use.
type Permits struct {
	since       clock.Millis
	outstanding map[EndpointID]map[PermitID]clock.Millis
}

// NewPermits returns Permits of a tenure that began at the time. Permits of the
// holder before may last until PermitSpan later, so none is granted until then
// unless fresh is true because there was no holder before.
func NewPermits(since clock.Millis, fresh bool) *Permits {
	if fresh {
		since -= PermitTTL
	}
	return &Permits{since: since, outstanding: map[EndpointID]map[PermitID]clock.Millis{}}
}

// Grant gives a permit for the endpoint unless it would exceed what the
// endpoint bears; an outstanding permit is granted again.
func (p *Permits) Grant(endpoint EndpointID, id PermitID, bears int, now clock.Millis) bool {
	if now < p.since+PermitTTL {
		return false
	}
	permits := p.live(endpoint, now)
	if _, again := permits[id]; again {
		return true
	}
	if len(permits) >= bears {
		return false
	}
	permits[id] = now + PermitTTL
	return true
}

// Release ends a permit.
func (p *Permits) Release(endpoint EndpointID, id PermitID) {
	delete(p.outstanding[endpoint], id)
}

func (p *Permits) live(endpoint EndpointID, now clock.Millis) map[PermitID]clock.Millis {
	permits := p.outstanding[endpoint]
	if permits == nil {
		permits = map[PermitID]clock.Millis{}
		p.outstanding[endpoint] = permits
	}
	for id, until := range permits {
		if until <= now {
			delete(permits, id)
		}
	}
	return permits
}
