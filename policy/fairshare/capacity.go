package fairshare

import "foxtailbridge/policy/clock"

// Capacity is what a service's reachable endpoints can take.
type Capacity struct {
	Slots int
	// ColdSlots is the number of slots of endpoints in cold start, which are not in Slots and Places,
	// and ColdRate the number of requests per second that these endpoints accept together.
	ColdSlots int
	ColdRate  Rate
	// Places is the number of slots and queue places, and Room the number of those that are free.
	Places, Room float64
	// SlotTime is how long a request occupies slots, over all its attempts, or 0 if that is not
	// known.
	SlotTime clock.Millis
	// Refusing is true if the endpoints refuse most of the requests that are sent to them.
	Refusing bool
}

const (
	// shortRoom is the share of free places below which a service is short of capacity. The slots
	// of engines are all busy by then, as a quarter of their places are in the queue.
	shortRoom = 0.15
	// reportRoom is the share of free places below which instances tell each other their demand.
	// It leaves the time of an exchange, about a second, until a surge uses up the rest.
	reportRoom = 0.5
)

// Short reports whether the service is short of capacity.
func (c *Capacity) Short() bool {
	return c.Places > 0 && (c.roomShare() < shortRoom || c.Refusing)
}

// nearShort reports whether the service may soon be short of capacity.
func (c *Capacity) nearShort() bool {
	return c.Places > 0 && (c.roomShare() < reportRoom || c.Refusing)
}

// roomShare returns the share of the places that are free, or 0 if there are none.
func (c *Capacity) roomShare() float64 {
	if c.Places <= 0 {
		return 0
	}
	return c.Room / c.Places
}

const (
	// maxGain and minGain are the parts of the endpoints' rate that are let in as the service
	// becomes short and as it has no free place: the slot time is measured over some time, and the
	// queue corrects what it is wrong by.
	maxGain = 1.25
	minGain = 0.75
)

// admissible returns the rate of requests to let in, or 0 if it is not known.
func (c *Capacity) admissible() Rate {
	gain := minGain + (maxGain-minGain)*min(1, max(0, c.roomShare()/shortRoom))
	if c.Refusing {
		gain = minGain
	}
	return Rate(gain) * c.rate()
}

// rate returns the rate at which the endpoints serve requests, or 0 if it is not known.
func (c *Capacity) rate() Rate {
	if c.SlotTime <= 0 {
		return 0
	}
	perSlot := Rate(clock.Second) / Rate(c.SlotTime)
	return Rate(c.Slots)*perSlot + min(c.ColdRate, Rate(c.ColdSlots)*perSlot)
}
