package loadlist

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"foxtailbridge/policy/routing"
)

// TestDiff checks that a list kept up to date by its changes is close to the counts at any
// time, exact where lists are short, and exact after a refresh cycle of steady counts.
func TestDiff(t *testing.T) {
	t.Run("random counts", rapid.MakeCheck(func(t *rapid.T) {
		endpoints := rapid.SampledFrom([]int{3, maxExact, 3 * maxExact}).Draw(t, "endpoints")
		list := List{}
		counts := Counts{}
		send := func() {
			list.Apply(list.Diff(Loads{InFlight: counts}))
			list.Version++
		}
		for range 20 {
			for i := range endpoints {
				n := rapid.IntRange(0, 40).Draw(t, "count")
				id := routing.EndpointID(fmt.Sprint("e", i))
				if delete(counts, id); n > 0 {
					counts[id] = n
				}
			}
			send()
			for id, n := range counts {
				got := list.InFlight[id]
				delta := max(n-got, got-n)
				if delta > got/toleranceDivisor || delta > 0 && len(counts) <= maxExact {
					t.Fatalf("%d of %d at %s, %d endpoints", got, n, id, len(counts))
				}
			}
			for id := range list.InFlight {
				if counts[id] == 0 {
					t.Fatalf("requests at %s, which has none", id)
				}
			}
		}
		for range refreshCycle {
			send()
		}
		for id, n := range counts {
			if list.InFlight[id] != n {
				t.Fatalf("%d of %d at %s after a refresh cycle", list.InFlight[id], n, id)
			}
		}
	}))
}

// TestSums checks that sums of any kind, known or not, are passed on by their changes like the
// counts of requests, and that a malformed message cannot make the list grow without bound.
func TestSums(t *testing.T) {
	var list List
	for _, sums := range []map[Kind]Sum{
		{KindPrefill: {"e1": 40, "e2": 7}, "unknown-kind": {"k": 3}},
		{KindPrefill: {"e1": 41}, KindDemand: {"w/0": 12}},
		{},
	} {
		list.Apply(list.Diff(Loads{Sums: sums}))
		list.Version++
		for _, kind := range []Kind{KindPrefill, KindDemand, "unknown-kind"} {
			if !maps.Equal(list.Sums[kind], sums[kind]) {
				t.Errorf("%s is %v, want %v", kind, list.Sums[kind], sums[kind])
			}
		}
	}
	malformed := Loads{Sums: map[Kind]Sum{KindPrefill: {"e": -1}}}
	for i := range 2 * maxKinds {
		malformed.Sums[Kind(fmt.Sprint("kind", i))] = Sum{"k": 1}
	}
	for i := range 2 * maxKeys {
		malformed.Sums[KindDemand] = Sum{Key(fmt.Sprint(i)): 1}
		list.Apply(malformed)
	}
	if len(list.Sums) > maxKinds || len(list.Sums[KindDemand]) > maxKeys || list.Sums[KindPrefill]["e"] != 0 {
		t.Errorf("%d kinds, %d keys, %v", len(list.Sums), len(list.Sums[KindDemand]), list.Sums[KindPrefill])
	}
}

// TestPrefillTolerance guards against a cost of messages that grows with the number of endpoints:
// the backlog of nearly each of them is a little different with each list.
func TestPrefillTolerance(t *testing.T) {
	for _, tt := range []struct {
		endpoints, change, want int
	}{
		{maxExact, 1, maxExact},
		{8 * maxExact, prefillTolerance, maxExact},
		{8 * maxExact, prefillTolerance + 1, 8 * maxExact},
		{8 * maxExact, -20, 8 * maxExact},
	} {
		list, backlog := List{}, Sum{}
		send := func() int {
			changed := list.Diff(Loads{Sums: map[Kind]Sum{KindPrefill: backlog}})
			list.Apply(changed)
			list.Version++
			return len(changed.Sums[KindPrefill])
		}
		for i := range tt.endpoints {
			backlog[Key(fmt.Sprint("e", i))] = 20
		}
		send()
		for key := range backlog {
			if backlog[key] += tt.change; backlog[key] == 0 {
				delete(backlog, key)
			}
		}
		// Small changes are sent in an eighth of the lists each.
		if got := send(); got > tt.want+tt.want/4 || got < tt.want*3/4 {
			t.Errorf("%d endpoints, changes of %d: %d sent, want about %d", tt.endpoints, tt.change, got, tt.want)
		}
		for range refreshCycle {
			send()
		}
		if !maps.Equal(list.Sums[KindPrefill], backlog) {
			t.Errorf("%d endpoints, changes of %d: the list differs after a refresh cycle", tt.endpoints, tt.change)
		}
	}
	for _, tokens := range []float64{-5, 0, 100, 1e12} {
		if n := PrefillUnits(tokens); n < 0 || n > maxCount {
			t.Errorf("%.0f tokens are %d units", tokens, n)
		}
	}
}

// TestAnswersAreSentApproximately guards against counts of answers, which change with each request
// of the fleet, being sent whole in every message, and against their proportions being lost.
func TestAnswersAreSentApproximately(t *testing.T) {
	const keys, rounds = 40, 200
	var list List
	sent := 0
	for round := range rounds {
		sum := Sum{}
		for i := range keys {
			sum[Key(fmt.Sprint("route|model|middle|", i))] = 100*(1+i%4) + round%7
		}
		changed := list.Diff(Loads{Sums: map[Kind]Sum{KindAnswers: sum}})
		sent += len(changed.Sums[KindAnswers])
		list.Apply(changed)
		list.Version++
		for key, n := range sum {
			if got := list.Sums[KindAnswers][key]; max(n-got, got-n) > n/3 {
				t.Fatalf("%d of %d at %s in round %d", got, n, key, round)
			}
		}
	}
	if sent > rounds*keys/4 {
		t.Errorf("%d numbers sent in %d messages, of %d keys", sent, rounds, keys)
	}
}
