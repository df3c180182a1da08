package placement

import (
	"math"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/share"
)

const (
	// partWindow is the time over which the requests with a shared part are counted.
	partWindow = 10 * clock.Second
	// maxPartRates bounds the number of parts that are counted.
	maxPartRates = 4096
	// homeRoomShare is the share of an endpoint's slots that the requests with one part may
	// take before the instances learn of each other's choices.
	homeRoomShare = 0.25
)

// PartRates counts one instance's requests by their last shared part. It is not safe for
// concurrent use.
type PartRates struct {
	windows map[PartID]*share.SlidingWindow
	sweptAt clock.Millis
	repeats repeatWindows
}

// Homes counts a request and returns how many endpoints should share its last shared part. One
// is enough for most parts. The requests with a hot part that all instances send to one
// endpoint before they learn of each other's would fill it.
func (r *PartRates) Homes(parts []Part, slots, instances int, now clock.Millis) int {
	shared := sharedParts(parts)
	if len(shared) == 0 {
		return 1
	}
	if r.windows == nil {
		r.windows = map[PartID]*share.SlidingWindow{}
	}
	r.sweep(now)
	id := shared[len(shared)-1].ID
	w := r.windows[id]
	r.repeats.add(shared, w != nil && w.Sum(partWindow, now) > 0, now)
	if w == nil {
		if len(r.windows) >= maxPartRates {
			return 1
		}
		w = &share.SlidingWindow{}
		r.windows[id] = w
	}
	// The request itself is left out: otherwise a part that is seen once would look hot.
	earlier := float64(w.Sum(partWindow, now))
	w.Add(partWindow, now)
	arrivals := earlier * float64(instances) * float64(loadDelay) / float64(partWindow)
	return max(1, int(math.Ceil(arrivals/(homeRoomShare*float64(max(1, slots))))))
}

// sweep forgets, once a window, the parts without recent requests.
func (r *PartRates) sweep(now clock.Millis) {
	if now-r.sweptAt < partWindow {
		return
	}
	r.sweptAt = now
	for id, w := range r.windows {
		if w.Sum(partWindow, now) == 0 {
			delete(r.windows, id)
		}
	}
}
