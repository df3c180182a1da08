package rollout

import "foxtailbridge/policy/clock"

// RatingTimeout is how long an answer counts as unrated; after that no rating is expected.
const RatingTimeout = 3 * clock.Minute

// UnratedAnswers counts the answers of one instance that wait for a rating. Answers
// stop counting after RatingTimeout, so that missing ratings slow a roll-out down
// but do not block it. It is not safe for concurrent use.
type UnratedAnswers struct {
	answeredAt []clock.Millis
}

// Add records an answer given to a caller.
func (o *UnratedAnswers) Add(now clock.Millis) {
	o.answeredAt = append(o.answeredAt, now)
}

// RemoveOldest records a rating, which is assumed to be that of the oldest answer.
func (o *UnratedAnswers) RemoveOldest() {
	if len(o.answeredAt) > 0 {
		o.answeredAt = o.answeredAt[1:]
	}
}

// Count returns the number of answers that wait for a rating.
func (o *UnratedAnswers) Count(now clock.Millis) int64 {
	for len(o.answeredAt) > 0 && now-o.answeredAt[0] > RatingTimeout {
		o.answeredAt = o.answeredAt[1:]
	}
	return int64(len(o.answeredAt))
}
