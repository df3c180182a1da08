package relay

import (
	"context"

	"github.com/hashicorp/go-hclog"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/clock"
)

const (
	// endpointsPeriod is the age at which a zone's reader reads the endpoints' entries.
	endpointsPeriod = 800 * clock.Millis(1)
	// ordersWait is how long the reader waits at the store for operators' news.
	ordersWait = 1500 * clock.Millis(1)
	// rankStep is how much later each further member of a zone starts to read.
	rankStep = 500 * clock.Millis(1)
	// rankSteps bounds the steps, so that the last member is not late itself: it
	// is rare that the store turns that many of a zone away and serves the next.
	rankSteps = 6
	// startWait is how long a starting instance waits for its peers' knowledge,
	// firstWait the same when the whole installation starts and nobody calls yet.
	startWait = 40 * clock.Millis(1)
	firstWait = 900 * clock.Millis(1)
	// lookPeriod is how often an instance looks whether it has to read.
	lookPeriod = 100 * clock.Millis(1)
	// firstBackoff and maxBackoff bound the pause after a failed read. Each rank
	// waits rankStep longer: a store that is down is not asked by the whole fleet.
	firstBackoff = 200 * clock.Millis(1)
	maxBackoff   = 1000 * clock.Millis(1)
	// outcomesPeriod is how old the knowledge of outcomes may get: they are
	// passed between instances, the store is read for what was missed.
	outcomesPeriod = 20 * clock.Second
)

// FeedReader reads the store's feeds when this instance's turn has come.
type FeedReader struct {
	// Bootstrap is true if the whole installation starts for the first time.
	Bootstrap bool
	// ReadAll returns all keys of a feed.
	ReadAll func(ctx context.Context, feed registry.Feed) (registry.Batch, error)
	// ReadSince returns the records behind an offset, and waits for one if wait
	// is not 0; expired is true if they are no longer kept.
	ReadSince func(ctx context.Context, feed registry.Feed, from registry.Offset, wait clock.Millis) (b registry.Batch, expired bool, err error)

	relay    *Relay
	registry *registry.Registry
	clock    *clock.Clock
	logger   hclog.Logger
}

// NewFeedReader returns a Follower.
func NewFeedReader(r *Relay) *FeedReader {
	return &FeedReader{relay: r, registry: r.parts.Registry, clock: r.parts.Clock, logger: r.parts.Logger.Named("follower")}
}

// Run follows one feed until ctx ends.
func (f *FeedReader) Run(ctx context.Context, feed registry.Feed) {
	backoff := clock.Millis(0)
	for ctx.Err() == nil {
		if pause := f.due(feed); pause > 0 {
			if f.clock.Sleep(ctx, pause) != nil {
				return
			}
			continue
		}
		err := f.read(ctx, feed)
		switch {
		case err == nil && backoff > 0:
			backoff = 0
			f.logger.Info("store-reached", "feed", feed)
		case err != nil && ctx.Err() == nil:
			if backoff == 0 {
				f.logger.Warn("store-lost", "feed", feed, "age-ms", int64(f.registry.Age(feed)), "error", err)
			}
			backoff = min(maxBackoff, max(firstBackoff, 2*backoff))
			rank := clock.Millis(min(f.relay.Rank(), rankSteps))
			if f.clock.Sleep(ctx, backoff+rank*rankStep) != nil {
				return
			}
		}
	}
}

// due returns how long to wait before looking again, or 0 if it is time to read.
func (f *FeedReader) due(feed registry.Feed) clock.Millis {
	rank := min(f.relay.Rank(), rankSteps)
	age := f.registry.Age(feed)
	if age == registry.NeverConfirmed {
		return f.first()
	}
	limit := endpointsPeriod
	switch feed {
	case registry.FeedOrders:
		limit = 0
		if rank > 0 {
			limit = ordersWait
		}
	case registry.FeedOutcomes:
		limit = outcomesPeriod
	}
	limit += clock.Millis(rank) * rankStep
	if age >= limit {
		return 0
	}
	return min(lookPeriod, limit-age)
}

// first returns how long a starting instance waits for what its peers know. The
// seeds read at once, so that the others need not.
func (f *FeedReader) first() clock.Millis {
	now := f.clock.Mono()
	wait := startWait
	if f.Bootstrap {
		wait = firstWait
	}
	if f.relay.IsSeed() || now >= wait {
		return 0
	}
	return min(lookPeriod, wait-now)
}

func (f *FeedReader) read(ctx context.Context, feed registry.Feed) error {
	head, known := f.registry.Head(feed)
	if known {
		wait := clock.Millis(0)
		if feed == registry.FeedOrders && f.registry.Age(feed) < 2*ordersWait {
			wait = ordersWait
		}
		asked := f.clock.Mono()
		batch, expired, err := f.ReadSince(ctx, feed, head, wait)
		if err != nil {
			return err
		}
		if !expired {
			batch.Age = 0
			if wait == 0 {
				batch.Age = f.clock.Mono() - asked
			}
			f.merge(batch, feed)
			return nil
		}
		f.logger.Info("history-expired", "feed", feed, "head", head)
	}
	batch, err := f.ReadAll(ctx, feed)
	if err != nil {
		return err
	}
	f.merge(batch, feed)
	return nil
}

func (f *FeedReader) merge(batch registry.Batch, feed registry.Feed) {
	batch.Feed = feed
	batch.Source = "store"
	if f.registry.Merge(batch) {
		f.relay.TriggerBroadcast()
	}
}
