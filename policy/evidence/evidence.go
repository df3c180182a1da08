package evidence

import (
	"cmp"
	"slices"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
)

// Series names what is counted: an arm of a roll-out, or the ratings of a
// version for a workspace and class within an epoch.
type Series struct {
	Rollout   ticket.RolloutName
	Number    ticket.Number
	Arm       Arm
	Workspace ticket.WorkspaceName
	Class     ticket.Class
	Version   ticket.VersionRef
	Epoch     Epoch
	// Endpoint is set in the tally of one endpoint's bad answers.
	Endpoint string
}

// Arm is one side of a roll-out.
type Arm string

// Arms of a roll-out.
const (
	ArmFrom Arm = "from"
	ArmTo   Arm = "to"
)

// RolloutSeries names the evidence on one arm of a roll-out. The ticket number
// is part of it, so that a new ticket starts with fresh evidence.
func RolloutSeries(name ticket.RolloutName, number ticket.Number, arm Arm) Series {
	return Series{Rollout: name, Number: number, Arm: arm}
}

// Epoch counts spans of EpochSpan since the Unix epoch.
type Epoch int64

// EpochLength is the span over which ratings are counted together.
const EpochLength = 6 * clock.Hour

// EpochAt returns the epoch of a point in Unix time.
func EpochAt(now clock.Millis) Epoch {
	return Epoch(now / EpochLength)
}

// RatingSeries names the ratings of one version for a workspace and class within an epoch.
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

// Tally is a count; its fields only grow.
type Tally struct {
	// Exposed counts answers given to callers.
	Exposed int64
	// Good and Bad count ratings; a failure counts as bad.
	Good int64
	Bad  int64
}

// Rated returns the number of rated answers.
func (t Tally) Rated() int64 {
	return t.Good + t.Bad
}

func (t Tally) join(other Tally) Tally {
	return Tally{
		Exposed: max(t.Exposed, other.Exposed),
		Good:    max(t.Good, other.Good),
		Bad:     max(t.Bad, other.Bad),
	}
}

// Add returns the sum of two tallies.
func (t Tally) Add(other Tally) Tally {
	return Tally{Exposed: t.Exposed + other.Exposed, Good: t.Good + other.Good, Bad: t.Bad + other.Bad}
}

// Sub returns what a tally has above an earlier one.
func (t Tally) Sub(other Tally) Tally {
	return Tally{Exposed: t.Exposed - other.Exposed, Good: t.Good - other.Good, Bad: t.Bad - other.Bad}
}

// Row is one instance's tally of a series, as instances pass it to each other.
type Row struct {
	// Instance includes the run of its process, since a new run counts from zero.
	Instance string
	Series   Series
	Tally    Tally
}

type cell struct {
	instance string
	series   Series
}

// Revision orders the changes of one Counters.
type Revision uint64

type counted struct {
	tally Tally
	stamp Revision
}

// Counters holds a tally per instance and series; merging is commutative and
// idempotent. It is not safe for concurrent use.
type Counters struct {
	self  string
	cells map[cell]counted
	sums  map[Series]Tally
	stamp Revision
}

// NewCounters returns empty Counters that count in the name of the instance.
func NewCounters(self string) *Counters {
	return &Counters{self: self, cells: map[cell]counted{}, sums: map[Series]Tally{}}
}

// AddExposure counts an answer given to a caller.
func (c *Counters) AddExposure(series Series) {
	c.add(series, Tally{Exposed: 1})
}

// AddRating counts a rating or, with good false, a failure.
func (c *Counters) AddRating(series Series, good bool) {
	if good {
		c.add(series, Tally{Good: 1})
		return
	}
	c.add(series, Tally{Bad: 1})
}

func (c *Counters) add(series Series, more Tally) {
	id := cell{c.self, series}
	c.set(id, c.cells[id].tally.Add(more))
}

func (c *Counters) set(id cell, tally Tally) {
	c.stamp++
	old := c.cells[id].tally
	c.cells[id] = counted{tally: tally, stamp: c.stamp}
	c.sums[id.series] = c.sums[id.series].Add(tally.Sub(old))
}

// Merge folds rows from another instance and reports whether anything was new.
func (c *Counters) Merge(rows []Row) bool {
	changed := false
	for _, row := range rows {
		id := cell{row.Instance, row.Series}
		if row.Instance == c.self {
			continue
		}
		joined := c.cells[id].tally.join(row.Tally)
		if joined != c.cells[id].tally {
			c.set(id, joined)
			changed = true
		}
	}
	return changed
}

// Rows returns all rows in a fixed order.
func (c *Counters) Rows() []Row {
	rows, _ := c.RowsSince(0)
	return rows
}

// AggregateRows returns the sums of all series as rows in the name of an instance.
func (c *Counters) AggregateRows(instance string) []Row {
	rows := make([]Row, 0, len(c.sums))
	for series, tally := range c.sums {
		rows = append(rows, Row{Instance: instance, Series: series, Tally: tally})
	}
	return rows
}

// RowsSince returns the rows that changed after the stamp, in a fixed order, and
// the stamp to ask with next time.
func (c *Counters) RowsSince(stamp Revision) ([]Row, Revision) {
	var rows []Row
	for id, counted := range c.cells {
		if counted.stamp > stamp {
			rows = append(rows, Row{Instance: id.instance, Series: id.series, Tally: counted.tally})
		}
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(a.Series.compare(b.Series), cmp.Compare(a.Instance, b.Instance))
	})
	return rows, c.stamp
}

// Sum adds the tallies of all instances.
func (c *Counters) Sum(series Series) Tally {
	return c.sums[series]
}

// ForEach calls yield for every series with its tally over all instances.
func (c *Counters) ForEach(yield func(Series, Tally)) {
	for series, tally := range c.sums {
		yield(series, tally)
	}
}

// Local returns this instance's tally.
func (c *Counters) Local(series Series) Tally {
	return c.cells[cell{c.self, series}].tally
}

// Len returns the number of tallies held.
func (c *Counters) Len() int {
	return len(c.cells)
}

// Retain forgets the series that keep rejects.
func (c *Counters) Retain(keep func(Series) bool) {
	for id := range c.cells {
		if !keep(id.series) {
			delete(c.cells, id)
			delete(c.sums, id.series)
		}
	}
}
