package experiment

import (
	"testing"

	"foxtailbridge/policy/clock"
)

// Guards against runs at slow endpoints that faster ones could have taken (load pattern: slow
// endpoint). A single instance sees each endpoint often; it must save a tenth or more of the time
// that runs take longer than at endpoints of usual speed.
func TestFleetUnevenSpeed(t *testing.T) {
	excess := func(hide bool) (sum float64) {
		for seed := range uint64(4) {
			load := LargeFleet(1, FleetUneven, FleetSpread)
			load.Seed, load.HideSpeed, load.Endpoints, load.Duration = seed, hide, 12, 60*clock.Second
			r := RunFleet(load)
			sum += r.Excess / (r.RunTime - r.Excess)
		}
		return sum / 4
	}
	if known, unknown := excess(false), excess(true); known > 0.9*unknown {
		t.Errorf("runs take %.3f longer, %.3f if the instance learns nothing", known, unknown)
	}
}

// Guards against instances that leave slow endpoints, or return to them, all at once (load
// pattern: herding on stale load data).
func TestFleetUnevenHerds(t *testing.T) {
	for _, instances := range []int{smallFleet, 140} {
		known := LargeFleet(instances, FleetUneven, FleetSpread)
		known.Utilization = 0.6
		unknown := known
		unknown.HideSpeed = true
		a, b := RunFleet(known), RunFleet(unknown)
		if a.RefusedShare() > maxRefusedShare || a.Wait.ValueAtQuantile(99) > b.Wait.ValueAtQuantile(99)+int64(fleetExchange) {
			t.Errorf("%v\nwithout speeds: %v", a, b)
		}
	}
}
