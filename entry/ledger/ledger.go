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
	// KindFull means that too many bills wait for the log.
	KindFull Kind = "full"
	// KindNotDurable means that neither the log nor another instance has the bill yet.
	KindNotDurable Kind = "unsafe"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Defaults of a Ledger.
const (
	// DefaultMaxUnsettled bounds the bills that wait for the log.
	DefaultMaxUnsettled = 10_000
	// DefaultMaxHeld bounds the bills kept for other instances.
	DefaultMaxHeld = 20_000
	// holdAfter is how long an append may take before another instance is asked to hold the bill.
	holdAfter = 300 * clock.Millis(1)
	// holdAfterFailure is the same while the last append has failed.
	holdAfterFailure = 20 * clock.Millis(1)
	// settleWait bounds the time until a bill is safe.
	settleWait = 10 * clock.Second
	// renewPeriod is how often the owner of held bills renews the hold, and
	// heldGrace after how long without that a holder takes the bills over.
	renewPeriod = 5 * clock.Second
	heldGrace   = 15 * clock.Second
	retryPeriod = 500 * clock.Millis(1)
)

// Ledger settles the bills of one instance.
type Ledger struct {
	// HoldRemotely asks another instance to hold bills and reports whether one did.
	HoldRemotely func(ctx context.Context, bills []billing.Bill) bool
	// NotifySettled tells the instances that hold bills that they are in the log.
	NotifySettled func(ctx context.Context, ids []claim.RequestID)
	// RenewHolds tells the holders that this instance lives, and returns the bills
	// that fewer hold than should.
	RenewHolds func(ctx context.Context) []claim.RequestID

	clock   *clock.Clock
	logger  hclog.Logger
	batcher *platform.Batcher
	// release decides when the final marker may be sent; the seam lets tests
	// put a naive rule in its place.
	release func(ctx context.Context, e *entry) error
	// failing is true while the last append to the log has failed.
	failing atomic.Bool

	mu        sync.Mutex
	unsettled map[claim.RequestID]*entry
	held      map[Owner]*holding
	heldCount int
	// stuck holds the bills that could not be made safe in time.
	stuck map[claim.RequestID]*entry
}

// entry is a bill of this instance that is not in the log yet.
type entry struct {
	bill billing.Bill
	data json.RawMessage
	// safe is closed once the bill is in the log.
	safe chan struct{}
	// handedOver is true once others were asked to hold the bill.
	handedOver bool
}

// Owner names the run of an instance that owns bills held elsewhere.
type Owner string

// holding is what is held for one owner.
type holding struct {
	bills   map[claim.RequestID]billing.Bill
	renewed clock.Millis
}

// Option changes a Ledger.
type Option func(*Ledger)

// WithoutDurabilityWait releases the final marker before the bill is safe. It is the
// naive rule that the tests compare with.
func WithoutDurabilityWait() Option {
	return func(l *Ledger) { l.release = func(context.Context, *entry) error { return nil } }
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
		held:          map[Owner]*holding{},
		stuck:         map[claim.RequestID]*entry{},
	}
	l.release = l.awaitSafe
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Run appends and retries until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	go l.batcher.Run(ctx)
	renewed := l.clock.Mono()
	for l.clock.Sleep(ctx, retryPeriod) == nil {
		l.adopt(ctx)
		l.retryStuck(ctx)
		if l.clock.Mono()-renewed >= renewPeriod {
			renewed = l.clock.Mono()
			l.renew(ctx)
		}
	}
}

// Accepting reports whether new work can be billed: the backlog has room, and
// every bill before it was made safe in time.
func (l *Ledger) Accepting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.unsettled) < DefaultMaxUnsettled && len(l.stuck) == 0
}

// retryStuck asks again for a holder of the bills that are not safe yet.
func (l *Ledger) retryStuck(ctx context.Context) {
	l.mu.Lock()
	entries := make([]*entry, 0, len(l.stuck))
	for _, e := range l.stuck {
		entries = append(entries, e)
	}
	l.mu.Unlock()
	for _, e := range entries {
		if !l.handOver(ctx, e) {
			return
		}
	}
}

