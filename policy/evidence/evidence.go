package evidence

import (
	"cmp"
	"slices"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
)

// Series identifies a counter: either one arm of a roll-out, or the ratings of a
// version for a workspace and class within an epoch.
type Series struct {
	Rollout   ticket.RolloutName
	Number    ticket.Number
	Arm       Arm
	Workspace ticket.WorkspaceName
	Class     ticket.Class
	Version   ticket.VersionRef
	Epoch     Epoch
	// Endpoint is set only if the series counts the bad answers of one endpoint.
	Endpoint string
}

// Arm is one side of a roll-out: the old or the new version.
type Arm string

// Arms of a roll-out.
const (
	ArmFrom Arm = "from"
	ArmTo   Arm = "to"
)

// RolloutSeries returns the series of one arm of a roll-out. The ticket number
// is part of the series, so that a new ticket starts counting from zero.
func RolloutSeries(name ticket.RolloutName, number ticket.Number, arm Arm) Series {
	return Series{Rollout: name, Number: number, Arm: arm}
}

// Epoch is the number of an interval of EpochLength, counted from the Unix epoch.
type Epoch int64

// EpochLength is the interval over which ratings are counted together.
const EpochLength = 6 * clock.Hour

// EpochAt returns the epoch that contains the given Unix time.
func EpochAt(now clock.Millis) Epoch {
	return Epoch(now / EpochLength)
}

// RatingSeries returns the series of ratings of one version for a workspace and class within an epoch.
func RatingSeries(workspace ticket.WorkspaceName, class ticket.Class, version ticket.VersionRef, epoch Epoch) Series {
	return Series{Workspace: workspace, Class: class, Version: version, Epoch: epoch}
}

func (s Series) compare(other Series) int {
	return cmp.Or(
		cmp.Compare(s.Rollout, other.Rollout),
		cmp.Compare(s.Number, other.Number),
		cmp.Compare(s.Arm, other.Arm),
		cmp.Compare(s.Epoch, other.Epoch),
		cmp.Compare(s.Workspace, other.Workspace),
		cmp.Compare(s.Class, other.Class),
		cmp.Compare(s.Version, other.Version),
		cmp.Compare(s.Endpoint, other.Endpoint),
	)
}

// Tally holds the counts of a series; they only grow.
type Tally struct {
	// Exposed counts answers delivered to callers.
	Exposed int64
	// Good and Bad count ratings; a failed answer counts as bad.
	Good int64
	Bad  int64
}

// Rated returns the number of rated answers.
func (t Tally) Rated() int64 {
	return t.Good + t.Bad
}

// merge returns the field-wise maximum of two tallies.
func (t Tally) merge(other Tally) Tally {
	return Tally{
		Exposed: max(t.Exposed, other.Exposed),
		Good:    max(t.Good, other.Good),
		Bad:     max(t.Bad, other.Bad),
	}
}

// Add returns the field-wise sum of two tallies.
func (t Tally) Add(other Tally) Tally {
	return Tally{Exposed: t.Exposed + other.Exposed, Good: t.Good + other.Good, Bad: t.Bad + other.Bad}
}

// Sub returns the increase of a tally over an earlier one.
func (t Tally) Sub(other Tally) Tally {
	return Tally{Exposed: t.Exposed - other.Exposed, Good: t.Good - other.Good, Bad: t.Bad - other.Bad}
}

// Row is one instance's tally of a series, in the form that instances exchange.
type Row struct {
	// Instance includes the process run id, because a restarted process counts from zero.
	Instance string
	Series   Series
	Tally    Tally
}

type counterKey struct {
	instance string
	series   Series
}

// Revision numbers the changes of one Counters, in order.
type Revision uint64

type counter struct {
	tally    Tally
	revision Revision
}

// Counters holds a tally per instance and series. Merging is commutative and
// idempotent. It is not safe for concurrent use.
type Counters struct {
	self     string
	counters map[counterKey]counter
	sums     map[Series]Tally
	revision Revision
}

// NewCounters returns empty Counters whose local counts belong to the instance self.
func NewCounters(self string) *Counters {
	return &Counters{self: self, counters: map[counterKey]counter{}, sums: map[Series]Tally{}}
}

// AddExposure counts an answer delivered to a caller.
func (c *Counters) AddExposure(series Series) {
	c.add(series, Tally{Exposed: 1})
}

// AddRating counts a rating; a failed answer is counted as a bad rating.
func (c *Counters) AddRating(series Series, good bool) {
	if good {
		c.add(series, Tally{Good: 1})
		return
	}
	c.add(series, Tally{Bad: 1})
}

func (c *Counters) add(series Series, delta Tally) {
	key := counterKey{c.self, series}
	c.set(key, c.counters[key].tally.Add(delta))
}

func (c *Counters) set(key counterKey, tally Tally) {
	c.revision++
	old := c.counters[key].tally
	c.counters[key] = counter{tally: tally, revision: c.revision}
	c.sums[key.series] = c.sums[key.series].Add(tally.Sub(old))
}

// Merge merges rows received from another instance and reports whether any tally
// changed. It ignores rows of this instance.
func (c *Counters) Merge(rows []Row) bool {
	changed := false
	for _, row := range rows {
		key := counterKey{row.Instance, row.Series}
		if row.Instance == c.self {
			continue
		}
		merged := c.counters[key].tally.merge(row.Tally)
		if merged != c.counters[key].tally {
			c.set(key, merged)
			changed = true
		}
	}
	return changed
}

// Rows returns all rows in a deterministic order.
func (c *Counters) Rows() []Row {
	rows, _ := c.RowsSince(0)
	return rows
}

// AggregateRows returns one row for each series with its sum over all instances.
// The rows are attributed to the given instance and are in no particular order.
func (c *Counters) AggregateRows(instance string) []Row {
	rows := make([]Row, 0, len(c.sums))
	for series, tally := range c.sums {
		rows = append(rows, Row{Instance: instance, Series: series, Tally: tally})
	}
	return rows
}

// RowsSince returns the rows that changed after the revision, in a deterministic
// order, and the current revision, to be passed to the next call.
func (c *Counters) RowsSince(revision Revision) ([]Row, Revision) {
	var rows []Row
	for key, counter := range c.counters {
		if counter.revision > revision {
			rows = append(rows, Row{Instance: key.instance, Series: key.series, Tally: counter.tally})
		}
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(a.Series.compare(b.Series), cmp.Compare(a.Instance, b.Instance))
	})
	return rows, c.revision
}

// Sum returns the tally of a series over all instances.
func (c *Counters) Sum(series Series) Tally {
	return c.sums[series]
}

// ForEach calls yield for every series with its tally over all instances.
func (c *Counters) ForEach(yield func(Series, Tally)) {
	for series, tally := range c.sums {
		yield(series, tally)
	}
}

// Local returns this instance's own tally of a series.
func (c *Counters) Local(series Series) Tally {
	return c.counters[counterKey{c.self, series}].tally
}

// Len returns the number of tallies stored, over all instances and series.
func (c *Counters) Len() int {
	return len(c.counters)
}

// Retain drops every series for which keep returns false.
func (c *Counters) Retain(keep func(Series) bool) {
	for key := range c.counters {
		if !keep(key.series) {
			delete(c.counters, key)
			delete(c.sums, key.series)
		}
	}
}
