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

	"foxtailbridge/entry/registry"
	"foxtailbridge/entry/relay"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/quarantine"
	"foxtailbridge/policy/ticket"
)

// Limits bound what all instances do together, and what one may hold.
type Limits struct {
	Zone ticket.ZoneName
	// RetryRatio and RetrySlack bound the repeats of a service over RetrySpan.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow clock.Millis
	// Exposure is the largest share of requests for a release that may be bad.
	Exposure float64
	// SessionTTL is how long a session belongs together.
	SessionTTL clock.Millis
	// MaxViewAge is the age of the view up to which what is missing in it does not exist.
	MaxViewAge clock.Millis
}

// Dependencies are the parts of an instance that the pipeline uses.
type Dependencies struct {
	Registry *registry.Registry
	Relay    *relay.Relay
	Sender   Sender
	Clock    *clock.Clock
	Random   *rand.Rand
	Logger   hclog.Logger
	Scope    tally.Scope
}

// Forwarder serves requests of one instance.
type Forwarder struct {
	parts     Dependencies
	limits    *atomic.Pointer[Limits]
	clock     *clock.Clock
	logger    hclog.Logger
	endpoints *endpointTracker
	releases  *releaseRouter
}

// New returns a Forwarder.
func New(l *Limits, parts Dependencies) *Forwarder {
	logger := parts.Logger.Named("forward")
	limits := &atomic.Pointer[Limits]{}
	limits.Store(l)
	f := &Forwarder{
		parts:     parts,
		limits:    limits,
		clock:     parts.Clock,
		logger:    logger,
		endpoints: newEndpointTracker(parts.Clock, logger, limits, parts.Random),
		releases:  newReleaseRouter(parts.Clock, limits, parts.Relay, logger),
	}
	f.endpoints.instances = parts.Relay.Instances
	parts.Relay.Loads = f.endpoints.localInFlight
	parts.Relay.Loaded = f.endpoints.setRemoteInFlight
	return f
}

// SetLimits replaces the limits, after a change of the settings.
func (f *Forwarder) SetLimits(l *Limits) {
	f.limits.Store(l)
}

// latencyBuckets are the buckets of the histograms.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 14)

// Serve carries a request to an end. It streams through reply, and returns what
// else to answer.
func (f *Forwarder) Serve(ctx context.Context, request *Request, writer ResponseWriter) Result {
	t := &task{Forwarder: f, request: request, writer: writer, assignment: assignment{view: f.parts.Registry.View()}}
	result := t.serve(ctx)
	t.record(&result)
	return result
}

// rejectUnknown answers what the configuration does not allow. A view that the
// store has not confirmed lately may only be behind, so it promises a retry.
func (f *Forwarder) rejectUnknown(status int, reason Reason) Result {
	if f.parts.Registry.Age(registry.FeedOrders) > f.limits.Load().MaxViewAge {
		return localReply(http.StatusServiceUnavailable, ReasonUnconfirmed, staleViewRetryAfter)
	}
	return localReply(status, reason, 0)
}

const (
	// noConfigRetryAfter is when a caller may come back to an instance without a configuration.
	noConfigRetryAfter = 500 * clock.Millis(1)
	// staleViewRetryAfter is the same for one whose view is old.
	staleViewRetryAfter = 400 * clock.Millis(1)
)

// admit finds route and workspace of a request, or a refusal.
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
	if config.Keyed && !t.route.Public {
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
	if len(t.request.Body) > 0 || t.route.Repeat == catalog.RepeatFreely {
		t.digest = t.request.digest(t.workspace)
		if t.parts.Relay.Judge(t.digest) == quarantine.VerdictQuarantined {
			return localReply(http.StatusBadGateway, ReasonQuarantined, 0), false
		}
	}
	return Result{}, true
}

// record writes the request's line and its metrics.
func (t *task) record(result *Result) {
	elapsed := t.clock.Mono() - t.request.ReceivedAt
	outcome := string(result.Reason)
	scope := t.parts.Scope.Tagged(map[string]string{"outcome": outcome})
	scope.Counter("requests").Inc(1)
	if t.firstByteAt > 0 {
		t.parts.Scope.Histogram("first_byte", latencyBuckets).RecordDuration((t.firstByteAt - t.request.ReceivedAt).Duration())
	}
	t.parts.Scope.Histogram("whole", latencyBuckets).RecordDuration(elapsed.Duration())
	args := []any{"request", t.request.ID, "outcome", outcome, "status", result.Status, "ms", int64(elapsed)}
	if t.route != nil {
		args = append(args, "route", t.route.Name, "workspace", t.workspace, "rank", t.rank)
	}
	if t.view.Config != nil {
		args = append(args, "config", t.view.Config.Revision, "view-age-ms", int64(t.parts.Registry.Age(registry.FeedOrders)))
	}
	if t.lastEndpoint != nil {
		args = append(args, "endpoint", t.lastEndpoint.ID, "release", t.lastEndpoint.Release, "model", t.model, "runs", t.runs, "sends", t.sends, "unsent", t.unsent, "arm", t.arm)
	}
	if t.firstByteAt > 0 {
		args = append(args, "first-ms", int64(t.firstByteAt-t.request.ReceivedAt), "pause-ms", int64(t.longestEventGap))
	}
	if result.RetryAfter > 0 {
		args = append(args, "retry-after-ms", int64(result.RetryAfter))
	}
	if (result.LocalReply || result.Abort) && result.Reason != ReasonCallerGone {
		if t.deadline > 0 {
			args = append(args, "left-ms", int64(max(0, t.deadline-t.clock.Mono())))
		}
		if t.retryDenied != "" {
			args = append(args, "denied", t.retryDenied, "budget", math.Round(100*t.endpoints.retryBudgetLeft(t.service.Name))/100)
		}
		t.logger.Warn("request", args...)
		return
	}
	t.logger.Info("request", args...)
}
