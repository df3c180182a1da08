package experiment

import (
	"slices"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/loadlist"
)

func (f *fleet) scheduleExchanges(first clock.Millis, exchange func()) {
	var step func()
	step = func() {
		exchange()
		if f.now < f.load.Duration {
			f.schedule(f.now+fleetExchange, step)
		}
	}
	f.schedule(first, step)
}

// own returns an instance's own loads.
func (f *fleet) own(instance *fleetInstance) loadlist.Loads {
	loads := loadlist.NewLoads()
	for _, s := range instance.states {
		if s.OwnInFlight > 0 {
			loads.InFlight[s.Endpoint.ID] = s.OwnInFlight
		}
		if n := s.AdvertisedFailures(f.now); n > 0 {
			loads.Failures[s.Endpoint.ID] = n
		}
	}
	f.addBacklog(instance, loads)
	return loads
}

// zoneSum returns the loads of a zone as its reader knows them.
func (f *fleet) zoneSum(zone *fleetZone, except *fleetInstance) loadlist.Loads {
	sum := loadlist.NewLoads()
	for k, member := range zone.members {
		switch {
		case member == except:
		case k == 0:
			sum.Add(f.own(member))
		default:
			sum.Add(member.received.Loads)
		}
	}
	return sum
}

// exchange is one exchange of an instance: a member with its zone's reader, a reader with the
// readers of all other zones.
func (f *fleet) exchange(zone *fleetZone, instance *fleetInstance, reader bool) {
	update := func(list *loadlist.List, loads loadlist.Loads) {
		changed := list.Diff(loads)
		f.result.PrefillChanges += len(changed.Sums[loadlist.KindPrefill])
		list.Apply(changed)
		list.Version++
	}
	if reader {
		for z, other := range f.zones {
			if other != zone {
				update(&other.received[slices.Index(f.zones, zone)], f.zoneSum(zone, nil))
				update(&zone.received[z], f.zoneSum(other, nil))
			}
		}
	} else {
		update(&instance.received, f.own(instance))
	}
	others := f.zoneSum(zone, instance)
	for _, list := range zone.received {
		others.Add(list.Loads)
	}
	if !reader {
		update(&instance.others, others)
		others = instance.others.Loads
	}
	for _, s := range instance.states {
		s.SetPeerLoad(others.InFlight[s.Endpoint.ID], others.Failures[s.Endpoint.ID], f.now)
		s.SetPeerBacklog(float64(others.Sums[loadlist.KindPrefill][loadlist.Key(s.Endpoint.ID)])*loadlist.PrefillUnit, f.now)
	}
}
