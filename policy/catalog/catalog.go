package catalog

import (
	"cmp"
	"slices"
	"strings"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// Identifiers and scalar types of the catalog.
type (
	// RouteName identifies a route.
	RouteName string
	// Revision is the revision number of a configuration. The operator only increases it, in
	// uneven steps; the highest one is in force.
	Revision int64
	// Release is the software version that an endpoint runs.
	Release string
	// Rank orders requests by urgency; 0 is the most urgent.
	Rank int
	// APIKey is a caller's API key.
	APIKey string
)

// RetryPolicy is the rule for retries of a request.
type RetryPolicy string

// Retry policies.
const (
	// RetryFreely allows a request to run any number of times.
	RetryFreely RetryPolicy = "freely"
	// RetryNever allows a request to run only once.
	RetryNever RetryPolicy = "never"
)

// Model is one size of a model that a service offers.
type Model struct {
	Name ticket.ModelName
	// Cost is the price of 1,000 generated tokens; a prompt token costs a quarter of
	// a generated one.
	Cost float64
}

// Service is a pool of endpoints that run the same software.
type Service struct {
	Name ticket.ServiceName
	// HealthPath is the URL path of the endpoints' health check.
	HealthPath string
	// MaxConnections bounds the connections of all instances together to one endpoint.
	MaxConnections int
	// ColdDuration is how long an endpoint stays cold after its start.
	ColdDuration clock.Millis
	// ColdRate is the number of requests per second that a cold endpoint can handle.
	ColdRate float64
	// Engine describes batched engines, or is nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// KVCapacity is the number of tokens that running and cached prompts share.
	KVCapacity int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	Models         []Model
}

// LargestModel returns the most expensive model, or "" if there is none.
func (e *Engine) LargestModel() ticket.ModelName {
	var largest Model
	for _, m := range e.Models {
		if largest.Name == "" || m.Cost > largest.Cost {
			largest = m
		}
	}
	return largest.Name
}

// RelativeCost returns the cost of a model relative to the most expensive one, 0 to 1.
func (e *Engine) RelativeCost(model ticket.ModelName) float64 {
	most := e.Cost(e.LargestModel())
	if most <= 0 {
		return 1
	}
	return e.Cost(model) / most
}

// Cost returns the price of 1,000 generated tokens of a model, or 0 if it is not known.
func (e *Engine) Cost(model ticket.ModelName) float64 {
	for _, m := range e.Models {
		if m.Name == model {
			return m.Cost
		}
	}
	return 0
}

// WeightedService is one service of a split route.
type WeightedService struct {
	Service ticket.ServiceName
	Weight  int
}

// Route is one kind of request.
type Route struct {
	Name   RouteName
	Host   string
	Prefix string
	// Split lists the services that may run the route; a plain route has one.
	Split []WeightedService
	// Stream is true if the answer is a series of events.
	Stream bool
	Retry  RetryPolicy
	// Resumable allows a stream to go on at another endpoint.
	Resumable bool
	// Timeout bounds how long a caller waits.
	Timeout clock.Millis
	// FirstByteGoal is the time to the first byte up to which a response gets full
	// credit.
	FirstByteGoal clock.Millis
	// GapGoal is the longest gap between events that counts as in time.
	GapGoal clock.Millis
	// Attempts bounds the number of endpoints that may run one request.
	Attempts int
	Rank     Rank
	// Public is true if requests need no API key.
	Public bool
	// Models lists the models to choose from, smallest first.
	Models []ticket.ModelName
}

// Service returns the service that runs a request of the given hash.
func (r *Route) Service(hash uint64) ticket.ServiceName {
	total := 0
	for _, w := range r.Split {
		total += w.Weight
	}
	if total <= 0 {
		if len(r.Split) == 0 {
			return ""
		}
		return r.Split[0].Service
	}
	offset := int(hash % uint64(total))
	for _, w := range r.Split {
		if offset < w.Weight {
			return w.Service
		}
		offset -= w.Weight
	}
	return r.Split[0].Service
}

// Workspace is a workspace with its API keys.
type Workspace struct {
	Name ticket.WorkspaceName
	// Rank overrides the route's rank if HasRank is true.
	Rank    Rank
	HasRank bool
	Keys    []APIKey
}

// Limits bounds what a caller may send and how long a connection may be idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout clock.Millis
	IdleTimeout   clock.Millis
}

