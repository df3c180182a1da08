package fairshare

import (
	"cmp"
	"maps"
	"slices"

	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/ticket"
)

// Group is the requests of one workspace and rank.
type Group struct {
	Workspace ticket.WorkspaceName
	Rank      catalog.Rank
}

// Rate is a number of requests per second.
type Rate float64

// Rates holds the rate of each group.
type Rates map[Group]Rate

// Sum returns the sum of the rates.
func (r Rates) Sum() Rate {
	sum := Rate(0)
	for _, rate := range r {
		sum += rate
	}
	return sum
}

const (
	// floorDivisor sets the rate up to which every group is served before a more urgent one gets
	// more: this part of the rate up to which that one's rank is served, so that none starves.
	floorDivisor = 4
	// levelSteps is the number of halvings that find a level: to a thousandth of the largest
	// demand at the least.
	levelSteps = 16
)

// Allocate divides the capacity among the groups' demand by rank, and within a rank evenly until
// a group's demand is met. No group gets less than a quarter of a more urgent one, unless it asks
// for less. A group that gets less than its demand gets no less than any other of its rank.
func Allocate(demand Rates, capacity Rate) Rates {
	groups := slices.SortedFunc(maps.Keys(demand), func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(demand[a], demand[b]))
	})
	list := make([]Rate, len(groups))
	for i, g := range groups {
		list[i] = demand[g]
	}
	shares := make(Rates, len(groups))
	left, floor := max(0, capacity), Rate(0)
	for first := 0; first < len(groups); {
		end := first
		for end < len(groups) && groups[end].Rank == groups[first].Rank {
			end++
		}
		fits := func(level Rate) bool {
			return fill(list[first:end], max(floor, level))+fill(list[end:], max(floor, level/floorDivisor)) <= left
		}
		level := max(floor, highestLevel(list[end-1], fits))
		for i := first; i < end; i++ {
			shares[groups[i]] = min(list[i], level)
			left -= shares[groups[i]]
		}
		floor = max(floor, level/floorDivisor)
		first = end
	}
	return shares
}

// fill returns the rate that demands get together if each is met up to the level.
func fill(demands []Rate, level Rate) Rate {
	sum := Rate(0)
	for _, d := range demands {
		sum += min(d, level)
	}
	return sum
}

// highestLevel returns about the highest level up to the limit that fits.
func highestLevel(limit Rate, fits func(Rate) bool) Rate {
	if fits(limit) {
		return limit
	}
	low, high := Rate(0), limit
	for range levelSteps {
		if middle := (low + high) / 2; fits(middle) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}
