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
	// KindHeld means that another claim came first.
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
	// DefaultReadBackTimeout bounds the wait for a claim to be read back.
	DefaultReadBackTimeout = 3 * clock.Second
	// keepFor is how long claims are remembered: the oldest accepted key, its
	// skew, and a margin.
	keepFor      = claim.MaxKeyAge + 2*claim.MaxKeySkew
	expirePeriod = 10 * clock.Second
	finishRetry  = 500 * clock.Millis(1)
	// MaxOutcomeBodySize bounds the answer that the log keeps for retries.
	MaxOutcomeBodySize = 8 << 10
)

// Claimer claims requests in the name of one instance.
type Claimer struct {
	instance   string
	clock      *clock.Clock
	logger     hclog.Logger
	partitions []*partition
	// confirm decides whether a claim that was appended may run; the seam lets
	// tests put a naive rule in its place.
	confirm func(ctx context.Context, p *partition, record claim.Record, appended <-chan error) (claim.Holding, error)

	// ending counts the ends of requests that are on their way to the log.
	ending sync.WaitGroup

	mu   sync.Mutex
	dead map[claim.Nonce]bool
}

type partition struct {
	log     *platform.Log
	tail    *platform.Tail
	batcher *platform.Batcher
	clock   *clock.Clock
	onDead  func(claim.Record)

	mu     sync.Mutex
	table  *claim.Table
	logNow clock.Millis
}

// Option changes a Claimer.
type Option func(*Claimer)

// WithoutReadBack lets a claim run once its append was acknowledged. It is the
// naive rule that the tests compare with.
func WithoutReadBack() Option {
	return func(c *Claimer) { c.confirm = trustAppend }
}

// New returns a Claimer over the given number of partitions.
func New(instance string, partitions int, log *platform.Log, c *clock.Clock, logger hclog.Logger, opts ...Option) *Claimer {
	claimer := &Claimer{
		instance: instance,
		clock:    c,
		logger:   logger.Named("claims"),
		confirm:  readBack,
		dead:     map[claim.Nonce]bool{},
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
	p.onDead = func(record claim.Record) { c.closeDead(p, record) }
	p.tail = &platform.Tail{Log: log, Stream: stream, Clock: c.clock, Apply: p.apply}
	return p
}

// Run follows the claim streams until ctx ends.
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
		from, err := platform.Seek(ctx, p.log, p.tail.Stream, p.clock.Wall()-keepFor)
		if err == nil {
			p.tail.Start(from)
			break
		}
		if p.clock.Sleep(ctx, finishRetry) != nil {
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
	p.logNow = record.At
	for _, item := range items {
		p.table.Apply(record.Offset, record.At, item)
	}
	p.mu.Unlock()
	for _, item := range items {
		if item.Kind == claim.RecordClaim {
			p.onDead(item)
		}
	}
}

func (p *partition) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Expire(p.logNow - keepFor)
}

func (p *partition) lookup(id claim.RequestID) (claim.Holding, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Lookup(id)
}

func (c *Claimer) partitionOf(id claim.RequestID) *partition {
	return c.partitions[xxhash.Sum64String(string(id))%uint64(len(c.partitions))]
}

// Lookup returns what this instance has read of a request.
func (c *Claimer) Lookup(id claim.RequestID) (claim.Holding, bool) {
	return c.partitionOf(id).lookup(id)
}

// Acquire claims the request and returns once the claim was read back as the
// first. An Error of kind KindHeld comes with the holding that was first.
func (c *Claimer) Acquire(ctx context.Context, id claim.RequestID, digest string) (*Grant, claim.Holding, error) {
	record := claim.Record{Kind: claim.RecordClaim, ID: id, Nonce: claim.NewNonce(), Instance: c.instance, Digest: digest}
	holding, err := c.write(ctx, record)
	if err != nil {
		return nil, holding, err
	}
	c.logger.Info("claim-won", "request", id, "offset", holding.Offset)
	return &Grant{ID: id, Nonce: record.Nonce, Offset: holding.Offset}, holding, nil
}

// Refuse closes the request as not run. An Error of kind KindHeld means that
// somebody claimed it before.
func (c *Claimer) Refuse(ctx context.Context, id claim.RequestID, digest string) (claim.Holding, error) {
	record := claim.Record{Kind: claim.RecordRefuse, ID: id, Nonce: claim.NewNonce(), Instance: c.instance, Digest: digest}
	return c.write(ctx, record)
}

