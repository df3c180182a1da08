package experiment

import (
	"math"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/speed"
)

const (
	// fleetSlowerEvery is how many endpoints there are for one that is always slower under
	// FleetUneven, by fleetSlower.
	fleetSlowerEvery = 3
	fleetSlower      = 1.3
	// fleetSpell is the factor of a slow spell, fleetSpellShare the share of the time in spells
	// and fleetSpellTime their mean time.
	fleetSpell      = 2.5
	fleetSpellShare = 0.15
	fleetSpellTime  = 600 * clock.Millis(1)
	// fleetSampleNoise is the standard deviation of the logarithm of measured relative times.
	fleetSampleNoise = 0.25
)

// fleetSpeed is how fast an endpoint is under FleetUneven.
type fleetSpeed struct {
	always speed.Factor
	spell  bool
	// changesAt is when the next spell begins or the current one ends.
	changesAt clock.Millis
}

// newSpeed returns the speed of endpoint number i.
func (f *fleet) newSpeed(i int) fleetSpeed {
	s := fleetSpeed{always: 1, changesAt: math.MaxInt64}
	if f.load.Scenario != FleetUneven {
		return s
	}
	if i%fleetSlowerEvery == 0 {
		s.always = fleetSlower
	}
	s.spell = f.random.Float64() < fleetSpellShare
	s.changesAt = 0
	f.advanceSpeed(&s)
	return s
}

// advanceSpeed begins and ends spells up to now.
func (f *fleet) advanceSpeed(s *fleetSpeed) {
	for s.changesAt <= f.now {
		if s.changesAt > 0 {
			s.spell = !s.spell
		}
		mean := float64(fleetSpellTime)
		if !s.spell {
			mean *= (1 - fleetSpellShare) / fleetSpellShare
		}
		s.changesAt += 1 + clock.Millis(f.random.ExpFloat64()*mean)
	}
}

// reported returns the slowdown that an endpoint reports, or 0.
func (f *fleet) reported(e *fleetEndpoint) speed.Factor {
	switch {
	case f.load.Scenario != FleetUneven || f.load.HideSpeed:
		return 0
	case e.speed.spell:
		return fleetSpell
	}
	return 1
}

// loadOf returns the load that an endpoint reports.
func (f *fleet) loadOf(e *fleetEndpoint) placement.Load {
	return placement.Load{Running: e.running, Waiting: len(e.waiting), Slots: f.load.Slots, Slowdown: f.reported(e)}
}

// atSpeed returns how long a run takes at an endpoint that would take the given time at one of
// usual speed, and lets the instance learn from its start.
func (f *fleet) atSpeed(e *fleetEndpoint, r *fleetRequest, usual clock.Millis) clock.Millis {
	if f.load.Scenario != FleetUneven {
		return usual
	}
	if load := f.loadOf(e); !f.load.HideSpeed && load.ShowsSpeed() {
		r.state.RelativeTime.Add(float64(e.speed.always)*math.Exp(fleetSampleNoise*f.random.NormFloat64()), f.now)
	}
	took, factor := float64(usual), float64(e.speed.always)
	if e.speed.spell {
		factor *= fleetSpell
	}
	// The run is slow until the spell ends.
	if left := float64(e.speed.changesAt - f.now); e.speed.spell && took*factor > left {
		took = left + (took-left/factor)*float64(e.speed.always)
	} else {
		took *= factor
	}
	f.result.RunTime += took
	f.result.Excess += took - float64(usual)
	return clock.Millis(took)
}

// slowDown slows down a few endpoints.
func (f *fleet) slowDown() {
	for i, e := range f.endpoints {
		if i%fleetSlowEvery == 0 {
			e.slow = true
		}
	}
}