// Unsettled returns the number of own bills that are not in the log.
func (l *Ledger) Unsettled() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.unsettled)
}

// Held returns the number of bills kept for others.
func (l *Ledger) Held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heldCount
}

// Settle returns nil once the bill is in the log or held by another instance.
// In any case the bill goes to the log as soon as that can be reached.
func (l *Ledger) Settle(ctx context.Context, bill billing.Bill) error {
	data, err := json.Marshal(bill)
	if err != nil {
		return fault.New("settle", KindNotDurable, "%w", err)
	}
	e := &entry{bill: bill, data: data, safe: make(chan struct{})}
	l.mu.Lock()
	if len(l.unsettled) >= DefaultMaxUnsettled {
		l.mu.Unlock()
		return fault.New("settle", KindFull, "%d bills wait for the log", DefaultMaxUnsettled)
	}
	l.unsettled[bill.ID] = e
	l.mu.Unlock()
	go l.append(e)
	return l.release(ctx, e)
}

// append tries until the bill is in the log or the ledger stops.
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
	told := e.handedOver
	delete(l.stuck, e.bill.ID)
	l.mu.Unlock()
	close(e.safe)
	if told {
		l.NotifySettled(context.Background(), []claim.RequestID{e.bill.ID})
	}
}

func (l *Ledger) awaitSafe(ctx context.Context, e *entry) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleWait.Duration())
	defer cancel()
	patience := holdAfter
	if l.failing.Load() {
		patience = holdAfterFailure
	}
	if l.waitSafe(ctx, e, patience) {
		return nil
	}
	for ctx.Err() == nil {
		if l.handOver(ctx, e) {
			return nil
		}
		if l.waitSafe(ctx, e, retryPeriod) {
			return nil
		}
	}
	l.mu.Lock()
	if l.unsettled[e.bill.ID] == e {
		l.stuck[e.bill.ID] = e
	}
	l.mu.Unlock()
	l.logger.Error("bill-unsafe", "request", e.bill.ID)
	return fault.New("settle", KindNotDurable, "no instance and no log took the bill")
}

func (l *Ledger) waitSafe(ctx context.Context, e *entry, span clock.Millis) bool {
	ctx, cancel := context.WithTimeout(ctx, span.Duration())
	defer cancel()
	select {
	case <-e.safe:
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
	delete(l.stuck, e.bill.ID)
	l.mu.Unlock()
	l.logger.Info("bill-held-elsewhere", "request", e.bill.ID)
	return true
}

// HandOverAll asks another instance to hold every unsettled bill, and reports
// whether all are safe; it is for shutdown.
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

// renew keeps the holds of this instance's bills, and replaces lost holders.
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

// HoldForOwner keeps bills for their owner and renews the hold of those it already
// keeps; it returns how many it took and how many it then holds for the owner.
func (l *Ledger) HoldForOwner(owner Owner, bills []billing.Bill) (taken, held int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.held[owner]
	if h == nil {
		if len(bills) == 0 {
			return 0, 0
		}
		h = &holding{bills: map[claim.RequestID]billing.Bill{}}
		l.held[owner] = h
	}
	h.renewed = l.clock.Mono()
	for _, bill := range bills {
		if l.heldCount >= DefaultMaxHeld {
			break
		}
		if _, again := h.bills[bill.ID]; !again {
			l.heldCount++
		}
		h.bills[bill.ID] = bill
		taken++
	}
	return taken, len(h.bills)
}

// ReleaseHeld forgets held bills that are in the log.
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

// adopt takes over the bills of owners that no longer renew the hold: they are
// appended, and held by yet other instances until that succeeds. A bill that
// several instances append counts once, since the first of an id counts.
func (l *Ledger) adopt(ctx context.Context) {
	bills := l.orphans()
	for _, bill := range bills {
		data, err := json.Marshal(bill)
		if err != nil {
			continue
		}
		e := &entry{bill: bill, data: data, safe: make(chan struct{}), handedOver: true}
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

// orphans removes and returns the held bills whose owner is gone.
func (l *Ledger) orphans() []billing.Bill {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Mono()
	var bills []billing.Bill
	for owner, h := range l.held {
		if now-h.renewed < heldGrace {
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