// write appends a first record and decides by reading whether it is the first.
func (c *Claimer) write(ctx context.Context, record claim.Record) (claim.Holding, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultReadBackTimeout.Duration())
	defer cancel()
	p := c.partitionOf(record.ID)
	data, err := json.Marshal(record)
	if err != nil {
		return claim.Holding{}, fault.New("claim", KindUnreadable, "%w", err)
	}
	holding, err := c.confirm(ctx, p, record, p.batcher.Add(data))
	if fault.KindOf[Kind](err) == KindUnreadable {
		c.bury(record.Nonce)
		c.logger.Warn("claim-unreadable", "request", record.ID, "error", err)
	}
	return holding, err
}

// readBack waits until the first record of the request was read.
func readBack(ctx context.Context, p *partition, record claim.Record, appended <-chan error) (claim.Holding, error) {
	for {
		changed := p.tail.Changed()
		if holding, ok := p.lookup(record.ID); ok {
			return judge(holding, record)
		}
		select {
		case <-changed:
		case err := <-appended:
			if fault.KindOf[platform.Kind](err) == platform.KindRefused {
				return claim.Holding{}, fault.New("claim", KindUnreadable, "%w", err)
			}
			appended = nil
		case <-ctx.Done():
			return claim.Holding{}, fault.New("claim", KindUnreadable, "not read back: %w", ctx.Err())
		}
	}
}

func judge(holding claim.Holding, record claim.Record) (claim.Holding, error) {
	if holding.Nonce != record.Nonce {
		return holding, fault.New("claim", KindHeld, "held by %s since offset %d", holding.Instance, holding.Offset)
	}
	return holding, nil
}

// trustAppend takes an acknowledged append for a won claim.
func trustAppend(ctx context.Context, _ *partition, record claim.Record, appended <-chan error) (claim.Holding, error) {
	select {
	case err := <-appended:
		if err != nil {
			return claim.Holding{}, fault.New("claim", KindUnreadable, "%w", err)
		}
		return claim.Holding{Nonce: record.Nonce, Instance: record.Instance}, nil
	case <-ctx.Done():
		return claim.Holding{}, fault.New("claim", KindUnreadable, "%w", ctx.Err())
	}
}

// bury notes that a claim must not run even if it turns out to be the first.
func (c *Claimer) bury(nonce claim.Nonce) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dead[nonce] = true
}

// closeDead ends a buried claim that landed late, so that others learn that it did not run.
func (c *Claimer) closeDead(p *partition, record claim.Record) {
	if record.Instance != c.instance {
		return
	}
	c.mu.Lock()
	dead := c.dead[record.Nonce]
	delete(c.dead, record.Nonce)
	c.mu.Unlock()
	if holding, ok := p.lookup(record.ID); dead && ok && holding.Nonce == record.Nonce {
		c.finish(p, record.ID, record.Nonce, claim.Outcome{State: claim.StateNotRun})
	}
}

// Finish reports the end of a granted request; answers that are too large for
// the log are kept by this instance alone.
func (c *Claimer) Finish(grant *Grant, outcome claim.Outcome) {
	c.finish(c.partitionOf(grant.ID), grant.ID, grant.Nonce, outcome)
}

func (c *Claimer) finish(p *partition, id claim.RequestID, nonce claim.Nonce, outcome claim.Outcome) {
	record := claim.Record{Kind: claim.RecordDone, ID: id, Nonce: nonce, Instance: c.instance, Outcome: &outcome}
	p.mu.Lock()
	p.table.Apply(0, p.logNow, record)
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
	c.ending.Go(func() { c.appendDone(p, data) })
}

// Flush waits until the ends of all requests are in the log, or ctx ends.
func (c *Claimer) Flush(ctx context.Context) {
	flushed := make(chan struct{})
	go func() {
		c.ending.Wait()
		close(flushed)
	}()
	select {
	case <-flushed:
	case <-ctx.Done():
	}
}

// appendDone retries for as long as the claim is remembered.
func (c *Claimer) appendDone(p *partition, data []byte) {
	end := c.clock.Mono() + keepFor
	for c.clock.Mono() < end {
		err := <-p.batcher.Add(data)
		if err == nil || fault.KindOf[platform.Kind](err) == platform.KindClosed {
			return
		}
		_ = c.clock.Sleep(context.Background(), finishRetry)
	}
}

// Outcome returns what this instance knows of a claim of its own, and waits up
// to the span while the request runs.
func (c *Claimer) Outcome(ctx context.Context, id claim.RequestID, nonce claim.Nonce, wait clock.Millis) claim.Outcome {
	end := c.clock.Mono() + wait
	for {
		holding, ok := c.Lookup(id)
		if !ok || holding.Nonce != nonce {
			return claim.Outcome{State: claim.StateUnknown}
		}
		if holding.Outcome.State != claim.StateRunning || c.clock.Mono() >= end {
			return holding.Outcome
		}
		if c.clock.Sleep(ctx, outcomePoll) != nil {
			return holding.Outcome
		}
	}
}

const outcomePoll = 10 * clock.Millis(1)
