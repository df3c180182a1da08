package gate

import (
	"foxtailbridge/policy/clock"
)

// EndpointID identifies an endpoint.
type EndpointID string

// PermitID identifies one permit, so that granting it is idempotent.
type PermitID string

// PermitTTL is how long a permit is valid; its owner ends the request by then.
const PermitTTL = 30 * clock.Second

// Permits tracks, on the lease holder, the permits outstanding for each cold endpoint.
// It is not safe for concurrent use.
type Permits struct {
	tenureStart clock.Millis
	outstanding map[EndpointID]map[PermitID]clock.Millis
}

// NewPermits returns the Permits of a tenure that started at tenureStart. Permits
// issued by the previous holder may be valid for another PermitTTL, so none is
// granted until then, unless firstTenure says that there was no previous holder.
func NewPermits(tenureStart clock.Millis, firstTenure bool) *Permits {
	if firstTenure {
		tenureStart -= PermitTTL
	}
	return &Permits{tenureStart: tenureStart, outstanding: map[EndpointID]map[PermitID]clock.Millis{}}
}

// Grant grants a permit for the endpoint unless limit permits are outstanding
// there. Granting an outstanding permit again succeeds.
func (p *Permits) Grant(endpoint EndpointID, id PermitID, limit int, now clock.Millis) bool {
	if now < p.tenureStart+PermitTTL {
		return false
	}
	permits := p.unexpired(endpoint, now)
	if _, granted := permits[id]; granted {
		return true
	}
	if len(permits) >= limit {
		return false
	}
	permits[id] = now + PermitTTL
	return true
}

// Release returns a permit before it expires.
func (p *Permits) Release(endpoint EndpointID, id PermitID) {
	delete(p.outstanding[endpoint], id)
}

// unexpired drops an endpoint's expired permits and returns the others.
func (p *Permits) unexpired(endpoint EndpointID, now clock.Millis) map[PermitID]clock.Millis {
	permits := p.outstanding[endpoint]
	if permits == nil {
		permits = map[PermitID]clock.Millis{}
		p.outstanding[endpoint] = permits
	}
	for id, expiresAt := range permits {
		if expiresAt <= now {
			delete(permits, id)
		}
	}
	return permits
}
