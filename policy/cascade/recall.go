package cascade

import (
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/evidence"
)

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
		sum := counters.Sum(evidence.RatingSeries(key.Workspace, key.Class, key.Version, now-age))
		count.Good += weight * float64(sum.Good)
		count.Bad += weight * float64(sum.Bad)
		weight *= epochWeight
	}
	return count
}

// recallSpan is how long a recalled count is used again.
const recallSpan = 250 * clock.Millis(1)

// Memory recalls ratings and keeps the counts for a short time, since a plan
// asks for every version of a workspace. It is not safe for concurrent use.
type Memory struct {
	counters *evidence.Counters
	kept     map[Key]Count
	since    clock.Millis
}

// NewMemory returns a Memory of the counters.
func NewMemory(counters *evidence.Counters) *Memory {
	return &Memory{counters: counters, kept: map[Key]Count{}}
}

// Recall returns the ratings of a version; now is Unix time.
func (m *Memory) Recall(key Key, now clock.Millis) Count {
	if now-m.since >= recallSpan {
		clear(m.kept)
		m.since = now
	}
	count, ok := m.kept[key]
	if !ok {
		count = Recall(m.counters, key, evidence.EpochAt(now))
		m.kept[key] = count
	}
	return count
}
