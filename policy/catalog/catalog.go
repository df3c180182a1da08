package catalog

import (
	"cmp"
	"slices"
	"strings"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// Names and numbers of a catalog.
type (
	// RouteName identifies a route.
	RouteName string
	// Revision numbers configurations; it only grows.
	Revision int64
	// Release names the software version that an endpoint runs.
	Release string
	// Rank orders requests by urgency; 0 is the most urgent.
	Rank int
	// APIKey is a caller's API key.
	APIKey string
)

// RetryPolicy says what may be repeated of a request.
type RetryPolicy string

// Repeat rules.
const (
	// RetryFreely allows any number of runs.
	RetryFreely RetryPolicy = "freely"
	// RetryNever allows one run.
	RetryNever RetryPolicy = "never"
)

// Model is one size of a model that a service offers.
type Model struct {
	Name ticket.ModelName
	// Cost is the price of 1,000 generated tokens; read tokens count a quarter.
	Cost float64
}

// Service is a pool of endpoints that run the same software.
type Service struct {
	Name ticket.ServiceName
	// HealthPath answers whether an endpoint considers itself healthy.
	HealthPath string
	// MaxConnections bounds the channels of all machines to one endpoint.
	MaxConnections int
	// ColdDuration is how long an endpoint stays cold after its start.
	ColdDuration clock.Millis
	// ColdRate is how many requests a cold endpoint bears in a second.
	ColdRate float64
	// Engine describes batched engines, or is nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// KVCapacity is the number of tokens that running and cached prompts share.
	KVCapacity int
	// TokensPerEvent is the number of tokens in an event of a stream.
	TokensPerEvent int
	Models         []Model
}

// RelativeCost returns what a model costs against the dearest one, 0 to 1.
func (e *Engine) RelativeCost(model ticket.ModelName) float64 {
	most := 0.0
	for _, m := range e.Models {
		most = max(most, m.Cost)
	}
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
	// Timeout bounds how long a caller is kept waiting.
	Timeout clock.Millis
	// FirstByteGoal is the time to the first byte that earns the full credit.
	FirstByteGoal clock.Millis
	// GapGoal is the longest pause between events that is still in time.
	GapGoal clock.Millis
	// Attempts bounds the endpoints that may run one request.
	Attempts int
	Rank     Rank
	// Public routes need no API key.
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
	at := int(hash % uint64(total))
	for _, w := range r.Split {
		if at < w.Weight {
			return w.Service
		}
		at -= w.Weight
	}
	return r.Split[0].Service
}

// Workspace is a tenant of the installation.
type Workspace struct {
	Name ticket.WorkspaceName
	// Rank overrides the route's rank if HasRank is true.
	Rank    Rank
	HasRank bool
	Keys    []APIKey
}

// Limits bound what a caller may send and how long it may stay idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout clock.Millis
	IdleTimeout   clock.Millis
}

// Config is one configuration of the operator.
type Config struct {
	Revision Revision
	Limits   Limits
	// RequireKey is true if requests need an API key.
	RequireKey bool
	Services   map[ticket.ServiceName]*Service

	byHost map[string][]*Route
	byKey  map[APIKey]*Workspace
}

// NewConfig indexes routes and workspaces.
func NewConfig(revision Revision, routes []*Route, services []*Service, workspaces []*Workspace, keyed bool, limits Limits) *Config {
	c := &Config{
		Revision:   revision,
		Limits:     limits,
		RequireKey: keyed,
		Services:   map[ticket.ServiceName]*Service{},
		byHost:     map[string][]*Route{},
		byKey:      map[APIKey]*Workspace{},
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
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

// Workspace returns the workspace that holds a key, or nil.
func (c *Config) Workspace(key APIKey) *Workspace {
	return c.byKey[key]
}

// Endpoint is a registered endpoint. A new start under an old id is a new endpoint.
type Endpoint struct {
	ID routing.EndpointID
	// StartedAt is the Unix time of its start.
	StartedAt clock.Millis
	Service   ticket.ServiceName
	Address   string
	Zone      ticket.ZoneName
	Release   Release
	Slots     int
	// Draining is true once it asked for no more work.
	Draining bool
	// ColdFor is how much longer it said to stay cold when it wrote the entry.
	ColdFor clock.Millis
	// Sequence counts the entries of this start.
	Sequence int64
}

// EqualExceptSequence reports whether the other entry says the same, apart from its sequence.
func (e *Endpoint) EqualExceptSequence(other *Endpoint) bool {
	a, b := *e, *other
	a.Sequence, b.Sequence = 0, 0
	return a == b
}

// OrderNumber identifies one roll-out order by the offset of its record.
type OrderNumber int64

// Order asks to move a service's traffic to another release.
type Order struct {
	Number  OrderNumber
	Service ticket.ServiceName
	Target  Release
	// Duration is the time that the operator gives, from the order on.
	Duration clock.Millis
	// StartedAt is the monotonic time at which this machine puts the order's start.
	StartedAt clock.Millis
}

// View is what a machine knows; it is never changed once built.
type View struct {
	Config    *Config
	Endpoints map[ticket.ServiceName][]*Endpoint
	Orders    map[ticket.ServiceName]*Order
	// DrainedZones holds the zones whose endpoints get nothing new.
	DrainedZones map[ticket.ZoneName]bool
	// ZoneColdUntil holds until when a zone's endpoints count as cold because the
	// zone was out.
	ZoneColdUntil map[ticket.ZoneName]clock.Millis
}

// Usable reports whether the view lists the endpoint as usable: registered,
// not leaving, and in a zone that takes work.
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

// RoutesOf returns the names of the routes that a service may run.
func (c *Config) RoutesOf(service ticket.ServiceName) []RouteName {
	var names []RouteName
	if c == nil {
		return nil
	}
	for _, list := range c.byHost {
		for _, r := range list {
			if slices.ContainsFunc(r.Split, func(w WeightedService) bool { return w.Service == service }) {
				names = append(names, r.Name)
			}
		}
	}
	slices.Sort(names)
	return names
}
