package learning

import (
	"context"
	"maps"
	"sync"

	"github.com/hashicorp/go-hclog"

	"foxtailbridge/entry/fleet"
	"foxtailbridge/link/platform"
	"foxtailbridge/policy/cascade"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/evidence"
	"foxtailbridge/policy/quarantine"
	"foxtailbridge/policy/rollout"
	"foxtailbridge/policy/ticket"
)

// Defaults of a Learner.
const (
	// DefaultPeriod is how often ratings are fetched and roll-outs judged.
	DefaultPeriod = 500 * clock.Millis(1)
	// submitBatch bounds the answers handed in at once, maxPending those that wait.
	submitBatch = 256
	maxPending  = 4096
)

// Learner learns for one instance.
type Learner struct {
	// View returns the configuration in force.
	View func() *ticket.View
	// Position returns the instance's place among the live ones.
	Position func() rollout.Position
	// Publish appends an item to the fleet stream.
	Publish func(fleet.Item) <-chan error
	// TriggerSync is called when others should hear at once.
	TriggerSync func()
	// OnRating is called with each rating.
	OnRating func(platform.Rating)

	clock   *clock.Clock
	logger  hclog.Logger
	ratings *platform.Ratings

	mu       sync.Mutex
	counters *evidence.Counters
	memory   *cascade.RatingCache
	unrated  map[evidence.Series]*rollout.UnratedAnswers
	stops    map[fleet.Stop]bool
	crashes  *quarantine.Ledger
	// lenient lets suspects run like others.
	lenient  bool
	pending  []platform.Answer
	sequence int64
}

// Option changes a Learner.
type Option func(*Learner)

// WithoutQuarantine lets requests run however many endpoints they crashed. It
// is the naive rule that the tests compare with.
func WithoutQuarantine() Option {
	return func(l *Learner) { l.lenient = true }
}

// New returns a Learner; self includes the run of the process.
func New(self string, ratings *platform.Ratings, c *clock.Clock, logger hclog.Logger, opts ...Option) *Learner {
	l := &Learner{
		Position:    func() rollout.Position { return rollout.Position{Instances: 1} },
		TriggerSync: func() {},
		OnRating:    func(platform.Rating) {},
		clock:       c,
		logger:      logger.Named("learning"),
		ratings:     ratings,
		counters:    evidence.NewCounters(self),
		unrated:     map[evidence.Series]*rollout.UnratedAnswers{},
		stops:       map[fleet.Stop]bool{},
		crashes:     quarantine.NewLedger(),
	}
	l.memory = cascade.NewRatingCache(l.counters)
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Run hands in answers, fetches ratings and judges until ctx ends.
func (l *Learner) Run(ctx context.Context) {
	for l.clock.Sleep(ctx, DefaultPeriod) == nil {
		l.RunOnce(ctx)
	}
}

// RunOnce does one round of Run.
func (l *Learner) RunOnce(ctx context.Context) {
	l.submit(ctx)
	l.fetch(ctx)
	l.EvaluateRollouts()
	l.forget()
}

// QueueAnswer queues an answer to be rated; under pressure the newest are not rated.
func (l *Learner) QueueAnswer(answer platform.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) < maxPending {
		l.pending = append(l.pending, answer)
	}
}

func (l *Learner) submit(ctx context.Context) {
	l.mu.Lock()
	batch := l.pending[:min(len(l.pending), submitBatch)]
	l.mu.Unlock()
	if len(batch) == 0 || l.ratings.Submit(ctx, batch) != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append([]platform.Answer(nil), l.pending[len(batch):]...)
}

func (l *Learner) fetch(ctx context.Context) {
	l.mu.Lock()
	after := l.sequence
	l.mu.Unlock()
	ratings, err := l.ratings.After(ctx, after)
	if err != nil {
		return
	}
	for _, rating := range ratings {
		l.RecordRating(rating)
	}
}

// RecordRating counts one rating.
func (l *Learner) RecordRating(rating platform.Rating) {
	l.mu.Lock()
	l.sequence = max(l.sequence, rating.Sequence)
	epoch := evidence.EpochAt(l.clock.Wall())
	l.counters.AddRating(evidence.RatingSeries(rating.Workspace, rating.Class, rating.Version, epoch), rating.Good)
	for _, series := range l.series(rating.Version) {
		l.counters.AddRating(series, rating.Good)
		l.outstanding(series).RemoveOldest()
	}
	l.mu.Unlock()
	l.OnRating(rating)
}

// RecordFailure counts an answer that a version did not bring to its end.
func (l *Learner) RecordFailure(version ticket.VersionRef) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, series := range l.series(version) {
		l.counters.AddRating(series, false)
		l.outstanding(series).RemoveOldest()
	}
}

// outstanding returns the unrated answers of a series; the caller holds the lock.
func (l *Learner) outstanding(series evidence.Series) *rollout.UnratedAnswers {
	o := l.unrated[series]
	if o == nil {
		o = &rollout.UnratedAnswers{}
		l.unrated[series] = o
	}
	return o
}

// RecordExposure counts an answer of a version that a caller gets.
func (l *Learner) RecordExposure(version ticket.VersionRef) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, series := range l.series(version) {
		l.counters.AddExposure(series)
		l.outstanding(series).Add(l.clock.Mono())
	}
}

// series lists the roll-outs in which a version takes part.
func (l *Learner) series(version ticket.VersionRef) []evidence.Series {
	view := l.View()
	var list []evidence.Series
	for name, r := range view.Rollouts {
		number := view.TicketNumber(ticket.ObjectRollout, string(name))
		switch {
		case r.State != ticket.RolloutRunning:
		case r.To == version:
			list = append(list, evidence.RolloutSeries(name, number, evidence.ArmTo))
		case r.From == version:
			list = append(list, evidence.RolloutSeries(name, number, evidence.ArmFrom))
		}
	}
	return list
}

// RatingCount returns the ratings of a version, older ones at less weight.
func (l *Learner) RatingCount(key cascade.RatingKey) cascade.RatingCount {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.memory.Ratings(key, l.clock.Wall())
}

// CountersSince returns the rows that changed after the stamp.
func (l *Learner) CountersSince(stamp evidence.Revision) ([]evidence.Row, evidence.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counters.RowsSince(stamp)
}

// MergeCounters takes rows of other instances.
func (l *Learner) MergeCounters(rows []evidence.Row) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters.Merge(rows)
}

// forget drops the ratings of old epochs and the evidence of ended roll-outs.
func (l *Learner) forget() {
	view := l.View()
	current := map[evidence.Series]bool{}
	for name := range view.Rollouts {
		number := view.TicketNumber(ticket.ObjectRollout, string(name))
		current[evidence.RolloutSeries(name, number, evidence.ArmFrom)] = true
		current[evidence.RolloutSeries(name, number, evidence.ArmTo)] = true
	}
	oldest := evidence.EpochAt(l.clock.Wall()) - cascade.RatingEpochs
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.unrated, func(series evidence.Series, _ *rollout.UnratedAnswers) bool { return !current[series] })
	l.counters.Retain(func(series evidence.Series) bool {
		if series.Rollout != "" {
			return current[series]
		}
		return series.Epoch > oldest
	})
}
