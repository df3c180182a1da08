package cascade

import (
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/evidence"
)

const (
	// RatingEpochs is how many epochs of ratings count; each epoch weighs
	// epochDecay times as much as the one after it.
	RatingEpochs = 8
	epochDecay   = 0.8
)

// DecayedRatings returns the ratings of a series as of an epoch, with exponentially
// decaying weight for older epochs.
func DecayedRatings(counters *evidence.Counters, key RatingKey, now evidence.Epoch) RatingCount {
	var count RatingCount
	weight := 1.0
	for age := range evidence.Epoch(RatingEpochs) {
		sum := counters.Sum(evidence.RatingSeries(key.Workspace, key.Class, key.Version, now-age))
		count.Good += weight * float64(sum.Good)
		count.Bad += weight * float64(sum.Bad)
		weight *= epochDecay
	}
	return count
}

// ratingCacheTTL is how long a RatingCache keeps its counts.
const ratingCacheTTL = 250 * clock.Millis(1)

// RatingCache caches decayed ratings for a short time, since each plan needs those
// of every version of a workspace. It is not safe for concurrent use.
type RatingCache struct {
	counters *evidence.Counters
	cached   map[RatingKey]RatingCount
	filledAt clock.Millis
}

// NewRatingCache returns an empty RatingCache over the counters.
func NewRatingCache(counters *evidence.Counters) *RatingCache {
	return &RatingCache{counters: counters, cached: map[RatingKey]RatingCount{}}
}

// Ratings returns the decayed ratings of a series; now is Unix time.
func (c *RatingCache) Ratings(key RatingKey, now clock.Millis) RatingCount {
	if now-c.filledAt >= ratingCacheTTL {
		clear(c.cached)
		c.filledAt = now
	}
	count, ok := c.cached[key]
	if !ok {
		count = DecayedRatings(c.counters, key, evidence.EpochAt(now))
		c.cached[key] = count
	}
	return count
}
