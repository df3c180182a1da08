package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// zoneFleet is a fleet of instances that choose by stale loads.
type zoneFleet struct {
	zones, instances, perZone int
	// share is the part of the requests that instances of the first zone receive.
	share float64
	// load is the mean share of busy slots.
	load float64
	// age is the least age of the loads; they get 300 ms older until the next ones.
	age clock.Millis
	// zoneHomes is Query.ZoneHomes, and unaware leaves Query.ZoneArrivals out.
	zoneHomes, unaware bool
}

// zoneResult is what became of the requests.
type zoneResult struct {
	// crossed, refused and cached are shares of the requests; cached is the share that reached an
	// endpoint which had its shared part.
	crossed, refused, cached float64
	// swing is the standard deviation of the first zone's fullness over time, peak the highest
	// mean fullness of any zone.
	swing, peak float64
}

// run serves requests of 1.2 s for some seconds.
func (f zoneFleet) run() zoneResult {
	const slots, step, runTime, length = 16, clock.Millis(50), 1200.0, 9 * clock.Second
	random := rand.New(rand.NewPCG(7, 7))
	endpoints := f.zones * f.perZone
	zoneName := func(i int) ticket.ZoneName { return ticket.ZoneName(fmt.Sprint("z", i%f.zones)) }
	views := make([][]*State, f.instances)
	for m := range views {
		for e := range endpoints {
			views[m] = append(views[m], NewState(&catalog.Endpoint{ID: routing.EndpointID(fmt.Sprint("e", e)), Zone: zoneName(e), Slots: slots}, 0, 1))
		}
	}
	type running struct{ m, e int }
	ends := map[clock.Millis][]running{}
	history := map[clock.Millis][]int{}
	inFlight := make([]int, endpoints)
	lastRead := map[string]clock.Millis{}
	demand := map[clock.Millis][]float64{}
	var r zoneResult
	var sum, squares, samples, requests float64
	for now := step; now < length; now += step {
		for _, x := range ends[now] {
			inFlight[x.e]--
			views[x.m][x.e].OwnInFlight--
		}
		history[now] = append([]int(nil), inFlight...)
		told := history[now-f.age]
		for m, list := range views {
			if (now/step+clock.Millis(m))%6 != 0 || told == nil {
				continue
			}
			for e, s := range list {
				s.SetPeerLoad(max(0, told[e]-s.OwnInFlight), 0, now)
			}
		}
		arrivals := map[ticket.ZoneName]float64{}
		for at := now - f.age - clock.Second; at < now-f.age; at += step {
			for zone, n := range demand[at/step*step] {
				arrivals[zoneName(zone)] += n * float64(loadDelay) / float64(clock.Second)
			}
		}
		demand[now] = make([]float64, f.zones)
		rate := f.load * float64(endpoints*slots) / runTime * float64(step)
		for range int(rate + random.Float64()) {
			zone := 0
			if random.Float64() >= f.share {
				zone = 1 + random.IntN(f.zones-1)
			}
			demand[now][zone]++
			m := zone + f.zones*random.IntN((f.instances-zone-1)/f.zones+1)
			id := PartID(fmt.Sprint("part", random.IntN(300)))
			q := &Query{
				Now: now, Zone: zoneName(m), Parts: []Part{{id, 1500}, {"own", 500}}, RelativeCost: 0.3, CrossZoneBytes: 8 << 10,
				Accept: func(*catalog.Endpoint) bool { return true }, MaxUtilization: 1.5,
				Arrivals: max(1, StaleArrivals(views[m], runTime, f.instances, now)), ZoneArrivals: arrivals, ZoneHomes: f.zoneHomes,
			}
			if f.unaware {
				q.ZoneArrivals = nil
			}
			requests++
			c := Choose(views[m], q, random)
			if c.State == nil {
				r.refused++
				continue
			}
			q.Acquire(c.State)
			c.State.PrefillTokens = 0
			c.State.RecordCached(q.Parts[:1], "", now)
			var e int
			_, _ = fmt.Sscanf(string(c.Endpoint.ID), "e%d", &e)
			if c.Endpoint.Zone != q.Zone {
				r.crossed++
			}
			key := fmt.Sprint(id, "/", e)
			if at, ok := lastRead[key]; ok && now-at < cachedPartTTL {
				r.cached++
			}
			lastRead[key] = now
			inFlight[e]++
			end := now + step*clock.Millis(1+int(random.ExpFloat64()*runTime/float64(step)))
			ends[end] = append(ends[end], running{m, e})
		}
		if now < 3*clock.Second {
			continue
		}
		fullness := make([]float64, f.zones)
		for e, n := range inFlight {
			fullness[e%f.zones] += float64(n) / float64(f.perZone*slots)
		}
		for _, x := range fullness {
			r.peak = max(r.peak, x)
		}
		sum, squares, samples = sum+fullness[0], squares+fullness[0]*fullness[0], samples+1
	}
	r.swing = math.Sqrt(max(0, squares/samples-sum*sum/samples/samples))
	r.crossed, r.refused, r.cached = r.crossed/requests, r.refused/requests, r.cached/requests
	return r
}

