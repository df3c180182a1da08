package forward

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"foxtailbridge/entry/endpoints"
	"foxtailbridge/entry/registry"
	"foxtailbridge/entry/relay"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
)

// Limits configures a Forwarder. The retry budget and the exposure apply to all
// instances together.
type Limits struct {
	Zone ticket.ZoneName
	// RetryRatio and RetrySlack bound a service's retries within RetryWindow: a share
	// of its requests, plus a fixed number.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow clock.Millis
	// Exposure bounds the share of requests that a possibly bad release may receive.
	Exposure float64
	// SessionTTL is how long a session stays pinned to a release after its last
	// response.
	SessionTTL clock.Millis
	// MaxViewAge is the age up to which the local view is trusted for lookups that find
	// nothing: in an older view, a missing route or key may only not have arrived yet.
	MaxViewAge clock.Millis
}

// Dependencies are the components that a Forwarder uses.
type Dependencies struct {
	Registry *registry.Registry
	Relay    *relay.Relay
	Sender   Sender
	Clock    *clock.Clock
	Random   *rand.Rand
	Logger   hclog.Logger
	Scope    tally.Scope
}

// Forwarder serves the requests that one instance receives.
type Forwarder struct {
	deps      Dependencies
	limits    *atomic.Pointer[Limits]
	clock     *clock.Clock
	logger    hclog.Logger
	endpoints *endpoints.Tracker
	delays    *endpoints.Delays
	paces     *endpoints.Paces
	sizes     *endpoints.Sizes
	answers   *endpoints.Answers
	releases  *releaseRouter
	reach     reach
	fairness  *fairness
}

// New returns a Forwarder and registers its loads with the relay.
func New(l *Limits, deps Dependencies) *Forwarder {
	logger := deps.Logger.Named("forward")
	limits := &atomic.Pointer[Limits]{}
	limits.Store(l)
	f := &Forwarder{
		deps:   deps,
		limits: limits,
		clock:  deps.Clock,
		logger: logger,
		endpoints: endpoints.New(endpoints.Dependencies{
			Zone: l.Zone, Clock: deps.Clock, Random: deps.Random, Logger: logger, Instances: deps.Relay.InstanceCount,
			RetryLimits: func() endpoints.RetryLimits {
				l := limits.Load()
				return endpoints.RetryLimits{Ratio: l.RetryRatio, Slack: l.RetrySlack, Window: l.RetryWindow}
			},
		}),
		delays:   endpoints.NewDelays(),
		paces:    endpoints.NewPaces(),
		sizes:    endpoints.NewSizes(),
		answers:  endpoints.NewAnswers(deps.Clock, deps.Scope, deps.Relay.InstanceCount),
		releases: newReleaseRouter(deps.Clock, limits, deps.Relay, logger),
		fairness: newFairness(deps.Clock, logger),
	}
	deps.Relay.LocalLoads = f.localLoads
	deps.Relay.OnRemoteLoads = f.setPeerLoads
	deps.Relay.OnLeaving = func(e relay.LeavingEndpoint, source string) { f.endpoints.MarkLeaving(endpoints.Run(e), source) }
	return f
}

// SetLimits replaces the limits when the settings change.
func (f *Forwarder) SetLimits(l *Limits) {
	f.limits.Store(l)
}

// latencyBuckets are the buckets of the latency histograms.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 14)

// Serve handles a request until it ends. A stream is written to writer as it arrives;
// anything else to send to the caller is returned.
func (f *Forwarder) Serve(ctx context.Context, request *Request, writer ResponseWriter) Result {
	t := &task{Forwarder: f, request: request, writer: writer, assignment: assignment{view: f.deps.Registry.View()}}
	result := t.serve(ctx)
	t.redirectIfOutOfReach(&result)
	t.record(&result)
	return result
}

// rejectUnknown rejects a request that the configuration does not allow. A view that
// the store has not confirmed recently may merely be stale, so the response then asks
// the caller to retry.
func (f *Forwarder) rejectUnknown(status int, reason Reason) Result {
	if f.deps.Registry.Age(registry.FeedOrders) > f.limits.Load().MaxViewAge {
		return localReply(http.StatusServiceUnavailable, ReasonUnconfirmed, staleViewRetryAfter)
	}
	return localReply(status, reason, 0)
}

const (
	// noConfigRetryAfter is the Retry-After of an instance that has no configuration
	// yet.
	noConfigRetryAfter = 500 * clock.Millis(1)
	// staleViewRetryAfter is the Retry-After of an instance whose view is stale.
	staleViewRetryAfter = 400 * clock.Millis(1)
)

