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
	// ColdLimit is how many requests it bears in cold start.
	ColdLimit int `json:"bears"`
	// WarmAfter is how many requests it must finish to become warm.
	WarmAfter int `json:"warm-after"`
	// FirstTokenLatency and Token are the times to the first and between later tokens.
	FirstTokenLatency clock.Millis `json:"first-token-ms"`
	TokenInterval     clock.Millis `json:"token-ms"`
	// PoorPercent is the share of requests that get a poor answer.
	PoorPercent int `json:"poor-percent"`
	// IgnoreFencing makes it carry out orders with old fencing numbers.
	IgnoreFencing bool `json:"ignores-fence"`
	// InitialVersions lists the versions that it holds at first; empty means Version.
	InitialVersions []ticket.VersionRef `json:"hold"`
}

// Faults are the failures that the engine brings about.
type Faults struct {
	// CrashOn makes a request whose text contains it crash the process.
	CrashOn string `json:"crash-on"`
	// FirstTokenDelay is added to the time to the first token.
	FirstTokenDelay clock.Millis `json:"late-ms"`
	// TruncateNext ends that many next streams after TruncateAfter tokens.
	TruncateNext  int `json:"truncate"`
	TruncateAfter int `json:"truncate-after"`
	// EndlessNext makes that many next streams go on without text and without end
	// after TruncateAfter tokens, Overrun with tokens beyond those asked for.
	EndlessNext int `json:"endless"`
	OverrunNext int `json:"overrun"`
	// MismatchNext answers that many next requests as if for another attempt.
	MismatchNext int `json:"cross"`
	// Draining makes the engine report that it leaves.
	Draining bool `json:"leaving"`
	// RefuseNext refuses that many next requests without running them.
	RefuseNext int `json:"refuse"`
	// PoorPercent replaces that of the configuration if it is not 0.
	PoorPercent int `json:"poor-percent"`
}

// EventKind names what the engine witnessed.
type EventKind string

// Kinds of events.
const (
	EventStart        EventKind = "start"
	EventEnd          EventKind = "end"
	EventCrash        EventKind = "crash"
	EventColdOverload EventKind = "cold-overload"
	EventOrder        EventKind = "order"
)

// Event is one thing that the engine witnessed.
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
	errCrashed  = errors.New("engine crashed")
	errRefused  = errors.New("engine refuses")
	errTruncate = errors.New("stream cut short")
	errEndless  = errors.New("stream without end and text")
	errOverrun  = errors.New("stream without end")
)

// Engine runs chat completions with made-up answers that depend only on the prompt.
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
	crash    chan struct{}
	hold     []ticket.VersionRef
	fence    ticket.Offset
	prefixes map[uint64]bool
	events   []Event
}

// New returns an engine in cold start, unless WarmAfter is 0.
func New(config Config, c *clock.Clock) *Engine {
	e := &Engine{config: config, clock: c, hold: config.InitialVersions}
	if len(e.hold) == 0 {
		e.hold = []ticket.VersionRef{config.Version}
	}
	e.restart()
	return e
}

// OnCrash sets the function that closes the connections when the engine crashes.
func (e *Engine) OnCrash(closeAll func()) {
	e.onCrash = closeAll
}

// restart begins a new boot in cold start; the caller holds the lock or owns e.
func (e *Engine) restart() {
	e.boot = gate.BootID(uuid.NewString())
	e.cold = e.config.WarmAfter > 0
	e.finished = 0
	e.inFlight = 0
	e.running = 0
	e.waiting = nil
	e.crash = make(chan struct{})
	e.prefixes = map[uint64]bool{}
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Crash ends every request and begins a new boot.
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
	close(e.crash)
	e.restart()
}

// MarkCold puts the engine into cold start without a restart.
func (e *Engine) MarkCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold = true
	e.finished = 0
}

// Events returns what the engine witnessed.
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

// Load returns the engine's report.
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
		LoadedVersions: slices.Clone(e.hold),
		Fence:          e.fence,
	}
}

// ApplyOrder carries out an order, unless the engine checks fencing numbers and has seen a higher one.
func (e *Engine) ApplyOrder(order *endpoint.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.config.IgnoreFencing && order.Fence < e.fence {
		return false
	}
	e.fence = order.Fence
	e.hold = slices.Clone(order.Versions)
	e.record(Event{Kind: EventOrder, Fence: order.Fence})
	return true
}

// job is one request as the engine runs it.
type job struct {
	attempt  endpoint.Attempt
	text     string
	prefix   uint64
	tokens   int
	resumeAt int
}

