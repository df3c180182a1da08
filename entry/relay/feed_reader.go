package relay

import (
	"context"

	"github.com/hashicorp/go-hclog"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
)

// Kind classifies the errors of this package.
type Kind string

// KindOutdated means that the store responded in an earlier era than is known.
const KindOutdated Kind = "outdated"

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// endpointsPeriod is the age of the endpoints feed at which a zone's reader reads it.
	endpointsPeriod = 800 * clock.Millis(1)
	// ordersPollTimeout is the long-poll timeout of the reader's requests for new orders.
	ordersPollTimeout = 1500 * clock.Millis(1)
	// rankDelay is the delay per rank with which the other members of a zone take over reading.
	rankDelay = 500 * clock.Millis(1)
	// maxRankDelays caps the delay of members with a high rank, so that they are not late
	// themselves: it is rare that the store rejects that many members of a zone but
	// serves the next.
	maxRankDelays = 6
	// startupWait is how long a starting instance waits for the records of its peers
	// before it reads the store, bootstrapWait the same when all instances start
	// for the first time and there are no callers yet.
	startupWait   = 40 * clock.Millis(1)
	bootstrapWait = 900 * clock.Millis(1)
	// checkPeriod is how often an instance checks whether it has to read.
	checkPeriod = 100 * clock.Millis(1)
	// minBackoff and maxBackoff bound the pause after a failed read. Each rank adds
	// rankDelay, so that the whole fleet does not call a store that is down.
	minBackoff = 200 * clock.Millis(1)
	maxBackoff = 1000 * clock.Millis(1)
	// outcomesPeriod is the age of the outcomes feed at which it is read. Instances
	// pass outcomes on to each other; the store is read only for those that got lost.
	outcomesPeriod = 20 * clock.Second
)

// FeedReader reads the store's feeds when this instance is its zone's reader, or when the
// members that rank before it fail to.
type FeedReader struct {
	// Bootstrap is true on the first start of the installation.
	Bootstrap bool
	// ReadAll returns all keys of a feed.
	ReadAll func(ctx context.Context, feed registry.Feed) (registry.Batch, error)
	// ReadSince returns the records from a position on and, if wait is not 0, waits up
	// to wait for one. expired is true if the store no longer keeps all of them or is in
	// another era.
	ReadSince func(ctx context.Context, feed registry.Feed, from registry.Position, wait clock.Millis) (b registry.Batch, expired bool, err error)

	relay    *Relay
	registry *registry.Registry
	clock    *clock.Clock
	logger   hclog.Logger
}

// NewFeedReader returns a FeedReader that reads into the relay's registry.
func NewFeedReader(r *Relay) *FeedReader {
	return &FeedReader{relay: r, registry: r.deps.Registry, clock: r.deps.Clock, logger: r.deps.Logger.Named("follower")}
}

// Run keeps one feed up to date until ctx is done.
func (f *FeedReader) Run(ctx context.Context, feed registry.Feed) {
	backoff := clock.Millis(0)
	for ctx.Err() == nil {
		if pause := f.untilRead(feed); pause > 0 {
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
			backoff = min(maxBackoff, max(minBackoff, 2*backoff))
			rank := clock.Millis(min(f.relay.Rank(), maxRankDelays))
			if f.clock.Sleep(ctx, backoff+rank*rankDelay) != nil {
				return
			}
		}
	}
}

// untilRead returns the time to wait before the next check, or 0 if the feed is due to be read.
func (f *FeedReader) untilRead(feed registry.Feed) clock.Millis {
	rank := min(f.relay.Rank(), maxRankDelays)
	age := f.registry.Age(feed)
	if age == registry.NeverConfirmed {
		return f.startupDelay()
	}
	if since, outdated := f.registry.Outdated(feed); outdated {
		// Whoever reads first passes the listing on to the others.
		return min(checkPeriod, max(0, clock.Millis(rank)*rankDelay-since))
	}
	limit := endpointsPeriod
	switch feed {
	case registry.FeedOrders:
		limit = 0
		if rank > 0 {
			limit = ordersPollTimeout
		}
	case registry.FeedOutcomes:
		limit = outcomesPeriod
	}
	limit += clock.Millis(rank) * rankDelay
	if age >= limit {
		return 0
	}
	return min(checkPeriod, limit-age)
}

// startupDelay returns the time that a starting instance still waits for the records of its
// peers. The seeds read at once, so that the others need not.
func (f *FeedReader) startupDelay() clock.Millis {
	now := f.clock.Mono()
	wait := startupWait
	if f.Bootstrap {
		wait = bootstrapWait
	}
	if f.relay.IsSeed() || now >= wait {
		return 0
	}
	return min(checkPeriod, wait-now)
}

func (f *FeedReader) read(ctx context.Context, feed registry.Feed) error {
	head, known := f.registry.Head(feed)
	if _, outdated := f.registry.Outdated(feed); known && !outdated {
		wait := clock.Millis(0)
		if feed == registry.FeedOrders && f.registry.Age(feed) < 2*ordersPollTimeout {
			wait = ordersPollTimeout
		}
		start := f.clock.Mono()
		batch, expired, err := f.ReadSince(ctx, feed, head, wait)
		if err != nil {
			return err
		}
		if !expired {
			batch.Age = 0
			if wait == 0 {
				batch.Age = f.clock.Mono() - start
			}
			f.merge(batch, feed)
			return nil
		}
		f.logger.Info("history-expired", "feed", feed, "era", head.Era, "head", head.Offset)
	}
	batch, err := f.ReadAll(ctx, feed)
	if err != nil {
		return err
	}
	if known := f.registry.Era(); batch.Era < known {
		return fault.New("list", KindOutdated, "the store is in era %d, known is %d", batch.Era, known)
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
