package endpoints

import (
	"fmt"
	"testing"
	"time"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// TestCapacityOfUsableEndpoints guards against a capacity that counts endpoints that get no requests.
func TestCapacityOfUsableEndpoints(t *testing.T) {
	tracker, view, service := newTestTracker()
	if c := tracker.Capacity(view, service, "", 1.5); c.Slots != 32 || c.Places != 48 || c.Room != 48 {
		t.Errorf("%+v of two endpoints", c)
	}
	next := *view
	next.Version++
	draining := *view.Endpoints[service.Name][1]
	draining.Draining = true
	next.Endpoints = map[ticket.ServiceName][]*catalog.Endpoint{service.Name: {view.Endpoints[service.Name][0], &draining}}
	if c := tracker.Capacity(&next, service, "", 1.5); c.Slots != 16 {
		t.Errorf("%+v with one draining", c)
	}
	drained := *view
	drained.Version += 2
	drained.DrainedZones = map[ticket.ZoneName]bool{"": true}
	if c := tracker.Capacity(&drained, service, "", 1.5); c.Slots != 0 || c.Places != 0 {
		t.Errorf("%+v with the zone drained", c)
	}
}

// TestCapacityCost guards against a cost of each request, also with free endpoints, that rises with
// the square of the number of endpoints: small instances serve 140 of them with 0.13 of a core.
func TestCapacityCost(t *testing.T) {
	cost := func(n int) time.Duration {
		tracker, _, service := newTestTracker()
		view := &registry.State{Version: 2}
		view.Endpoints = map[ticket.ServiceName][]*catalog.Endpoint{}
		for i := range n {
			e := &catalog.Endpoint{ID: routing.EndpointID(fmt.Sprintf("engine-%05d", i)), Service: service.Name, Slots: 16}
			view.Endpoints[service.Name] = append(view.Endpoints[service.Name], e)
		}
		tracker.Capacity(view, service, "", 1.5)
		least := time.Hour
		for range 7 {
			start := time.Now()
			for range 5 {
				tracker.Capacity(view, service, "", 1.5)
			}
			least = min(least, time.Since(start)/5)
		}
		return least
	}
	small, large := cost(140), cost(16*140)
	t.Logf("140 endpoints: %v, 2,240: %v", small, large)
	if large > 64*small {
		t.Errorf("%v with 16 times as many endpoints as for %v", large, small)
	}
}
