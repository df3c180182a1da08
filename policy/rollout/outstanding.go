package rollout

import "foxtailbridge/policy/clock"

// RatingPatience is how long an answer counts as waiting for its rating.
const RatingPatience = 3 * clock.Minute

// Outstanding counts the answers of one instance that wait for a rating. Those
// that are never rated stop counting after RatingPatience, so that missing
// ratings slow a roll-out down and do not end it. It is not safe for concurrent use.
type Outstanding struct {
	since []clock.Millis
}

// Expose notes an answer given to a caller.
func (o *Outstanding) Expose(now clock.Millis) {
	o.since = append(o.since, now)
}

// Rate notes a rating, taken to be that of the oldest answer.
func (o *Outstanding) Rate() {
	if len(o.since) > 0 {
		o.since = o.since[1:]
	}
}

// Count returns the number of answers that wait.
func (o *Outstanding) Count(now clock.Millis) int64 {
	for len(o.since) > 0 && now-o.since[0] > RatingPatience {
		o.since = o.since[1:]
	}
	return int64(len(o.since))
}
