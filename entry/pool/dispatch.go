package pool

import (
	"foxtailbridge/link/endpoint"
	"foxtailbridge/policy/fault"
	"foxtailbridge/policy/gate"
	"foxtailbridge/policy/quarantine"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// Dispatch is one attempt at one endpoint.
type Dispatch struct {
	// Endpoint is the client of the chosen endpoint.
	Endpoint *endpoint.Endpoint
	ID       routing.EndpointID
	Zone     ticket.ZoneName
	Choice   routing.Choice
	// ColdLimit is the number of concurrent requests that the endpoint accepts
	// during cold start.
	ColdLimit int

	member *member
	digest quarantine.Digest
	boot   gate.BootID
	// alone is true if no other request was in flight at the endpoint during
	// this dispatch.
	alone bool
}

// Begin chooses an endpoint and counts the attempt as in flight. Permissions are
// checked against the query's view of the configuration, so call it right before
// the dispatch.
func (p *Pool) Begin(q *routing.Query, digest quarantine.Digest) (*Dispatch, routing.Choice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	choice := p.index.Choose(q, p.random)
	if choice.Endpoint == nil {
		return nil, choice
	}
	return p.begin(p.members[choice.Endpoint.ID], choice, digest), choice
}

// BeginCold chooses an endpoint in cold start, or returns nil if there is none.
// The caller must acquire a permit before it dispatches.
func (p *Pool) BeginCold(q *routing.Query, digest quarantine.Digest, reason routing.Reason) *Dispatch {
	p.mu.Lock()
	defer p.mu.Unlock()
	choice := p.index.ChooseCold(q, reason)
	if choice.Endpoint == nil {
		return nil
	}
	return p.begin(p.members[choice.Endpoint.ID], choice, digest)
}

func (p *Pool) begin(m *member, choice routing.Choice, digest quarantine.Digest) *Dispatch {
	d := &Dispatch{
		Endpoint:  m.client,
		ID:        m.view.ID,
		Zone:      m.view.Zone,
		Choice:    choice,
		ColdLimit: max(1, m.load.ColdLimit),
		member:    m,
		digest:    digest,
		boot:      m.warmup.Boot(),
		alone:     m.view.Load() == 0,
	}
	m.inFlight[d] = true
	m.view.OwnInFlight++
	for other := range m.inFlight {
		other.alone = other.alone && len(m.inFlight) == 1
	}
	return d
}

// End removes the attempt from those in flight and updates the endpoint's health
// from its result. If the connection broke, the request is reported to
// OnSuspicion as a possible cause.
func (p *Pool) End(d *Dispatch, err error) {
	kind := fault.KindOf[endpoint.Kind](err)
	p.mu.Lock()
	m := d.member
	delete(m.inFlight, d)
	m.view.OwnInFlight--
	p.recordResult(m, kind)
	p.refresh(m)
	p.mu.Unlock()
	if kind == endpoint.KindBroken {
		crash := quarantine.CrashID(string(d.ID) + "/" + string(d.boot))
		p.OnSuspicion(quarantine.Suspicion{Digest: d.digest, Crash: crash, Alone: d.alone})
	}
}

// recordResult updates a member's failure count and warm-up state from the result of an
// attempt, and ejects it after too many consecutive failures. The caller holds
// p.mu.
func (p *Pool) recordResult(m *member, kind endpoint.Kind) {
	switch kind {
	case "":
		m.failures = 0
		return
	case endpoint.KindCanceled, endpoint.KindRefused:
		return
	case endpoint.KindBroken, endpoint.KindNotSent:
		if m.warmup.MarkCold() {
			p.logger.Info("endpoint-warmth", "endpoint", m.listing.ID, "phase", endpoint.PhaseCold, "cause", kind)
		}
	}
	m.failures++
	if m.failures >= ejectAfterFailures && p.mayEject(m) {
		m.ejectedUntil = p.clock.Mono() + ejectDuration
		m.failures = 0
		p.logger.Warn("endpoint-ejected", "endpoint", m.listing.ID, "for-ms", ejectDuration)
	}
}

// mayEject reports whether ejecting m stays within maxEjectedRatio. The caller
// holds p.mu.
func (p *Pool) mayEject(m *member) bool {
	total, ejected := 0, 1
	now := p.clock.Mono()
	for _, other := range p.members {
		if other.view.Serves != m.view.Serves {
			continue
		}
		total++
		if other.ejectedUntil > now {
			ejected++
		}
	}
	return float64(ejected) <= maxEjectedRatio*float64(total)
}
