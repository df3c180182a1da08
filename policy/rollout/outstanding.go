package rollout

import "foxtailbridge/policy/clock"

// RatingTimeout is how long an answer counts as waiting for its rating.
const RatingTimeout = 3 * clock.Minute

// UnratedAnswers counts the answers of one instance that wait for a rating. Those
// that are never rated stop counting after RatingPatience, so that missing
// ratings slow a roll-out down and do not end it. It is not safe for concurrent use.
type UnratedAnswers struct {
	since []clock.Millis
}

// Add notes an answer given to a caller.
func (o *UnratedAnswers) Add(now clock.Millis) {
	o.since = append(o.since, now)
}

// RemoveOldest notes a rating, taken to be that of the oldest answer.
func (o *UnratedAnswers) RemoveOldest() {
	if len(o.since) > 0 {
		o.since = o.since[1:]
	}
}

// Count returns the number of answers that wait.
func (o *UnratedAnswers) Count(now clock.Millis) int64 {
	for len(o.since) > 0 && now-o.since[0] > RatingTimeout {
		o.since = o.since[1:]
	}
	return int64(len(o.since))
}
