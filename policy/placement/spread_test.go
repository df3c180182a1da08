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

// newOptions returns options with the given utilizations of 10 slots.
func newOptions(utilizations ...float64) []option {
	var list []option
	for i, u := range utilizations {
		e := &catalog.Endpoint{ID: routing.EndpointID(fmt.Sprint("e", i)), Slots: 10}
		list = append(list, option{state: NewState(e, 0, 1), utilization: u})
	}
	return list
}

func TestCostLevel(t *testing.T) {
	tests := []struct {
		name         string
		utilizations []float64
		arrivals     float64
		// room is how many of the arrivals each option gets.
		room []float64
	}{
		{"the emptier ones are filled first", []float64{0.2, 0.5}, 2, []float64{2, 0}},
		{"then all of them to the same level", []float64{0.2, 0.5}, 5, []float64{4, 1}},
		{"an idle one gets no more than the level allows", []float64{0, 0.1, 0.1, 0.1}, 4, []float64{1.75, 0.75, 0.75, 0.75}},
		{"beyond the overload too", []float64{1.5, 1.5}, 10, []float64{5, 5}},
		{"no arrivals", []float64{0.2, 0.5}, 0, []float64{0, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			options := newOptions(tt.utilizations...)
			level := costLevel(options, tt.arrivals)
			for i, o := range options {
				if got := o.room(level); math.Abs(got-tt.room[i]) > 0.01 {
					t.Errorf("option %d: room %.3f, want %.3f", i, got, tt.room[i])
				}
			}
		})
	}
}

func TestDrawByRoom(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	options := newOptions(0.2, 0.5, 0.9)
	roomsAt := func(level float64) (rooms []float64) {
		for _, o := range options {
			rooms = append(rooms, o.room(level))
		}
		return rooms
	}
	rooms := roomsAt(costLevel(options, 5))
	const draws = 5000
	counts := map[*State]int{}
	for range draws {
		counts[drawByRoom(options, rooms, random).state]++
	}
	for i, want := range []float64{0.8, 0.2, 0} {
		if got := float64(counts[options[i].state]) / draws; math.Abs(got-want) > 0.03 {
			t.Errorf("option %d: drawn %.3f of the time, want %.3f", i, got, want)
		}
	}
	if o := drawByRoom(options, roomsAt(0), random); o.state != options[0].state {
		t.Errorf("without any room: drew %v, want the cheapest", o.state.Endpoint.ID)
	}
}

// TestStaleArrivals checks that what a few endpoints say of their load does not hide the room
// at all others.
func TestStaleArrivals(t *testing.T) {
	const runTime = 900
	states := newStates(10, 10)
	for _, s := range states {
		s.SetReportedLoad(Load{Running: 5, Slots: 10}, 0)
	}
	truth := StaleArrivals(states, runTime, 100, 1)
	if want := 0.99 * 50 * float64(loadDelay) / runTime; math.Abs(truth-want) > 0.01 {
		t.Errorf("%.2f arrivals, want %.2f", truth, want)
	}
	for _, running := range []int{1_000_000_000, math.MaxInt} {
		states[0].SetReportedLoad(Load{Running: running, Waiting: running, Slots: 10}, 0)
		if got := StaleArrivals(states, runTime, 100, 1); got < 0.8*truth || got > 2*truth {
			t.Errorf("%d running at one endpoint: %.2f arrivals, %.2f without", running, got, truth)
		}
	}
	for _, tt := range []struct {
		runTime   clock.Millis
		instances int
	}{{0, 100}, {-5, 100}, {runTime, 0}, {runTime, -3}} {
		if got := StaleArrivals(states, tt.runTime, tt.instances, 1); got < 0 || math.IsNaN(got) || math.IsInf(got, 0) {
			t.Errorf("run time %v, %d instances: %v arrivals", tt.runTime, tt.instances, got)
		}
	}
}

func TestHomes(t *testing.T) {
	parts := []Part{{"hot", 400}, {"own", 100}}
	tests := []struct {
		name      string
		parts     []Part
		perSecond int
		instances int
		want      int
	}{
		{"seldom", parts, 0, 295, 1},
		{"hot, one instance", parts, 2, 1, 1},
		{"hot, all instances", parts, 2, 295, 89},
		{"without a shared part", parts[:1], 100, 295, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var rates PartRates
			got := 0
			for i := range tt.perSecond*10 + 1 {
				got = rates.Homes(tt.parts, 12, tt.instances, clock.Millis(i*1000/max(1, tt.perSecond)))
			}
			// The window moves by steps of a tenth of it.
			if got > tt.want || float64(got) < 0.89*float64(tt.want) {
				t.Errorf("%d homes, want up to %d", got, tt.want)
			}
		})
	}
}

func BenchmarkChoose(b *testing.B) {
	type row struct {
		name  string
		count int
		zones map[ticket.ZoneName]float64
	}
	rows := []row{{"by-zone-140", 140, map[ticket.ZoneName]float64{"a": 30, "b": 20}}}
	for _, count := range []int{60, 140, 204, 600} {
		rows = append(rows, row{fmt.Sprintf("endpoints-%d", count), count, nil})
	}
	for _, row := range rows {
		count := row.count
		b.Run(row.name, func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			list := newStates(count, 12)
			for _, s := range list {
				s.SetReportedLoad(Load{Running: random.IntN(12), Slots: 12}, 1000)
			}
			q := newQuery(1000, Part{"sys", 500}, Part{"own", 600})
			q.Arrivals, q.ZoneArrivals = float64(count)/2, row.zones
			b.ReportAllocs()
			for b.Loop() {
				Choose(list, q, random)
			}
		})
	}
}
