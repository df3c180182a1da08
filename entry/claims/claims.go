package claims

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"foxtailbridge/link/platform"
	"foxtailbridge/policy/claim"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindHeld means that another claim or refusal of the request won.
	KindHeld Kind = "held"
	// KindUnreadable means that the claim could not be read back in time; this
	// instance will not run the request.
	KindUnreadable Kind = "unreadable"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Grant is the right to run a request once.
type Grant struct {
	ID     claim.RequestID
	Nonce  claim.Nonce
	Offset platform.Offset
}

// Defaults of a Claimer.
const (
	// DefaultReadBackTimeout limits the wait for a claim to be read back from the
	// log.
	DefaultReadBackTimeout = 3 * clock.Second
	// claimRetention is how long claims are kept in memory: the maximum age of an
	// accepted key, plus its maximum clock skew, plus the same again as a margin.
	claimRetention = claim.MaxKeyAge + 2*claim.MaxKeySkew
	expirePeriod   = 10 * clock.Second
	retryPeriod    = 500 * clock.Millis(1)
	// MaxOutcomeBodySize is the maximum size of an answer that is stored in the
	// log for retries.
	MaxOutcomeBodySize = 8 << 10
)

// Claimer claims requests on behalf of one instance.
type Claimer struct {
	instance   string
	clock      *clock.Clock
	logger     hclog.Logger
	partitions []*partition
	// confirm decides whether an appended claim won. WithoutReadBack replaces it
	// with an unsafe variant for tests.
	confirm func(ctx context.Context, p *partition, record claim.Record, appended <-chan error) (claim.Entry, error)

	pending pendingOutcomes

	mu sync.Mutex
	// abandoned contains the claims that must not run even if they win.
	abandoned map[claim.Nonce]bool
}

// partition is one claim stream with the state that was read from it.
type partition struct {
	log     *platform.Log
	tail    *platform.Tail
	batcher *platform.Batcher
	clock   *clock.Clock
	onClaim func(claim.Record)

	mu      sync.Mutex
	table   *claim.Table
	logTime clock.Millis
}

// Option configures a Claimer.
type Option func(*Claimer)

// WithoutReadBack treats a claim as won once its append is acknowledged. It is
// unsafe; tests use it for comparison.
func WithoutReadBack() Option {
	return func(c *Claimer) { c.confirm = confirmByAppend }
}

// New returns a Claimer over the given number of partitions.
func New(instance string, partitions int, log *platform.Log, c *clock.Clock, logger hclog.Logger, opts ...Option) *Claimer {
	claimer := &Claimer{
		instance:  instance,
		clock:     c,
		logger:    logger.Named("claims"),
		confirm:   confirmByReadBack,
		abandoned: map[claim.Nonce]bool{},
	}
	for i := range partitions {
		claimer.partitions = append(claimer.partitions, claimer.newPartition(platform.ClaimPartition(i), log))
	}
	for _, opt := range opts {
		opt(claimer)
	}
	return claimer
}

func (c *Claimer) newPartition(stream platform.Stream, log *platform.Log) *partition {
	p := &partition{
		log:     log,
		batcher: platform.NewBatcher(log, stream, c.clock),
		clock:   c.clock,
		table:   claim.NewTable(),
	}
	p.onClaim = func(record claim.Record) { c.closeAbandoned(p, record) }
	p.tail = &platform.Tail{Log: log, Stream: stream, Clock: c.clock, Apply: p.apply}
	return p
}

// Run tails the claim streams and expires old claims until ctx is done.
func (c *Claimer) Run(ctx context.Context) {
	for _, p := range c.partitions {
		go p.run(ctx)
	}
	for c.clock.Sleep(ctx, expirePeriod) == nil {
		for _, p := range c.partitions {
			p.expire()
		}
	}
}

