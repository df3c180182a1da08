package engine

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"foxtailbridge/link/endpoint"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/gate"
	"foxtailbridge/policy/ticket"
)

// Config describes one engine.
type Config struct {
	ID      string            `json:"id"`
	Version ticket.VersionRef `json:"version"`
	Slots   int               `json:"slots"`
	// ColdLimit is how many concurrent requests it can handle in cold start without crashing.
	ColdLimit int `json:"bears"`
	// WarmAfter is how many requests must complete before the engine is warm.
	WarmAfter int `json:"warm-after"`
	// FirstTokenLatency is the time to the first token of a warm engine, and TokenInterval
	// the time between later tokens.
	FirstTokenLatency clock.Millis `json:"first-token-ms"`
	TokenInterval     clock.Millis `json:"token-ms"`
	// PoorPercent is the percentage of requests that get a poor answer.
	PoorPercent int `json:"poor-percent"`
	// IgnoreFencing makes the engine execute orders with stale fencing tokens.
	IgnoreFencing bool `json:"ignores-fence"`
	// InitialVersions lists the versions loaded at the start; empty means Version only.
	InitialVersions []ticket.VersionRef `json:"hold"`
}

// Faults are the failures that the engine injects.
type Faults struct {
	// CrashOn is a text that crashes the engine if a request contains it.
	CrashOn string `json:"crash-on"`
	// FirstTokenDelay is added to the time to the first token.
	FirstTokenDelay clock.Millis `json:"late-ms"`
	// TruncateNext aborts that many of the next streams after TruncateAfter tokens.
	TruncateNext  int `json:"truncate"`
	TruncateAfter int `json:"truncate-after"`
	// EndlessNext makes that many of the next streams send only SSE comments, without
	// end, after TruncateAfter tokens. OverrunNext makes that many of the next streams
	// send tokens without end beyond the requested maximum.
	EndlessNext int `json:"endless"`
	OverrunNext int `json:"overrun"`
	// MismatchNext makes that many of the next responses carry another attempt's ID.
	MismatchNext int `json:"cross"`
	// Draining makes the engine report that it is leaving.
	Draining bool `json:"leaving"`
	// RefuseNext rejects that many of the next requests without running them.
	RefuseNext int `json:"refuse"`
	// PoorPercent overrides Config.PoorPercent if it is not 0.
	PoorPercent int `json:"poor-percent"`
}

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	EventStart        EventKind = "start"
	EventEnd          EventKind = "end"
	EventCrash        EventKind = "crash"
	EventColdOverload EventKind = "cold-overload"
	EventOrder        EventKind = "order"
)

// Event is an entry in the engine's event history, with which tests check what it ran.
type Event struct {
	Kind      EventKind            `json:"kind"`
	At        clock.Millis         `json:"at-ms"`
	Engine    string               `json:"engine"`
	Version   ticket.VersionRef    `json:"version"`
	Workspace ticket.WorkspaceName `json:"workspace,omitempty"`
	Request   string               `json:"request,omitempty"`
	Attempt   endpoint.AttemptID   `json:"attempt,omitempty"`
	InFlight  int                  `json:"in-flight"`
	Cold      bool                 `json:"cold"`
	Fence     ticket.Offset        `json:"fence,omitempty"`
}

var (
	errCrashed   = errors.New("engine crashed")
	errRefused   = errors.New("engine refused the request")
	errTruncated = errors.New("stream truncated")
	errEndless   = errors.New("endless stream without text")
	errOverrun   = errors.New("endless stream")
)

// Engine runs chat completions with generated answers that depend only on the prompt and
// the version.
type Engine struct {
	config Config
	clock  *clock.Clock
	// onCrash closes the connections of the process; it may be nil.
	onCrash func()

	mu       sync.Mutex
	faults   Faults
	boot     gate.BootID
	cold     bool
	finished int
	inFlight int
	waiting  []*waiter
	running  int
	crashed  chan struct{}
	versions []ticket.VersionRef
	fence    ticket.Offset
	prefixes map[uint64]bool
	events   []Event
}

// New returns an Engine, which starts cold unless config.WarmAfter is 0.
func New(config Config, c *clock.Clock) *Engine {
	e := &Engine{config: config, clock: c, versions: config.InitialVersions}
	if len(e.versions) == 0 {
		e.versions = []ticket.VersionRef{config.Version}
	}
	e.restart()
	return e
}

// OnCrash sets the function that closes the connections when the engine crashes.
func (e *Engine) OnCrash(closeAll func()) {
	e.onCrash = closeAll
}

// restart resets the engine to a new boot ID and cold start. The caller must hold e.mu or
// have exclusive access to e.
func (e *Engine) restart() {
	e.boot = gate.BootID(uuid.NewString())
	e.cold = e.config.WarmAfter > 0
	e.finished = 0
	e.inFlight = 0
	e.running = 0
	e.waiting = nil
	e.crashed = make(chan struct{})
	e.prefixes = map[uint64]bool{}
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Crash aborts all requests and restarts the engine.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.crashLocked(EventCrash)
	e.mu.Unlock()
	if e.onCrash != nil {
		e.onCrash()
	}
}

