package ledger

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"

	"foxtailbridge/link/platform"
	"foxtailbridge/policy/billing"
	"foxtailbridge/policy/claim"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindFull means that the backlog of bills that aren't in the log is full.
	KindFull Kind = "full"
	// KindNotDurable means that the bill is neither in the log nor held by another
	// instance yet.
	KindNotDurable Kind = "unsafe"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Defaults of a Ledger.
const (
	// DefaultMaxUnsettled limits the backlog of bills that aren't in the log.
	DefaultMaxUnsettled = 10_000
	// DefaultMaxHeld limits the bills held for other instances.
	DefaultMaxHeld = 20_000
	// remoteHoldDelay is how long an append may take before another instance is
	// asked to hold the bill.
	remoteHoldDelay = 300 * clock.Millis(1)
	// remoteHoldDelayFailing replaces remoteHoldDelay if the last append failed.
	remoteHoldDelayFailing = 20 * clock.Millis(1)
	// durabilityTimeout limits the wait for a bill to become durable, which means
	// that it is in the log or held by another instance.
	durabilityTimeout = 10 * clock.Second
	// renewPeriod is how often the owner of held bills renews the hold. A holder
	// takes the bills over after heldTTL without a renewal.
	renewPeriod = 5 * clock.Second
	heldTTL     = 15 * clock.Second
	retryPeriod = 500 * clock.Millis(1)
)

// Ledger settles the bills of one instance.
type Ledger struct {
	// HoldRemotely asks another instance to hold bills and reports whether one did.
	HoldRemotely func(ctx context.Context, bills []billing.Bill) bool
	// NotifySettled tells the holders of bills that the bills are in the log.
	NotifySettled func(ctx context.Context, ids []claim.RequestID)
	// RenewHolds tells the holders that this instance is alive, and returns the
	// bills that have too few holders.
	RenewHolds func(ctx context.Context) []claim.RequestID

	clock   *clock.Clock
	logger  hclog.Logger
	batcher *platform.Batcher
	// confirm blocks until a bill is durable and the caller's answer may be
	// completed. WithoutDurabilityWait replaces it with an unsafe variant for
	// tests.
	confirm func(ctx context.Context, e *entry) error
	// failing is true if the last append to the log failed.
	failing atomic.Bool

	mu        sync.Mutex
	unsettled map[claim.RequestID]*entry
	held      map[Owner]*ownerHold
	heldCount int
	// overdue contains the bills that didn't become durable within
	// durabilityTimeout.
	overdue map[claim.RequestID]*entry
}

// entry is a bill of this instance that is not in the log yet.
type entry struct {
	bill billing.Bill
	data json.RawMessage
	// logged is closed once the bill is in the log.
	logged chan struct{}
	// handedOver is true once other instances were asked to hold the bill.
	handedOver bool
}

// Owner identifies the run of an instance whose bills are held by others.
type Owner string

// ownerHold contains the bills that are held for one owner.
type ownerHold struct {
	bills     map[claim.RequestID]billing.Bill
	renewedAt clock.Millis
}

// Option configures a Ledger.
type Option func(*Ledger)

// WithoutDurabilityWait lets Settle return before the bill is durable. It is
// unsafe; tests use it for comparison.
func WithoutDurabilityWait() Option {
	return func(l *Ledger) { l.confirm = func(context.Context, *entry) error { return nil } }
}