// answerOf returns the tokens of the answer to a prompt.
func (e *Engine) answerOf(j *job, poorPercent int) []string {
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

// stay is a request's presence in the engine.
type stay struct {
	crash  chan struct{}
	faults Faults
	cross  bool
	cut    bool
	// endless and overrun are as in Faults.
	endless bool
	overrun bool
	warm    bool
	cached  bool
}

// enter counts a request in, and crashes the engine if it bears no more or is poisoned.
func (e *Engine) enter(j *job) (*stay, error) {
	e.mu.Lock()
	s := &stay{crash: e.crash, faults: e.faults, warm: !e.cold}
	if e.faults.RefuseNext > 0 {
		e.faults.RefuseNext--
		e.mu.Unlock()
		return nil, errRefused
	}
	if e.faults.MismatchNext > 0 {
		e.faults.MismatchNext--
		s.cross = true
	}
	if e.faults.TruncateNext > 0 {
		e.faults.TruncateNext--
		s.cut = true
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
	s.cached = e.prefixes[j.prefix]
	if len(e.prefixes) < maxPrefixes {
		e.prefixes[j.prefix] = true
	}
	crashed := e.crashesOn(j)
	e.mu.Unlock()
	if crashed && e.onCrash != nil {
		e.onCrash()
	}
	return s, nil
}

const maxPrefixes = 1024

func (e *Engine) crashesOn(j *job) bool {
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

// leave counts a request out.
func (e *Engine) leave(j *job, s *stay, whole bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.crash != e.crash {
		return
	}
	e.inFlight--
	e.record(Event{
		Kind: EventEnd, Workspace: j.attempt.Workspace, Request: j.attempt.Request,
		Attempt: j.attempt.ID, InFlight: e.inFlight,
	})
	if whole {
		e.finished++
	}
	if e.cold && e.finished >= e.config.WarmAfter {
		e.cold = false
	}
}

// run generates the answer of a job that has entered.
func (e *Engine) run(ctx context.Context, j *job, s *stay, emit func(string) error) (*endpoint.StreamResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	whole := false
	defer func() { e.leave(j, s, whole) }()
	if err := e.acquire(ctx, j, s); err != nil {
		return nil, err
	}
	defer e.release(s)
	poor := e.config.PoorPercent
	if s.faults.PoorPercent > 0 {
		poor = s.faults.PoorPercent
	}
	tokens := e.answerOf(j, poor)
	if err := e.pause(ctx, s, e.firstToken(s)); err != nil {
		return nil, err
	}
	for i := j.resumeAt; i < len(tokens); i++ {
		if s.cut && i >= s.faults.TruncateAfter {
			return nil, errTruncate
		}
		if s.endless && i >= s.faults.TruncateAfter {
			return nil, errEndless
		}
		if i > j.resumeAt {
			if err := e.pause(ctx, s, e.config.TokenInterval); err != nil {
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
	whole = true
	const bytesPerToken = 4
	return &endpoint.StreamResult{PromptTokens: 1 + len(j.text)/bytesPerToken, CompletionTokens: len(tokens)}, nil
}

// Cold engines are slower by coldFactor; cached prefixes shorten the first token by cachedShare.
const (
	coldFactor  = 4
	cachedShare = 3
)

func (e *Engine) firstToken(s *stay) clock.Millis {
	span := e.config.FirstTokenLatency
	if !s.warm {
		span *= coldFactor
	} else if s.cached {
		span /= cachedShare
	}
	return span + s.faults.FirstTokenDelay
}

// pause waits and fails early if the engine crashes.
func (e *Engine) pause(ctx context.Context, s *stay, span clock.Millis) error {
	select {
	case <-s.crash:
		return errCrashed
	default:
	}
	if span <= 0 {
		return ctx.Err()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- e.clock.Sleep(ctx, span) }()
	select {
	case <-s.crash:
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

// acquire waits for a slot; higher priorities go first.
func (e *Engine) acquire(ctx context.Context, j *job, s *stay) error {
	e.mu.Lock()
	if s.crash != e.crash {
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
	case <-s.crash:
		return errCrashed
	case <-ctx.Done():
		e.abandon(w)
		return ctx.Err()
	}
}

// abandon removes a waiter, or passes on the slot that it was just given.
func (e *Engine) abandon(w *waiter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at := slices.Index(e.waiting, w); at >= 0 {
		e.waiting = slices.Delete(e.waiting, at, at+1)
		return
	}
	e.passOn()
}

func (e *Engine) release(s *stay) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.crash == e.crash {
		e.passOn()
	}
}

func (e *Engine) passOn() {
	if len(e.waiting) == 0 {
		e.running--
		return
	}
	next := e.waiting[0]
	e.waiting = e.waiting[1:]
	close(next.ready)
}