func (e *Engine) crashLocked(kind EventKind) {
	e.record(Event{Kind: kind, InFlight: e.inFlight})
	close(e.crashed)
	e.restart()
}

// MarkCold returns the engine to cold start without a restart.
func (e *Engine) MarkCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold = true
	e.finished = 0
}

// Events returns the event history.
func (e *Engine) Events() []Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.events)
}

func (e *Engine) record(event Event) {
	event.At = e.clock.Wall()
	event.Engine = e.config.ID
	event.Version = e.config.Version
	event.Cold = e.cold
	e.events = append(e.events, event)
}

// Load returns the engine's load report.
func (e *Engine) Load() *endpoint.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	phase := endpoint.PhaseWarm
	switch {
	case e.faults.Draining:
		phase = endpoint.PhaseDraining
	case e.cold:
		phase = endpoint.PhaseCold
	}
	return &endpoint.Load{
		Boot:           e.boot,
		Phase:          phase,
		InFlight:       e.inFlight,
		Slots:          e.config.Slots,
		ColdLimit:      e.config.ColdLimit,
		LoadedVersions: slices.Clone(e.versions),
		Fence:          e.fence,
	}
}

// ApplyOrder executes an order. It returns false if the order's fencing token is stale,
// unless IgnoreFencing is set.
func (e *Engine) ApplyOrder(order *endpoint.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.config.IgnoreFencing && order.Fence < e.fence {
		return false
	}
	e.fence = order.Fence
	e.versions = slices.Clone(order.Versions)
	e.record(Event{Kind: EventOrder, Fence: order.Fence})
	return true
}

// job is a parsed request.
type job struct {
	attempt  endpoint.Attempt
	text     string
	prefix   uint64
	tokens   int
	resumeAt int
}

// tokensFor returns the tokens of the answer to a job's prompt.
func (e *Engine) tokensFor(j *job, poorPercent int) []string {
	const percent = 100
	hash := xxhash.Sum64String(string(e.config.Version) + "\x00" + j.text)
	tokens := make([]string, j.tokens)
	for i := range tokens {
		tokens[i] = words[(hash>>(uint(i)%16)+uint64(i))%uint64(len(words))] + " "
	}
	if int(hash/7%percent) < poorPercent {
		tokens[len(tokens)-1] = "[poor]"
	}
	return tokens
}

var words = strings.Fields("gel pack checked lot tray graded belt shed pickup refund noted whole stock depot sorter credit")

// admission is the state of an admitted request: the boot it runs in and the faults
// injected into it.
type admission struct {
	crashed  chan struct{}
	faults   Faults
	mismatch bool
	truncate bool
	// endless and overrun are as EndlessNext and OverrunNext in Faults.
	endless      bool
	overrun      bool
	warm         bool
	prefixCached bool
}

// anyBoot admits a request whose connection ends with the process that it was made to.
const anyBoot gate.BootID = ""

// admit adds a request to the in-flight requests. The engine crashes if that exceeds
// ColdLimit in cold start, or if the request contains the CrashOn text. A request on a connection to
// an earlier boot gets errCrashed.
func (e *Engine) admit(j *job, boot gate.BootID) (*admission, error) {
	e.mu.Lock()
	if boot != anyBoot && boot != e.boot {
		e.mu.Unlock()
		return nil, errCrashed
	}
	s := &admission{crashed: e.crashed, faults: e.faults, warm: !e.cold}
	if e.faults.RefuseNext > 0 {
		e.faults.RefuseNext--
		e.mu.Unlock()
		return nil, errRefused
	}
	if e.faults.MismatchNext > 0 {
		e.faults.MismatchNext--
		s.mismatch = true
	}
	if e.faults.TruncateNext > 0 {
		e.faults.TruncateNext--
		s.truncate = true
	}
	if e.faults.EndlessNext > 0 {
		e.faults.EndlessNext--
		s.endless = true
	}
	if e.faults.OverrunNext > 0 {
		e.faults.OverrunNext--
		s.overrun = true
	}
	e.inFlight++
	e.record(Event{
		Kind: EventStart, Workspace: j.attempt.Workspace, Request: j.attempt.Request,
		Attempt: j.attempt.ID, InFlight: e.inFlight, Fence: j.attempt.Fence,
	})
	s.prefixCached = e.prefixes[j.prefix]
	if len(e.prefixes) < maxPrefixes {
		e.prefixes[j.prefix] = true
	}
	crashed := e.crashIfTriggered(j)
	e.mu.Unlock()
	if crashed && e.onCrash != nil {
		e.onCrash()
	}
	return s, nil
}

const maxPrefixes = 1024