// admit resolves the request's route, workspace and service. If it returns false, the
// request ends with the returned Result.
func (t *task) admit() (Result, bool) {
	config := t.view.Config
	if config == nil {
		return localReply(http.StatusServiceUnavailable, ReasonNoConfig, noConfigRetryAfter), false
	}
	t.route = config.Match(t.request.Host, t.request.Path)
	if t.route == nil {
		return t.rejectUnknown(http.StatusNotFound, ReasonNoRoute), false
	}
	t.rank = t.route.Rank
	if config.RequireKey && !t.route.Public {
		w := config.Workspace(t.request.Key)
		if w == nil {
			return t.rejectUnknown(http.StatusUnauthorized, ReasonUnknownKey), false
		}
		t.workspace = w.Name
		if w.HasRank {
			t.rank = w.Rank
		}
	}
	t.service = config.Services[t.route.Service(t.request.hash())]
	if t.service == nil {
		return localReply(http.StatusServiceUnavailable, ReasonNoEndpoint, noConfigRetryAfter), false
	}
	if len(t.request.Body) > 0 || t.route.Retry == catalog.RetryFreely {
		t.digest = t.request.digest(t.workspace)
	}
	if t.quarantined() {
		return localReply(http.StatusBadGateway, ReasonQuarantined, 0), false
	}
	return Result{}, true
}

// record writes the request's log line and metrics.
func (t *task) record(result *Result) {
	elapsed := t.clock.Mono() - t.request.ReceivedAt
	outcome := string(result.Reason)
	scope := t.deps.Scope.Tagged(map[string]string{"outcome": outcome})
	scope.Counter("requests").Inc(1)
	if t.firstByteAt > 0 {
		t.deps.Scope.Histogram("first_byte", latencyBuckets).RecordDuration((t.firstByteAt - t.request.ReceivedAt).Duration())
	}
	t.deps.Scope.Histogram("whole", latencyBuckets).RecordDuration(elapsed.Duration())
	args := []any{"request", t.request.ID, "outcome", outcome, "status", result.Status, "ms", int64(elapsed)}
	if t.route != nil {
		args = append(args, "route", t.route.Name, "workspace", t.workspace, "rank", t.rank)
	}
	if t.view.Config != nil {
		args = append(args, "config", t.view.Config.Revision, "view-age-ms", int64(t.deps.Registry.Age(registry.FeedOrders)))
	}
	if t.lastEndpoint != nil {
		args = append(args, "endpoint", t.lastEndpoint.ID, "release", t.lastEndpoint.Release, "model", t.model, "runs", t.runs, "sends", t.sends, "unsent", t.unsent, "arm", t.arm)
		if zone := t.lastEndpoint.Zone; zone != t.limits.Load().Zone {
			args = append(args, "other-zone", zone)
		}
	}
	if t.firstByteAt > 0 {
		args = append(args, "first-ms", int64(t.firstByteAt-t.request.ReceivedAt), "pause-ms", int64(t.longestEventGap))
	}
	if p := t.promptChoice; p != nil {
		args = append(args, "prompt", promptLength(p), "placement", p.Placement, "backlog-ms", int64(p.Backlog), "group", p.Group)
	}
	if t.progress != nil && t.lastAnswered != nil {
		args = append(args, "delay", t.lastAnswered.delay, "usual-ms", int64(t.lastAnswered.usualDelay))
	}
	if t.fair.Short {
		args = append(args, "share", roundRate(t.fair.Share), "demand", roundRate(t.fair.Demand), "demand-age-ms", int64(t.fair.Age))
	}
	if t.waitEnd != "" {
		args = append(args, "waited-ms", int64(t.waited), "wait", t.waitEnd)
	}
	if result.RetryAfter > 0 {
		args = append(args, "retry-after-ms", int64(result.RetryAfter))
	}
	if (result.LocalReply || result.Abort) && result.Reason != ReasonCallerGone {
		if t.deadline > 0 {
			args = append(args, "left-ms", int64(max(0, t.deadline-t.clock.Mono())))
		}
		if t.retryDenied != "" {
			args = append(args, "denied", t.retryDenied, "budget", math.Round(100*t.endpoints.RetryBudgetLeft(t.service.Name))/100)
		}
		t.logger.Warn("request", args...)
		return
	}
	t.logger.Info("request", args...)
}
