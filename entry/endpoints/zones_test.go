package endpoints

import (
	"maps"
	"math/rand/v2"
	"testing"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/loadlist"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/share"
	"foxtailbridge/policy/ticket"
)

// TestZoneDemand guards against arrivals of a zone that are believed although the counts of other
// instances are missing or old, as in a zone that is cut off.
func TestZoneDemand(t *testing.T) {
	const now = 10 * clock.Second
	others := loadlist.Sum{"a/s": 100, "b/s": 40, "a/other": 7}
	rows := []struct {
		name       string
		others     loadlist.Sum
		receivedAt clock.Millis
		want       map[ticket.ZoneName]float64
	}{
		{"known", others, now - demandTTL, map[ticket.ZoneName]float64{"a": 45.9, "b": 18}},
		{"too old", others, now - demandTTL - 1, nil},
		{"nothing received", nil, now, nil},
		{"own zone only", loadlist.Sum{"a/s": 100}, now, map[ticket.ZoneName]float64{"a": 45.9}},
		{"no instance sent to the service", loadlist.Sum{"a/other": 7}, now, map[ticket.ZoneName]float64{"a": 0.9}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			d := zoneDemand{own: map[ticket.ServiceName]*share.SlidingWindow{}, others: row.others, receivedAt: row.receivedAt}
			d.add("s", now-2*demandWindow)
			d.add("s", now)
			d.add("s", now)
			d.add("third", now)
			if got := d.arrivals("s", "a", now); !maps.Equal(got, row.want) || (got == nil) != (row.want == nil) {
				t.Errorf("%v, want %v", got, row.want)
			}
			if got, want := d.sum("a", now), (loadlist.Sum{"a/s": 2, "a/third": 1}); !maps.Equal(got, want) {
				t.Errorf("tells %v, want %v", got, want)
			}
		})
	}
}

// TestHomesByZoneAreAgreed guards against an instance that must see a part many times itself before
// each zone has a home for it: one of 140 sees few requests.
func TestHomesByZoneAreAgreed(t *testing.T) {
	newTracker := func(zone ticket.ZoneName) *Tracker {
		return New(Dependencies{
			Zone: zone, Clock: clock.New(), Random: rand.New(rand.NewPCG(1, 1)), Instances: func() int { return 2 },
			RetryLimits: func() RetryLimits { return RetryLimits{Window: clock.Second} },
		})
	}
	busy, fresh := newTracker("a"), newTracker("b")
	long := []placement.Part{{ID: "document", Tokens: 5000}, {ID: "own", Tokens: 10}}
	for range 200 {
		busy.CountRequest("s", long)
	}
	busy.demand.add("s", busy.deps.Clock.Mono())
	fresh.SetPeerLoads(busy.LocalLoads())
	for _, row := range []struct {
		parts []placement.Part
		want  bool
	}{{long, true}, {[]placement.Part{{ID: "short", Tokens: 50}, {ID: "own", Tokens: 10}}, false}} {
		q := &placement.Query{Now: fresh.deps.Clock.Mono(), Parts: row.parts}
		fresh.setZones(q, "s", 2)
		if q.ZoneHomes != row.want || q.ZoneArrivals["a"] <= 0 {
			t.Errorf("%v: homes by zone %v, want %v, arrivals %v", row.parts, q.ZoneHomes, row.want, q.ZoneArrivals)
		}
	}
}