// New returns an empty Ledger.
func New(log *platform.Log, c *clock.Clock, logger hclog.Logger, opts ...Option) *Ledger {
	l := &Ledger{
		HoldRemotely:  func(context.Context, []billing.Bill) bool { return false },
		NotifySettled: func(context.Context, []claim.RequestID) {},
		RenewHolds:    func(context.Context) []claim.RequestID { return nil },
		clock:         c,
		logger:        logger.Named("ledger"),
		batcher:       platform.NewBatcher(log, platform.StreamBills, c),
		unsettled:     map[claim.RequestID]*entry{},
		held:          map[Owner]*ownerHold{},
		overdue:       map[claim.RequestID]*entry{},
	}
	l.confirm = l.awaitDurable
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Run appends bills, adopts orphaned ones and renews holds until ctx is done.
func (l *Ledger) Run(ctx context.Context) {
	go l.batcher.Run(ctx)
	renewedAt := l.clock.Mono()
	for l.clock.Sleep(ctx, retryPeriod) == nil {
		l.adoptOrphans(ctx)
		l.retryOverdue(ctx)
		if l.clock.Mono()-renewedAt >= renewPeriod {
			renewedAt = l.clock.Mono()
			l.renew(ctx)
		}
	}
}

// Accepting reports whether new requests can be billed: the backlog isn't full,
// and no bill is overdue.
func (l *Ledger) Accepting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.unsettled) < DefaultMaxUnsettled && len(l.overdue) == 0
}

// retryOverdue asks other instances again to hold the overdue bills. It stops at
// the first failure.
func (l *Ledger) retryOverdue(ctx context.Context) {
	l.mu.Lock()
	entries := make([]*entry, 0, len(l.overdue))
	for _, e := range l.overdue {
		entries = append(entries, e)
	}
	l.mu.Unlock()
	for _, e := range entries {
		if !l.handOver(ctx, e) {
			return
		}
	}
}

// Unsettled returns the number of bills of this instance, including adopted ones,
// that aren't in the log.
func (l *Ledger) Unsettled() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.unsettled)
}

// Held returns the number of bills held for other instances.
func (l *Ledger) Held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heldCount
}

// Settle returns nil once the bill is in the log or held by another instance.
// Even after an error of kind KindNotDurable the bill is appended as soon as the
// log is available.
func (l *Ledger) Settle(ctx context.Context, bill billing.Bill) error {
	data, err := json.Marshal(bill)
	if err != nil {
		return fault.New("settle", KindNotDurable, "%w", err)
	}
	e := &entry{bill: bill, data: data, logged: make(chan struct{})}
	l.mu.Lock()
	if len(l.unsettled) >= DefaultMaxUnsettled {
		l.mu.Unlock()
		return fault.New("settle", KindFull, "backlog of %d bills is full", DefaultMaxUnsettled)
	}
	l.unsettled[bill.ID] = e
	l.mu.Unlock()
	go l.append(e)
	return l.confirm(ctx, e)
}

// append retries until the bill is in the log or the ledger is stopped.
func (l *Ledger) append(e *entry) {
	for err := <-l.batcher.Add(e.data); err != nil; err = <-l.batcher.Add(e.data) {
		l.failing.Store(true)
		if fault.KindOf[platform.Kind](err) == platform.KindClosed {
			return
		}
		_ = l.clock.Sleep(context.Background(), retryPeriod)
	}
	l.failing.Store(false)
	l.mu.Lock()
	delete(l.unsettled, e.bill.ID)
	handedOver := e.handedOver
	delete(l.overdue, e.bill.ID)
	l.mu.Unlock()
	close(e.logged)
	if handedOver {
		l.NotifySettled(context.Background(), []claim.RequestID{e.bill.ID})
	}
}

func (l *Ledger) awaitDurable(ctx context.Context, e *entry) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), durabilityTimeout.Duration())
	defer cancel()
	delay := remoteHoldDelay
	if l.failing.Load() {
		delay = remoteHoldDelayFailing
	}
	if l.waitLogged(ctx, e, delay) {
		return nil
	}
	for ctx.Err() == nil {
		if l.handOver(ctx, e) {
			return nil
		}
		if l.waitLogged(ctx, e, retryPeriod) {
			return nil
		}
	}
	l.mu.Lock()
	if l.unsettled[e.bill.ID] == e {
		l.overdue[e.bill.ID] = e
	}
	l.mu.Unlock()
	l.logger.Error("bill-unsafe", "request", e.bill.ID)
	return fault.New("settle", KindNotDurable, "the bill was accepted neither by the log nor by another instance")
}