// Config is one revision of the operator's configuration.
type Config struct {
	Revision Revision
	Limits   Limits
	// RequireKey is true if requests need an API key, except on public routes.
	RequireKey bool
	Services   map[ticket.ServiceName]*Service

	byHost map[string][]*Route
	// byService holds the routes that each service may run, sorted by name.
	byService map[ticket.ServiceName][]*Route
	byKey     map[APIKey]*Workspace
}

// NewConfig returns a Config that indexes the routes by host and the workspaces by key.
func NewConfig(revision Revision, routes []*Route, services []*Service, workspaces []*Workspace, requireKey bool, limits Limits) *Config {
	c := &Config{
		Revision:   revision,
		Limits:     limits,
		RequireKey: requireKey,
		Services:   map[ticket.ServiceName]*Service{},
		byHost:     map[string][]*Route{},
		byService:  map[ticket.ServiceName][]*Route{},
		byKey:      map[APIKey]*Workspace{},
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
		for _, w := range r.Split {
			if !slices.Contains(c.byService[w.Service], r) {
				c.byService[w.Service] = append(c.byService[w.Service], r)
			}
		}
	}
	for _, list := range c.byService {
		slices.SortFunc(list, func(a, b *Route) int { return cmp.Compare(a.Name, b.Name) })
	}
	for _, list := range c.byHost {
		slices.SortFunc(list, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Prefix, b.Prefix))
		})
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, w := range workspaces {
		for _, key := range w.Keys {
			c.byKey[key] = w
		}
	}
	return c
}

// Match returns the route of the longest prefix for a host and path, or nil.
func (c *Config) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Workspace returns the workspace of an API key, or nil.
func (c *Config) Workspace(key APIKey) *Workspace {
	return c.byKey[key]
}

// Endpoint is a registered endpoint. A restart under the same ID is a new endpoint.
type Endpoint struct {
	ID routing.EndpointID
	// StartedAt is the Unix time at which the endpoint started.
	StartedAt clock.Millis
	Service   ticket.ServiceName
	Address   string
	Zone      ticket.ZoneName
	Release   Release
	Slots     int
	// Draining is true once the endpoint has asked for no more requests.
	Draining bool
	// ColdFor is how much longer the endpoint expected to stay cold when it wrote the
	// registry entry.
	ColdFor clock.Millis
	// Sequence counts the registry entries since the endpoint started.
	Sequence int64
}

// EqualExceptSequence reports whether both entries are equal, ignoring Sequence.
func (e *Endpoint) EqualExceptSequence(other *Endpoint) bool {
	a, b := *e, *other
	a.Sequence, b.Sequence = 0, 0
	return a == b
}

// OrderNumber identifies a roll-out order by the offset of its record.
type OrderNumber int64

// Order asks to move a service's traffic to another release.
type Order struct {
	Number  OrderNumber
	Service ticket.ServiceName
	Target  Release
	// Duration is the time that the operator allows for the order, from its start.
	Duration clock.Millis
	// StartedAt is this instance's estimate of the order's start, in monotonic time.
	StartedAt clock.Millis
}

// View is an instance's view of the configuration, endpoints and orders. It is
// immutable.
type View struct {
	Config    *Config
	Endpoints map[ticket.ServiceName][]*Endpoint
	Orders    map[ticket.ServiceName]*Order
	// DrainedZones holds the zones whose endpoints get no new requests.
	DrainedZones map[ticket.ZoneName]bool
	// ZoneColdUntil is the time until which a zone's endpoints count as cold because
	// the zone was drained.
	ZoneColdUntil map[ticket.ZoneName]clock.Millis
}

// Usable reports whether the endpoint may get new requests: it is still registered
// with the same start time and address, not draining, and not in a drained zone.
func (v *View) Usable(e *Endpoint) bool {
	if v.DrainedZones[e.Zone] {
		return false
	}
	for _, listed := range v.Endpoints[e.Service] {
		if listed.ID == e.ID {
			return listed.StartedAt == e.StartedAt && listed.Address == e.Address && !listed.Draining
		}
	}
	return false
}

// RoutesOf returns the sorted names of the routes that a service may run.
func (c *Config) RoutesOf(service ticket.ServiceName) []RouteName {
	var names []RouteName
	for _, r := range c.ServiceRoutes(service) {
		names = append(names, r.Name)
	}
	return names
}

// ServiceRoutes returns the routes that a service may run, sorted by name. The caller must not
// change the list.
func (c *Config) ServiceRoutes(service ticket.ServiceName) []*Route {
	if c == nil {
		return nil
	}
	return c.byService[service]
}
