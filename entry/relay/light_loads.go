package relay

import (
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/rollout"
)

// PlanLightLoad tells all instances the plan for an order of a service under light load.
func (r *Relay) PlanLightLoad(number catalog.OrderNumber, plan *rollout.LightLoad) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mergeLightLoad(number, plan, "own")
}

// LightLoad returns the plan for an order of a service under light load, or nil.
func (r *Relay) LightLoad(number catalog.OrderNumber) *rollout.LightLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lightLoads[number]
}

// mergeLightLoad adopts a plan that holds against the known one. The caller holds the lock.
func (r *Relay) mergeLightLoad(number catalog.OrderNumber, plan *rollout.LightLoad, source string) {
	if plan == nil || !plan.Valid() || !plan.Precedes(r.lightLoads[number]) {
		return
	}
	r.lightLoads[number] = plan
	r.logger.Info("light-load", "order", number, "routes", plan.Routes, "start", plan.Start, "by", plan.By, "source", source)
}