func (e *Engine) crashIfTriggered(j *job) bool {
	switch {
	case e.cold && e.config.ColdLimit > 0 && e.inFlight > e.config.ColdLimit:
		e.crashLocked(EventColdOverload)
	case e.faults.CrashOn != "" && strings.Contains(j.text, e.faults.CrashOn):
		e.crashLocked(EventCrash)
	default:
		return false
	}
	return true
}

// finish removes a request from the in-flight requests. Requests of an earlier boot are
// ignored.
func (e *Engine) finish(j *job, s *admission, completed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.crashed != e.crashed {
		return
	}
	e.inFlight--
	e.record(Event{
		Kind: EventEnd, Workspace: j.attempt.Workspace, Request: j.attempt.Request,
		Attempt: j.attempt.ID, InFlight: e.inFlight,
	})
	if completed {
		e.finished++
	}
	if e.cold && e.finished >= e.config.WarmAfter {
		e.cold = false
	}
}

// run generates the answer to an admitted job and passes each token to emit.
func (e *Engine) run(ctx context.Context, j *job, s *admission, emit func(string) error) (*endpoint.StreamResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	completed := false
	defer func() { e.finish(j, s, completed) }()
	if err := e.acquireSlot(ctx, j, s); err != nil {
		return nil, err
	}
	defer e.releaseSlot(s)
	poorPercent := e.config.PoorPercent
	if s.faults.PoorPercent > 0 {
		poorPercent = s.faults.PoorPercent
	}
	tokens := e.tokensFor(j, poorPercent)
	if err := e.sleep(ctx, s, e.firstTokenLatency(s)); err != nil {
		return nil, err
	}
	for i := j.resumeAt; i < len(tokens); i++ {
		if s.truncate && i >= s.faults.TruncateAfter {
			return nil, errTruncated
		}
		if s.endless && i >= s.faults.TruncateAfter {
			return nil, errEndless
		}
		if i > j.resumeAt {
			if err := e.sleep(ctx, s, e.config.TokenInterval); err != nil {
				return nil, err
			}
		}
		if err := emit(tokens[i]); err != nil {
			return nil, err
		}
	}
	if s.overrun {
		return nil, errOverrun
	}
	completed = true
	const bytesPerToken = 4
	return &endpoint.StreamResult{PromptTokens: 1 + len(j.text)/bytesPerToken, CompletionTokens: len(tokens)}, nil
}

// The first token of a cold engine takes coldSlowdown times as long. A cached prefix makes
// the first token of a warm engine cachedSpeedup times as fast.
const (
	coldSlowdown  = 4
	cachedSpeedup = 3
)

func (e *Engine) firstTokenLatency(s *admission) clock.Millis {
	latency := e.config.FirstTokenLatency
	if !s.warm {
		latency *= coldSlowdown
	} else if s.prefixCached {
		latency /= cachedSpeedup
	}
	return latency + s.faults.FirstTokenDelay
}

// sleep waits for the duration and returns errCrashed early if the engine crashes.
func (e *Engine) sleep(ctx context.Context, s *admission, duration clock.Millis) error {
	select {
	case <-s.crashed:
		return errCrashed
	default:
	}
	if duration <= 0 {
		return ctx.Err()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- e.clock.Sleep(ctx, duration) }()
	select {
	case <-s.crashed:
		return errCrashed
	case err := <-done:
		return err
	}
}

// waiter is a request that waits for a slot.
type waiter struct {
	rank  int
	ready chan struct{}
}

var ranks = map[ticket.Priority]int{
	ticket.PriorityUrgent:     0,
	ticket.PriorityNormal:     1,
	ticket.PriorityDeferrable: 2,
}

// acquireSlot waits for a free slot; requests with a higher priority are served first.
func (e *Engine) acquireSlot(ctx context.Context, j *job, s *admission) error {
	e.mu.Lock()
	if s.crashed != e.crashed {
		e.mu.Unlock()
		return errCrashed
	}
	if e.running < e.config.Slots {
		e.running++
		e.mu.Unlock()
		return nil
	}
	w := &waiter{rank: ranks[j.attempt.Priority], ready: make(chan struct{})}
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].rank > w.rank {
		at--
	}
	e.waiting = slices.Insert(e.waiting, at, w)
	e.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-s.crashed:
		return errCrashed
	case <-ctx.Done():
		e.cancelWait(w)
		return ctx.Err()
	}
}

// cancelWait removes a waiter from the queue, or hands over its slot to the next waiter if
// it was just granted one.
func (e *Engine) cancelWait(w *waiter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at := slices.Index(e.waiting, w); at >= 0 {
		e.waiting = slices.Delete(e.waiting, at, at+1)
		return
	}
	e.handOverSlot()
}

func (e *Engine) releaseSlot(s *admission) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.crashed == e.crashed {
		e.handOverSlot()
	}
}

func (e *Engine) handOverSlot() {
	if len(e.waiting) == 0 {
		e.running--
		return
	}
	next := e.waiting[0]
	e.waiting = e.waiting[1:]
	close(next.ready)
}
