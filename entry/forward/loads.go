package forward

import (
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/loadlist"
	"foxtailbridge/policy/rollout"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// InFlight returns the in-flight requests of all instances at each endpoint of a
// release.
func (f *Forwarder) InFlight(service ticket.ServiceName, release catalog.Release) map[routing.EndpointID]int {
	return f.endpoints.InFlight(service, release)
}

// RouteLoads returns what this instance knows of the requests on a service's routes.
func (f *Forwarder) RouteLoads(name ticket.ServiceName) []rollout.RouteLoad {
	config := f.deps.Registry.View().Config
	if config == nil || config.Services[name] == nil {
		return nil
	}
	engine, pace := config.Services[name].Engine, 0.0
	if engine != nil {
		pace = f.paces.Mean(engine.LargestModel())
	}
	var list []rollout.RouteLoad
	for _, route := range config.RoutesOf(name) {
		list = append(list, f.sizes.Load(route, engine, pace))
	}
	return list
}

// localLoads returns what this instance reports to others.
func (f *Forwarder) localLoads() loadlist.Loads {
	loads := f.endpoints.LocalLoads()
	f.answers.AddReport(&loads)
	if demand := f.fairness.report(); len(demand) > 0 {
		loads.Sums[loadlist.KindDemand] = demand
	}
	return loads
}

// setPeerLoads takes what all other instances report.
func (f *Forwarder) setPeerLoads(loads loadlist.Loads) {
	f.endpoints.SetPeerLoads(loads)
	f.answers.SetPeers(loads)
	f.fairness.setPeers(loads.Sums[loadlist.KindDemand])
}