func (p *partition) run(ctx context.Context) {
	go p.batcher.Run(ctx)
	for {
		from, err := platform.Seek(ctx, p.log, p.tail.Stream, p.clock.Wall()-claimRetention)
		if err == nil {
			p.tail.StartAt(from)
			break
		}
		if p.clock.Sleep(ctx, retryPeriod) != nil {
			return
		}
	}
	p.tail.Run(ctx)
}

func (p *partition) apply(record platform.Record) {
	var items []claim.Record
	if json.Unmarshal(record.Data, &items) != nil {
		return
	}
	p.mu.Lock()
	p.logTime = record.AppendedAt
	for _, item := range items {
		p.table.Apply(record.Offset, record.AppendedAt, item)
	}
	p.mu.Unlock()
	for _, item := range items {
		if item.Kind == claim.RecordClaim {
			p.onClaim(item)
		}
	}
}

func (p *partition) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Expire(p.logTime - claimRetention)
}

func (p *partition) lookup(id claim.RequestID) (claim.Entry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Lookup(id)
}

func (c *Claimer) partitionOf(id claim.RequestID) *partition {
	return c.partitions[xxhash.Sum64String(string(id))%uint64(len(c.partitions))]
}

// Lookup returns the entry of a request, as far as this instance has read the
// log.
func (c *Claimer) Lookup(id claim.RequestID) (claim.Entry, bool) {
	return c.partitionOf(id).lookup(id)
}

// Acquire claims the request and returns once the claim was read back from the
// log as its first record. An Error of kind KindHeld is returned with the entry
// that won.
func (c *Claimer) Acquire(ctx context.Context, id claim.RequestID, digest string) (*Grant, claim.Entry, error) {
	record := claim.Record{Kind: claim.RecordClaim, ID: id, Nonce: claim.NewNonce(), Instance: c.instance, Digest: digest}
	entry, err := c.appendFirst(ctx, record)
	if err != nil {
		return nil, entry, err
	}
	c.logger.Info("claim-won", "request", id, "offset", entry.Offset)
	return &Grant{ID: id, Nonce: record.Nonce, Offset: entry.Offset}, entry, nil
}

// Refuse closes the request as not run. An Error of kind KindHeld means that it
// was claimed or refused before.
func (c *Claimer) Refuse(ctx context.Context, id claim.RequestID, digest string) (claim.Entry, error) {
	record := claim.Record{Kind: claim.RecordRefuse, ID: id, Nonce: claim.NewNonce(), Instance: c.instance, Digest: digest}
	return c.appendFirst(ctx, record)
}

// appendFirst appends a claim or refusal record and confirms that it is the first
// one for its request. A record that can't be confirmed is abandoned.
func (c *Claimer) appendFirst(ctx context.Context, record claim.Record) (claim.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultReadBackTimeout.Duration())
	defer cancel()
	p := c.partitionOf(record.ID)
	data, err := json.Marshal(record)
	if err != nil {
		return claim.Entry{}, fault.New("claim", KindUnreadable, "%w", err)
	}
	entry, err := c.confirm(ctx, p, record, p.batcher.Add(data))
	if fault.KindOf[Kind](err) == KindUnreadable {
		c.abandon(record.Nonce)
		c.logger.Warn("claim-unreadable", "request", record.ID, "error", err)
	}
	return entry, err
}

// confirmByReadBack waits until the first record of the request was read from the
// log, and checks whether it is the given one.
func confirmByReadBack(ctx context.Context, p *partition, record claim.Record, appended <-chan error) (claim.Entry, error) {
	for {
		changed := p.tail.Changed()
		if entry, ok := p.lookup(record.ID); ok {
			return checkWinner(entry, record)
		}
		select {
		case <-changed:
		case err := <-appended:
			if fault.KindOf[platform.Kind](err) == platform.KindRefused {
				return claim.Entry{}, fault.New("claim", KindUnreadable, "%w", err)
			}
			appended = nil
		case <-ctx.Done():
			return claim.Entry{}, fault.New("claim", KindUnreadable, "not read back: %w", ctx.Err())
		}
	}
}

