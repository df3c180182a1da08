package pool

import (
	"foxtailbridge/link/endpoint"
	"foxtailbridge/link/platform"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// Slots returns the total slots of the engines that are neither down nor draining.
func (p *Pool) Slots() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := 0
	for _, m := range p.members {
		if m.listing.Kind == platform.EndpointEngine && !m.view.Down && !m.view.Draining {
			total += m.view.Slots
		}
	}
	return total
}

// Serving reports whether any endpoint that is neither down nor draining serves s.
func (p *Pool) Serving(s routing.ServedName) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := false
	p.index.ForEach(s, func(e *routing.Endpoint) { found = found || !e.Down && !e.Draining })
	return found
}

// Status is the state of an endpoint as shown to operators.
type Status struct {
	Listing   platform.EndpointListing
	Phase     endpoint.Phase
	Down      bool
	Ejected   bool
	InFlight  int
	ReportAge clock.Millis
}

// Statuses returns the state of all endpoints.
func (p *Pool) Statuses() []Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Mono()
	list := make([]Status, 0, len(p.members))
	for _, m := range p.members {
		list = append(list, Status{
			Listing:   m.listing,
			Phase:     m.load.Phase,
			Down:      m.view.Down,
			Ejected:   m.ejectedUntil > now,
			InFlight:  m.view.OwnInFlight,
			ReportAge: now - m.reportedAt,
		})
	}
	return list
}

// ZoneEngines returns the engines of a zone that aren't down, with what the
// gatekeeper needs to send them orders.
func (p *Pool) ZoneEngines(zone ticket.ZoneName) []Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	var engines []Engine
	for _, m := range p.members {
		if m.listing.Zone == zone && m.listing.Kind == platform.EndpointEngine && !m.view.Down {
			engines = append(engines, Engine{Listing: m.listing, Load: m.load, Client: m.client})
		}
	}
	return engines
}

// Engine is a model engine with its last load report.
type Engine struct {
	Listing platform.EndpointListing
	Load    endpoint.Load
	Client  *endpoint.Endpoint
}
