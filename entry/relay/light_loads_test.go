package relay

import (
	"testing"

	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/rollout"
)

// TestLightLoadsAreBounded checks that a message, which holds all plans, does not grow with the
// orders of months or by a peer's nonsense, and that the plans of the latest orders are kept.
func TestLightLoadsAreBounded(t *testing.T) {
	plan := func() *rollout.LightLoad {
		return &rollout.LightLoad{Routes: []catalog.RouteName{"r"}, Start: 0.6, By: "b"}
	}
	r := newRelay(nil)
	const orders = 1000
	for i := range orders / 2 {
		r.PlanLightLoad(catalog.OrderNumber(i+1), plan())
	}
	many := map[catalog.OrderNumber]*rollout.LightLoad{}
	for i := range orders / 2 {
		many[catalog.OrderNumber(orders/2+i+1)] = plan()
	}
	r.merge(&Message{From: Member{Name: "b", Zone: "z", Address: "b", RunID: "1"}, LightLoads: many}, r.deps.Clock.Mono())
	r.PlanLightLoad(1, plan())
	if n := len(r.newMessage("b", r.deps.Clock.Mono(), false).LightLoads); n != maxLightLoads {
		t.Errorf("a message holds %d plans, want %d", n, maxLightLoads)
	}
	for i := range maxLightLoads {
		if number := catalog.OrderNumber(orders - i); r.LightLoad(number) == nil {
			t.Errorf("the plan of order %d of %d is lost", number, orders)
		}
	}
}
