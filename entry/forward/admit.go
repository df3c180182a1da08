package forward

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fairshare"
	"foxtailbridge/policy/loadlist"
	"foxtailbridge/policy/ticket"
)

// fairness divides the capacity of services that are short of it. Its methods may be called
// concurrently.
type fairness struct {
	clock  *clock.Clock
	logger hclog.Logger
	// stopping is done once the instance stops; stop ends it.
	stopping context.Context
	stop     context.CancelFunc

	mu       sync.Mutex
	services map[ticket.ServiceName]*serviceFairness
}

// serviceFairness is the limiter of one service, and what is logged of a lack of capacity.
type serviceFairness struct {
	*fairshare.Limiter
	// shortFrom is when the lack of capacity began, shortAt when it was last seen, or 0.
	shortFrom, shortAt clock.Millis
	// decided and refused count the requests since then.
	decided, refused int
}

func newFairness(c *clock.Clock, logger hclog.Logger) *fairness {
	stopping, stop := context.WithCancel(context.Background())
	return &fairness{clock: c, logger: logger, stopping: stopping, stop: stop, services: map[ticket.ServiceName]*serviceFairness{}}
}

// setPeers records the demand of all other instances.
func (f *fairness) setPeers(sum loadlist.Sum) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services {
		s.SetPeers(sum, f.clock.Mono())
	}
}

// report returns the demand to tell other instances.
func (f *fairness) report() loadlist.Sum {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, sum := f.clock.Mono(), loadlist.Sum{}
	for name, s := range f.services {
		s.AddReport(sum, now)
		f.logEnd(name, s, now)
	}
	return sum
}

// decide decides whether a request to a service may take capacity.
func (f *fairness) decide(service ticket.ServiceName, r fairshare.Request, c fairshare.Capacity, instances int) fairshare.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, now := f.service(service), f.clock.Mono()
	d := s.Decide(r, c, instances, fairshare.Time{Now: now, Wall: f.clock.Wall()})
	f.logEnd(service, s, now) // An instance without others makes no reports.
	if !d.Short {
		return d
	}
	if s.shortFrom == 0 {
		s.shortFrom = now
		f.logger.Info("capacity-short", "service", service, "room", math.Round(c.Room), "places", math.Round(c.Places), "slots", c.Slots,
			"slot-ms", int64(c.SlotTime), "refusing", c.Refusing, "demand-age-ms", int64(d.Age))
	}
	s.shortAt = now
	s.decided++
	if !d.Admitted {
		s.refused++
	}
	return d
}

// returnTime returns when a refused request should be sent again.
func (f *fairness) returnTime(service ticket.ServiceName, r fairshare.Request, c fairshare.Capacity, instances int, random float64) clock.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.service(service).RetryAfter(r, c, instances, fairshare.Time{Now: f.clock.Mono(), Wall: f.clock.Wall()}, random)
}

// service returns what is known of a service. The caller holds the lock.
func (f *fairness) service(name ticket.ServiceName) *serviceFairness {
	s := f.services[name]
	if s == nil {
		s = &serviceFairness{Limiter: fairshare.NewLimiter(name)}
		f.services[name] = s
	}
	return s
}

// shortEndsAfter is the time without a lack of capacity after which it has ended. It bounds the
// number of log lines of a service that is short at times.
const shortEndsAfter = 2 * clock.Second

// logEnd logs that a service's lack of capacity has ended. The caller holds the lock.
func (f *fairness) logEnd(name ticket.ServiceName, s *serviceFairness, now clock.Millis) {
	if s.shortFrom == 0 || now-s.shortAt < shortEndsAfter {
		return
	}
	f.logger.Info("capacity-short-ended", "service", name, "ms", int64(s.shortAt-s.shortFrom), "requests", s.decided, "over-share", s.refused)
	s.shortFrom, s.decided, s.refused = 0, 0, 0
}

// takeShare decides whether the request may take capacity of a service that is short of it. If it
// returns false, the request ends with the returned Result.
func (t *task) takeShare(ctx context.Context) (Result, bool) {
	t.fair = t.fairness.decide(t.service.Name, t.fairRequest(), t.capacity(), t.deps.Relay.InstanceCount())
	if t.fair.Short {
		t.deps.Scope.Tagged(map[string]string{"rank": strconv.Itoa(int(t.rank))}).Counter("short_of_capacity").Inc(1)
	}
	if t.fair.Admitted {
		return Result{}, true
	}
	if result, ok := t.awaitCapacity(ctx, false); ok || result.Reason != "" {
		return result, ok
	}
	return localReply(http.StatusServiceUnavailable, ReasonOverShare, t.returnTime()), false
}

// fairRequest describes the request to the limiter.
func (t *task) fairRequest() fairshare.Request {
	return fairshare.Request{
		Group:    fairshare.Group{Workspace: t.workspace, Rank: t.rank},
		Content:  t.content(),
		TimeLeft: t.deadline - t.clock.Mono(),
	}
}

// capacity returns what the endpoints of the request's service can take.
func (t *task) capacity() fairshare.Capacity {
	return t.endpoints.Capacity(t.deps.Registry.View(), t.service, t.limits.Load().Zone, t.baseQueueLimit())
}

// returnTime returns the Retry-After of a request that is refused for lack of capacity.
func (t *task) returnTime() clock.Millis {
	random := float64(t.request.hash()>>11) / (1 << 53)
	return t.fairness.returnTime(t.service.Name, t.fairRequest(), t.capacity(), t.deps.Relay.InstanceCount(), random)
}

// content hashes what the request asks for. Requests that hold nothing to tell them apart differ by
// their ID.
func (t *task) content() uint64 {
	r := t.request
	if len(r.Body) == 0 && len(r.PromptParts) == 0 {
		return r.hash()
	}
	digest := t.digest
	if digest == "" {
		digest = r.digest(t.workspace)
	}
	h := xxhash.New()
	_, _ = h.WriteString(string(digest) + "\x00" + r.Session) // A hash never fails to write.
	for _, part := range r.PromptParts {
		_, _ = h.WriteString("\x00" + string(part.ID))
	}
	return h.Sum64()
}

// recordSlotTime records how long the request occupied slots, if it did.
func (t *task) recordSlotTime() {
	if t.slotTime > 0 {
		t.endpoints.RecordSlotTime(t.service.Name, t.slotTime)
	}
}

// roundRate rounds a rate for a log line.
func roundRate(r fairshare.Rate) float64 {
	return math.Round(10*float64(r)) / 10
}
