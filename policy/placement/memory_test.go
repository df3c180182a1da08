package placement

import (
	"math/rand/v2"
	"testing"
)

// Guards against a long prompt that is sent to an engine whose memory is taken, where it waits
// until other requests end, while another engine has room (load pattern: head-of-line blocking).
func TestMemory(t *testing.T) {
	const capacity = 400_000
	rows := []struct {
		name string
		// prepare changes the first of three endpoints, which has the fewest requests.
		prepare func(*State)
		memory  Memory
		cached  bool
		// first is true if the first endpoint is chosen, short the number without room.
		first bool
		short int
	}{
		{"room", func(s *State) { s.OwnInFlight, s.OwnTokens = 1, 100_000 }, Memory{capacity, 70_000, 3000}, false, true, 0},
		{"own requests take it", func(s *State) { s.OwnInFlight, s.OwnTokens = 1, 350_000 }, Memory{capacity, 70_000, 3000}, false, false, 1},
		{"the capacity is not known", func(s *State) { s.OwnInFlight, s.OwnTokens = 1, 350_000 }, Memory{0, 70_000, 3000}, false, true, 0},
		{"requests of others take it", func(s *State) { s.SetPeerLoad(1, 0, 1000) }, Memory{capacity, 70_000, 350_000}, false, false, 3},
		{"the request needs less, as a part is cached", func(s *State) { s.OwnInFlight, s.OwnTokens = 1, 350_000 }, Memory{capacity, 70_000, 3000}, true, true, 0},
		{"a request beyond the memory, at an idle endpoint", func(*State) {}, Memory{capacity, 1 << 30, 3000}, false, true, 2},
	}
	for _, row := range rows {
		random := rand.New(rand.NewPCG(1, 2))
		list := newStates(3, 16)
		for _, s := range list {
			s.Endpoint.Zone = "a"
		}
		for _, s := range list[1:] {
			s.SetPeerLoad(6, 0, 1000)
		}
		row.prepare(list[0])
		parts := []Part{{"own", 69_000}}
		if row.cached {
			parts = []Part{{"shared", 60_000}, {"own", 9000}}
			list[0].RecordCached(parts[:1], "m", 1000)
		}
		q := newQuery(1000, parts...)
		q.Model, q.RelativeCost, q.Memory = "m", 0.01, row.memory
		c := Choose(list, q, random)
		switch {
		case row.short == len(list): // All are short, so that any may be chosen.
			if c.State == nil || c.ShortOfMemory != row.short {
				t.Errorf("%s: %+v", row.name, c)
			}
		case (c.State == list[0]) != row.first || c.ShortOfMemory != row.short:
			t.Errorf("%s: %s, %d short of memory", row.name, c.Endpoint.ID, c.ShortOfMemory)
		}
	}
}

// Guards against choices that change although all endpoints have memory.
func TestMemoryChangesNothingWithRoom(t *testing.T) {
	for _, arrivals := range []float64{0, 8} {
		choose := func(m Memory) (ids string) {
			random, list := rand.New(rand.NewPCG(1, 2)), newStates(18, 16)
			for range 200 {
				q := newQuery(1000, Part{"shared", 2000}, Part{"own", 3000})
				q.Memory, q.Arrivals = m, arrivals
				c := Choose(list, q, random)
				q.Acquire(c.State)
				ids += string(c.Endpoint.ID) + " "
			}
			return ids
		}
		if a, b := choose(Memory{}), choose(Memory{465_511, 5000, 5000}); a != b {
			t.Errorf("%v arrivals:\n%s\n%s", arrivals, a, b)
		}
	}
}
