package cascade

import (
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/evidence"
)

const (
	// RatingEpochs is how many epochs of ratings count, each older one at epochWeight of the next.
	RatingEpochs = 8
	epochWeight  = 0.8
)

// DecayedRatings returns the ratings of a version as of an epoch, older ones at less weight.
func DecayedRatings(counters *evidence.Counters, key RatingKey, now evidence.Epoch) RatingCount {
	var count RatingCount
	weight := 1.0
	for age := range evidence.Epoch(RatingEpochs) {
		sum := counters.Sum(evidence.RatingSeries(key.Workspace, key.Class, key.Version, now-age))
		count.Good += weight * float64(sum.Good)
		count.Bad += weight * float64(sum.Bad)
		weight *= epochWeight
	}
	return count
}

// recallSpan is how long a recalled count is used again.
const recallSpan = 250 * clock.Millis(1)

// RatingCache recalls ratings and keeps the counts for a short time, since a plan
// asks for every version of a workspace. It is not safe for concurrent use.
type RatingCache struct {
	counters *evidence.Counters
	kept     map[RatingKey]RatingCount
	since    clock.Millis
}

// NewRatingCache returns a Memory of the counters.
func NewRatingCache(counters *evidence.Counters) *RatingCache {
	return &RatingCache{counters: counters, kept: map[RatingKey]RatingCount{}}
}

// Ratings returns the ratings of a version; now is Unix time.
func (m *RatingCache) Ratings(key RatingKey, now clock.Millis) RatingCount {
	if now-m.since >= recallSpan {
		clear(m.kept)
		m.since = now
	}
	count, ok := m.kept[key]
	if !ok {
		count = DecayedRatings(m.counters, key, evidence.EpochAt(now))
		m.kept[key] = count
	}
	return count
}
