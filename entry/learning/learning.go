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

// Intervals and limits of a Learner.
const (
	// DefaultPeriod is how often answers are submitted, ratings fetched and
	// roll-outs evaluated.
	DefaultPeriod = 500 * clock.Millis(1)
	// maxSubmitBatch limits the answers submitted for rating in one call.
	maxSubmitBatch = 256
	// maxPending limits the answers queued for rating.
	maxPending = 4096
)

// Learner collects ratings, exposures and crash suspicions on one instance and
// merges them with those of other instances.
type Learner struct {
	// View returns the current configuration.
	View func() *ticket.View
	// Position returns the instance's position among the live instances.
	Position func() rollout.Position
	// Publish appends an item to the fleet stream.
	Publish func(fleet.Item) <-chan error
	// TriggerSync is called to propagate a change to the other instances at once.
	TriggerSync func()
	// OnRating is called with each recorded rating.
	OnRating func(platform.Rating)

	clock   *clock.Clock
	logger  hclog.Logger
	ratings *platform.Ratings

	mu             sync.Mutex
	counters       *evidence.Counters
	ratingCache    *cascade.RatingCache
	unratedAnswers map[evidence.Series]*rollout.UnratedAnswers
	stops          map[fleet.RolloutStop]bool
	crashes        *quarantine.Ledger
	// quarantineDisabled makes Verdict return VerdictClear for every request.
	quarantineDisabled bool
	pending            []platform.Answer
	sequence           int64
}

// Option configures a Learner.
type Option func(*Learner)

// WithoutQuarantine disables the quarantine, so that requests run regardless of
// how many endpoints they crashed. It is the baseline that tests compare with.
func WithoutQuarantine() Option {
	return func(l *Learner) { l.quarantineDisabled = true }
}

// New returns a Learner. The instance name self includes the process run id.
func New(self string, ratings *platform.Ratings, c *clock.Clock, logger hclog.Logger, opts ...Option) *Learner {
	l := &Learner{
		Position:       func() rollout.Position { return rollout.Position{Instances: 1} },
		TriggerSync:    func() {},
		OnRating:       func(platform.Rating) {},
		clock:          c,
		logger:         logger.Named("learning"),
		ratings:        ratings,
		counters:       evidence.NewCounters(self),
		unratedAnswers: map[evidence.Series]*rollout.UnratedAnswers{},
		stops:          map[fleet.RolloutStop]bool{},
		crashes:        quarantine.NewLedger(),
	}
	l.ratingCache = cascade.NewRatingCache(l.counters)
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Run calls RunOnce periodically until ctx ends.
func (l *Learner) Run(ctx context.Context) {
	for l.clock.Sleep(ctx, DefaultPeriod) == nil {
		l.RunOnce(ctx)
	}
}

// RunOnce submits queued answers, fetches ratings, evaluates roll-outs and prunes
// old evidence, once.
func (l *Learner) RunOnce(ctx context.Context) {
	l.submit(ctx)
	l.fetch(ctx)
	l.EvaluateRollouts()
	l.prune()
}

// QueueAnswer queues an answer to be submitted for rating. If the queue is full,
// the answer is dropped.
func (l *Learner) QueueAnswer(answer platform.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) < maxPending {
		l.pending = append(l.pending, answer)
	}
}

// submit submits a batch of queued answers; they stay queued if that fails.
func (l *Learner) submit(ctx context.Context) {
	l.mu.Lock()
	batch := l.pending[:min(len(l.pending), maxSubmitBatch)]
	l.mu.Unlock()
	if len(batch) == 0 || l.ratings.Submit(ctx, batch) != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append([]platform.Answer(nil), l.pending[len(batch):]...)
}

// fetch records the ratings that are newer than the last one seen.
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

// RecordRating counts one rating, by workspace and class and in the roll-outs of
// its version.
func (l *Learner) RecordRating(rating platform.Rating) {
	l.mu.Lock()
	l.sequence = max(l.sequence, rating.Sequence)
	epoch := evidence.EpochAt(l.clock.Wall())
	l.counters.AddRating(evidence.RatingSeries(rating.Workspace, rating.Class, rating.Version, epoch), rating.Good)
	for _, series := range l.rolloutSeries(rating.Version) {
		l.counters.AddRating(series, rating.Good)
		l.unratedAnswersFor(series).RemoveOldest()
	}
	l.mu.Unlock()
	l.OnRating(rating)
}

// RecordFailure counts an answer that a version failed to complete as a bad
// rating in its roll-outs.
func (l *Learner) RecordFailure(version ticket.VersionRef) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, series := range l.rolloutSeries(version) {
		l.counters.AddRating(series, false)
		l.unratedAnswersFor(series).RemoveOldest()
	}
}

// unratedAnswersFor returns the tracker of unrated answers of a series. The caller
// must hold l.mu.
func (l *Learner) unratedAnswersFor(series evidence.Series) *rollout.UnratedAnswers {
	unrated := l.unratedAnswers[series]
	if unrated == nil {
		unrated = &rollout.UnratedAnswers{}
		l.unratedAnswers[series] = unrated
	}
	return unrated
}

// RecordExposure counts an answer of a version that is delivered to a caller.
func (l *Learner) RecordExposure(version ticket.VersionRef) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, series := range l.rolloutSeries(version) {
		l.counters.AddExposure(series)
		l.unratedAnswersFor(series).Add(l.clock.Mono())
	}
}

// rolloutSeries returns the series of the running roll-outs in which a version takes part.
func (l *Learner) rolloutSeries(version ticket.VersionRef) []evidence.Series {
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

// RatingCount returns the ratings of a version, with older ratings weighted less.
func (l *Learner) RatingCount(key cascade.RatingKey) cascade.RatingCount {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ratingCache.Ratings(key, l.clock.Wall())
}

// CountersSince returns the rows that changed after the revision, and the current revision.
func (l *Learner) CountersSince(revision evidence.Revision) ([]evidence.Row, evidence.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counters.RowsSince(revision)
}

// MergeCounters merges rows received from other instances.
func (l *Learner) MergeCounters(rows []evidence.Row) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters.Merge(rows)
}

// prune drops the ratings of old epochs and the evidence of roll-outs that are no
// longer configured.
func (l *Learner) prune() {
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
	maps.DeleteFunc(l.unratedAnswers, func(series evidence.Series, _ *rollout.UnratedAnswers) bool { return !current[series] })
	l.counters.Retain(func(series evidence.Series) bool {
		if series.Rollout != "" {
			return current[series]
		}
		return series.Epoch > oldest
	})
}