func checkWinner(entry claim.Entry, record claim.Record) (claim.Entry, error) {
	if entry.Nonce != record.Nonce {
		return entry, fault.New("claim", KindHeld, "held by %s since offset %d", entry.Instance, entry.Offset)
	}
	return entry, nil
}

// confirmByAppend treats an acknowledged append as a won claim.
func confirmByAppend(ctx context.Context, _ *partition, record claim.Record, appended <-chan error) (claim.Entry, error) {
	select {
	case err := <-appended:
		if err != nil {
			return claim.Entry{}, fault.New("claim", KindUnreadable, "%w", err)
		}
		return claim.Entry{Nonce: record.Nonce, Instance: record.Instance}, nil
	case <-ctx.Done():
		return claim.Entry{}, fault.New("claim", KindUnreadable, "%w", ctx.Err())
	}
}

// abandon marks a claim that must not run even if it turns out to have won.
func (c *Claimer) abandon(nonce claim.Nonce) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned[nonce] = true
}

// closeAbandoned records the outcome not-run for an abandoned claim that appeared
// in the log late, so that other instances learn that the request did not run.
func (c *Claimer) closeAbandoned(p *partition, record claim.Record) {
	if record.Instance != c.instance {
		return
	}
	c.mu.Lock()
	abandoned := c.abandoned[record.Nonce]
	delete(c.abandoned, record.Nonce)
	c.mu.Unlock()
	if entry, ok := p.lookup(record.ID); abandoned && ok && entry.Nonce == record.Nonce {
		c.finish(p, record.ID, record.Nonce, claim.Outcome{State: claim.StateNotRun})
	}
}

// Finish records the outcome of a granted request. Answers larger than
// MaxOutcomeBodySize are kept in this instance's memory only, and the log gets
// an unknown outcome.
func (c *Claimer) Finish(grant *Grant, outcome claim.Outcome) {
	c.finish(c.partitionOf(grant.ID), grant.ID, grant.Nonce, outcome)
}

func (c *Claimer) finish(p *partition, id claim.RequestID, nonce claim.Nonce, outcome claim.Outcome) {
	record := claim.Record{Kind: claim.RecordDone, ID: id, Nonce: nonce, Instance: c.instance, Outcome: &outcome}
	p.mu.Lock()
	p.table.Apply(0, p.logTime, record)
	p.mu.Unlock()
	logged := outcome
	if len(outcome.Body) > MaxOutcomeBodySize {
		logged.Body = nil
		logged.State = claim.StateUnknown
	}
	record.Outcome = &logged
	data, err := json.Marshal(record)
	if err != nil {
		return
	}
	c.pending.add()
	go func() {
		defer c.pending.done()
		c.appendDone(p, data)
	}()
}

// appendDone appends an outcome record, with retries for up to claimRetention.
func (c *Claimer) appendDone(p *partition, data []byte) {
	deadline := c.clock.Mono() + claimRetention
	for c.clock.Mono() < deadline {
		err := <-p.batcher.Add(data)
		if err == nil || fault.KindOf[platform.Kind](err) == platform.KindClosed {
			return
		}
		_ = c.clock.Sleep(context.Background(), retryPeriod)
	}
}

// Outcome returns the outcome of one of this instance's claims. While the request
// is running it waits, up to the given time.
func (c *Claimer) Outcome(ctx context.Context, id claim.RequestID, nonce claim.Nonce, wait clock.Millis) claim.Outcome {
	deadline := c.clock.Mono() + wait
	for {
		entry, ok := c.Lookup(id)
		if !ok || entry.Nonce != nonce {
			return claim.Outcome{State: claim.StateUnknown}
		}
		if entry.Outcome.State != claim.StateRunning || c.clock.Mono() >= deadline {
			return entry.Outcome
		}
		if c.clock.Sleep(ctx, outcomePollPeriod) != nil {
			return entry.Outcome
		}
	}
}

const outcomePollPeriod = 10 * clock.Millis(1)
