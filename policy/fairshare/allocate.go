package fairshare

import (
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
	// more: this part of the rate up to which that one's rank is served, so that none starves. It is
	// more than the quarter that none may fall below, as less urgent requests also find full queues at
	// endpoints first: with a quarter, 0.23 to 0.26 were seen.
	floorDivisor = 3.5
	// levelSteps is the number of halvings that find a level: to a thousandth of the largest
	// demand at the least.
	levelSteps = 16
)

// Levels holds the rate up to which the groups of each rank are served.
type Levels map[catalog.Rank]Rate

// Share returns what a group of the rank gets of its demand.
func (l Levels) Share(rank catalog.Rank, demand Rate) Rate {
	return min(demand, l[rank])
}

// Allocate divides the capacity among the groups' demand by rank, and within a rank evenly until
// a group's demand is met. Each group gets at least what it asks for or 1/floorDivisor of any more
// urgent one. A group that gets less than its demand gets no less than any other of its rank.
func Allocate(demand Rates, capacity Rate) Levels {
	byRank := map[catalog.Rank][]Rate{}
	for group, rate := range demand {
		byRank[group.Rank] = append(byRank[group.Rank], rate)
	}
	levels := Levels{}
	left, floor := max(0, capacity), Rate(0)
	ranks := slices.Sorted(maps.Keys(byRank))
	for i, rank := range ranks {
		fits := func(level Rate) bool {
			sum := fill(byRank[rank], max(floor, level))
			for _, lower := range ranks[i+1:] {
				sum += fill(byRank[lower], max(floor, level/floorDivisor))
			}
			return sum <= left
		}
		level := max(floor, highestLevel(slices.Max(byRank[rank]), fits))
		levels[rank] = level
		left -= fill(byRank[rank], level)
		floor = max(floor, level/floorDivisor)
	}
	return levels
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