func (l *Ledger) waitLogged(ctx context.Context, e *entry, timeout clock.Millis) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	select {
	case <-e.logged:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *Ledger) handOver(ctx context.Context, e *entry) bool {
	l.mu.Lock()
	e.handedOver = true
	l.mu.Unlock()
	if !l.HoldRemotely(ctx, []billing.Bill{e.bill}) {
		return false
	}
	l.mu.Lock()
	delete(l.overdue, e.bill.ID)
	l.mu.Unlock()
	l.logger.Info("bill-held-elsewhere", "request", e.bill.ID)
	return true
}

// HandOverAll asks another instance to hold all unsettled bills, for shutdown. It
// reports whether all bills are durable.
func (l *Ledger) HandOverAll(ctx context.Context) bool {
	l.mu.Lock()
	bills := make([]billing.Bill, 0, len(l.unsettled))
	for _, e := range l.unsettled {
		bills = append(bills, e.bill)
		e.handedOver = true
	}
	l.mu.Unlock()
	return len(bills) == 0 || l.HoldRemotely(ctx, bills)
}

// renew renews the holds of this instance's bills, and replaces lost holders.
func (l *Ledger) renew(ctx context.Context) {
	if l.Unsettled() == 0 {
		return
	}
	lost := l.RenewHolds(ctx)
	l.mu.Lock()
	bills := make([]billing.Bill, 0, len(lost))
	for _, id := range lost {
		if e := l.unsettled[id]; e != nil {
			bills = append(bills, e.bill)
		}
	}
	l.mu.Unlock()
	if len(bills) > 0 {
		l.HoldRemotely(ctx, bills)
	}
}

// HoldForOwner holds bills for their owner and renews the hold of those that it
// already holds. It returns the number of bills accepted and the number now held
// for the owner.
func (l *Ledger) HoldForOwner(owner Owner, bills []billing.Bill) (accepted, held int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.held[owner]
	if h == nil {
		if len(bills) == 0 {
			return 0, 0
		}
		h = &ownerHold{bills: map[claim.RequestID]billing.Bill{}}
		l.held[owner] = h
	}
	h.renewedAt = l.clock.Mono()
	for _, bill := range bills {
		if l.heldCount >= DefaultMaxHeld {
			break
		}
		if _, known := h.bills[bill.ID]; !known {
			l.heldCount++
		}
		h.bills[bill.ID] = bill
		accepted++
	}
	return accepted, len(h.bills)
}

// ReleaseHeld drops held bills that are in the log.
func (l *Ledger) ReleaseHeld(owner Owner, ids []claim.RequestID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.held[owner]
	if h == nil {
		return
	}
	for _, id := range ids {
		if _, ok := h.bills[id]; ok {
			delete(h.bills, id)
			l.heldCount--
		}
	}
	if len(h.bills) == 0 {
		delete(l.held, owner)
	}
}

// adoptOrphans takes over the bills of owners that stopped renewing: they are
// appended, and other instances are asked to hold them until that succeeds. A
// bill that several instances append is charged once, since only the first
// record with an id counts.
func (l *Ledger) adoptOrphans(ctx context.Context) {
	bills := l.takeOrphans()
	for _, bill := range bills {
		data, err := json.Marshal(bill)
		if err != nil {
			continue
		}
		e := &entry{bill: bill, data: data, logged: make(chan struct{}), handedOver: true}
		l.mu.Lock()
		l.unsettled[bill.ID] = e
		l.mu.Unlock()
		go l.append(e)
		l.logger.Info("held-bill-adopted", "request", bill.ID, "owner", bill.Instance)
	}
	if len(bills) > 0 {
		l.HoldRemotely(ctx, bills)
	}
}

// takeOrphans removes and returns the held bills whose hold has expired.
func (l *Ledger) takeOrphans() []billing.Bill {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Mono()
	var bills []billing.Bill
	for owner, h := range l.held {
		if now-h.renewedAt < heldTTL {
			continue
		}
		for _, bill := range h.bills {
			bills = append(bills, bill)
		}
		l.heldCount -= len(h.bills)
		delete(l.held, owner)
	}
	return bills
}
