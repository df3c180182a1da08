package cascade

import "foxtailbridge/policy/evidence"

const (
	// Epochs is how many epochs of ratings count, each older one at epochWeight of the next.
	Epochs      = 8
	epochWeight = 0.8
)

// Recall returns the ratings of a version as of an epoch, older ones at less weight.
func Recall(counters *evidence.Counters, key Key, now evidence.Epoch) Count {
	var count Count
	weight := 1.0
	for age := range evidence.Epoch(Epochs) {
		sum := counters.Sum(evidence.RateSeries(key.Workspace, key.Class, key.Version, now-age))
		count.Good += weight * float64(sum.Good)
		count.Bad += weight * float64(sum.Bad)
		weight *= epochWeight
	}
	return count
}
