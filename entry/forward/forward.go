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
	endpoints *endpoints
	releases  *releases
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
		endpoints: newEndpoints(parts.Clock, logger, limits, parts.Random),
		releases:  newReleases(parts.Clock, limits, parts.Relay, logger),
	}
	f.endpoints.instances = parts.Relay.InstanceCount
	parts.Relay.LocalLoads = f.endpoints.own
	parts.Relay.OnRemoteLoads = f.endpoints.others
	return f
}

// SetLimits replaces the limits, after a change of the settings.
func (f *Forwarder) SetLimits(l *Limits) {
	f.limits.Store(l)
}

// latencies are the buckets of the histograms.
var latencies = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 14)

// Serve carries a request to an end. It streams through reply, and returns what
// else to answer.
func (f *Forwarder) Serve(ctx context.Context, request *Request, reply ResponseWriter) Result {
	t := &task{Forwarder: f, request: request, reply: reply, aim: aim{view: f.parts.Registry.View()}}
	result := t.serve(ctx)
	t.record(&result)
	return result
}

// refuseUnknown answers what the configuration does not allow. A view that the
// store has not confirmed lately may only be behind, so it promises a retry.
func (f *Forwarder) refuseUnknown(status int, reason Reason) Result {
	if f.parts.Registry.Age(registry.FeedOrders) > f.limits.Load().MaxViewAge {
		return own(http.StatusServiceUnavailable, ReasonUnconfirmed, unconfirmedPause)
	}
	return own(status, reason, 0)
}

const (
	// startPause is when a caller may come back to an instance without a configuration.
	startPause = 500 * clock.Millis(1)
	// unconfirmedPause is the same for one whose view is old.
	unconfirmedPause = 400 * clock.Millis(1)
)

// admit finds route and workspace of a request, or a refusal.
func (t *task) admit() (Result, bool) {
	config := t.view.Config
	if config == nil {
		return own(http.StatusServiceUnavailable, ReasonNoConfig, startPause), false
	}
	t.route = config.Match(t.request.Host, t.request.Path)
	if t.route == nil {
		return t.refuseUnknown(http.StatusNotFound, ReasonNoRoute), false
	}
	t.rank = t.route.Rank
	if config.RequireKey && !t.route.Public {
		w := config.Workspace(t.request.Key)
		if w == nil {
			return t.refuseUnknown(http.StatusUnauthorized, ReasonUnknownKey), false
		}
		t.workspace = w.Name
		if w.HasRank {
			t.rank = w.Rank
		}
	}
	t.service = config.Services[t.route.Service(t.request.hash())]
	if t.service == nil {
		return own(http.StatusServiceUnavailable, ReasonNoEndpoint, startPause), false
	}
	if len(t.request.Body) > 0 || t.route.Retry == catalog.RetryFreely {
		t.digest = t.request.digest(t.workspace)
		if t.parts.Relay.Verdict(t.digest) == quarantine.VerdictQuarantined {
			return own(http.StatusBadGateway, ReasonQuarantined, 0), false
		}
	}
	return Result{}, true
}

// record writes the request's line and its metrics.
func (t *task) record(result *Result) {
	span := t.clock.Mono() - t.request.ReceivedAt
	outcome := string(result.Reason)
	scope := t.parts.Scope.Tagged(map[string]string{"outcome": outcome})
	scope.Counter("requests").Inc(1)
	if t.firstAt > 0 {
		t.parts.Scope.Histogram("first_byte", latencies).RecordDuration((t.firstAt - t.request.ReceivedAt).Duration())
	}
	t.parts.Scope.Histogram("whole", latencies).RecordDuration(span.Duration())
	args := []any{"request", t.request.ID, "outcome", outcome, "status", result.Status, "ms", int64(span)}
	if t.route != nil {
		args = append(args, "route", t.route.Name, "workspace", t.workspace, "rank", t.rank)
	}
	if t.view.Config != nil {
		args = append(args, "config", t.view.Config.Revision, "view-age-ms", int64(t.parts.Registry.Age(registry.FeedOrders)))
	}
	if t.last != nil {
		args = append(args, "endpoint", t.last.ID, "release", t.last.Release, "model", t.model, "runs", t.runs, "sends", t.sends, "unsent", t.unsent, "arm", t.arm)
	}
	if t.firstAt > 0 {
		args = append(args, "first-ms", int64(t.firstAt-t.request.ReceivedAt), "pause-ms", int64(t.pause))
	}
	if result.RetryAfter > 0 {
		args = append(args, "retry-after-ms", int64(result.RetryAfter))
	}
	if (result.LocalReply || result.Abort) && result.Reason != ReasonCallerGone {
		if t.deadline > 0 {
			args = append(args, "left-ms", int64(max(0, t.deadline-t.clock.Mono())))
		}
		if t.denied != "" {
			args = append(args, "denied", t.denied, "budget", math.Round(100*t.endpoints.budget(t.service.Name))/100)
		}
		t.logger.Warn("request", args...)
		return
	}
	t.logger.Info("request", args...)
}
