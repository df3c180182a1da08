package relay

import (
	"maps"
	"slices"

	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/rollout"
)

// maxLightLoads bounds the plans that are kept, those for the latest orders: every message holds
// all of them, and an order that has lost its plan is only filled less before all traffic moves.
const maxLightLoads = 8

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
	if earliest := r.earliestLightLoad(); len(r.lightLoads) >= maxLightLoads && r.lightLoads[number] == nil {
		if number < earliest {
			return
		}
		delete(r.lightLoads, earliest)
	}
	r.lightLoads[number] = plan
	r.logger.Info("light-load", "order", number, "routes", plan.Routes, "start", plan.Start, "by", plan.By, "source", source)
}

// earliestLightLoad returns the earliest order that has a plan, or 0. The caller holds the lock.
func (r *Relay) earliestLightLoad() catalog.OrderNumber {
	if len(r.lightLoads) == 0 {
		return 0
	}
	return slices.Min(slices.Collect(maps.Keys(r.lightLoads)))
}