// TestZonesExchangeOnlyExcess guards against requests that cross zones without need, and against
// spill-over that oscillates: all instances of a full zone send their requests away by the same stale
// loads, and take them back as the other zones are full.
func TestZonesExchangeOnlyExcess(t *testing.T) {
	even := []zoneFleet{
		{zones: 2, instances: 18, share: 0.5, load: 0.5}, {zones: 4, instances: 18, share: 0.25, load: 0.5},
		{zones: 2, instances: 140, share: 0.5, load: 0.5}, {zones: 4, instances: 140, share: 0.25, load: 0.5},
	}
	uneven := []zoneFleet{
		{zones: 2, instances: 18, share: 0.9, load: 0.6}, {zones: 4, instances: 18, share: 0.6, load: 0.6},
		{zones: 2, instances: 140, share: 0.9, load: 0.6}, {zones: 4, instances: 140, share: 0.6, load: 0.6},
	}
	for _, f := range append(even, uneven...) {
		for _, age := range []clock.Millis{300, 700} {
			f.perZone, f.age, f.zoneHomes = 20, age, true
			t.Run(fmt.Sprintf("zones-%d/instances-%d/share-%v/age-%d", f.zones, f.instances, f.share, age), func(t *testing.T) {
				r := f.run()
				excess := f.share - 1/float64(f.zones)
				if r.crossed > excess+0.1 || r.refused > 0 {
					t.Errorf("%.3f of the requests crossed, %.3f have to; %.3f refused", r.crossed, excess, r.refused)
				}
				if r.swing > 0.08 || r.peak > 0.85 {
					t.Errorf("the first zone's fullness varies by %.3f, a zone's fullness reaches %.3f", r.swing, r.peak)
				}
			})
		}
	}
}

// TestSmallZonesAreUnchanged guards against a change for zones with few endpoints, which do better with
// those of all zones.
func TestSmallZonesAreUnchanged(t *testing.T) {
	f := zoneFleet{zones: 4, instances: 18, perZone: minZoneEndpoints - 1, share: 0.4, load: 0.6, age: 300, zoneHomes: true}
	aware := f.run()
	f.unaware = true
	if unaware := f.run(); aware != unaware {
		t.Errorf("%+v, without arrivals by zone %+v", aware, unaware)
	}
}

// TestUnknownZoneGetsNoSpill guards against requests sent to a zone that is cut off: its loads are
// missing, so that its endpoints look empty.
func TestUnknownZoneGetsNoSpill(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, tt := range []struct {
		running int
		crosses bool
	}{{10, false}, {16, true}} {
		list := newStates(40, 16)
		for _, s := range list {
			if s.Endpoint.Zone == "a" {
				s.SetReportedLoad(Load{Running: tt.running, Slots: 16}, 900)
			}
		}
		crossed := 0
		for range 200 {
			q := newQuery(1000, Part{"sys", 500}, Part{"own", 500})
			q.Arrivals, q.ZoneArrivals, q.ZoneHomes = 20, map[ticket.ZoneName]float64{"a": 20}, true
			if Choose(list, q, random).Endpoint.Zone != "a" {
				crossed++
			}
		}
		if (crossed > 100) != tt.crosses || !tt.crosses && crossed > 0 {
			t.Errorf("%d of 16 slots busy: %d of 200 requests crossed", tt.running, crossed)
		}
	}
}

// TestZoneHomes guards against a home per zone for parts that are seldom requested: each zone
// would read them again. An instance sees one in so many of the requests, of which 500 come in a second.
func TestZoneHomes(t *testing.T) {
	for _, tt := range []struct {
		name             string
		parts, instances int
		want             bool
	}{
		{"few parts, 140 instances", 200, 140, true}, {"few parts, 18 instances", 200, 18, true},
		{"many parts, 140 instances", 5000, 140, false}, {"many parts, 18 instances", 5000, 18, false},
		{"each part once", 1 << 30, 140, false},
	} {
		random := rand.New(rand.NewPCG(1, 1))
		rates := make([]PartRates, tt.instances)
		const end = 20 * clock.Second
		for now := clock.Millis(0); now < end; now += 2 {
			part := Part{PartID(fmt.Sprint(random.IntN(tt.parts))), longPartTokens}
			rates[random.IntN(tt.instances)].Homes([]Part{part, {"own", 1}}, 16, tt.instances, now)
		}
		var sum, short RepeatCounts
		for i := range rates {
			c := rates[i].Repeats(PartsLong, end)
			sum.Requests, sum.Repeats = sum.Requests+c.Requests, sum.Repeats+c.Repeats
			short.Requests += rates[i].Repeats(PartsShort, end).Requests
		}
		if got := ZoneHomes(sum, tt.instances, 4); got != tt.want || short.Requests > 0 {
			t.Errorf("%s: %v, want %v, %+v, short parts %+v", tt.name, got, tt.want, sum, short)
		}
	}
	if ZoneHomes(RepeatCounts{Requests: minRepeatRequests - 1, Repeats: minRepeatRequests - 1}, 140, 4) {
		t.Error("homes by zone after few requests")
	}
}
