package endpoints

import (
	"math/rand/v2"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// Run identifies one run of an endpoint: a restarted one has another start time.
type Run struct {
	ID        routing.EndpointID
	StartedAt clock.Millis
}

// stateTable holds the state of each run of an endpoint that the view lists.
type stateTable struct {
	random      *rand.Rand
	newPool     func() *pool
	viewVersion uint64
	pools       map[ticket.ServiceName]*pool
	byRun       map[Run]*placement.State
}

func newStateTable(random *rand.Rand, newPool func() *pool) *stateTable {
	return &stateTable{random: random, newPool: newPool, pools: map[ticket.ServiceName]*pool{}, byRun: map[Run]*placement.State{}}
}

// pool returns a service's pool.
func (t *stateTable) pool(name ticket.ServiceName) *pool {
	p := t.pools[name]
	if p == nil {
		p = t.newPool()
		t.pools[name] = p
	}
	return p
}

// sync updates the states to a new view. It returns false if the view is not new.
func (t *stateTable) sync(view *registry.State, now clock.Millis, leaving leavingRuns) bool {
	if view.Version == t.viewVersion {
		return false
	}
	t.viewVersion = view.Version
	byRun := map[Run]*placement.State{}
	for name, list := range view.Endpoints {
		p := t.pool(name)
		p.states = p.states[:0]
		for _, endpoint := range list {
			run := Run{endpoint.ID, endpoint.StartedAt}
			s := t.byRun[run]
			if s == nil {
				s = placement.NewState(endpoint, now, t.random.Float64())
				if _, leaves := leaving[run]; leaves {
					s.MarkLeaving()
				}
			}
			if endpoint.ColdFor > 0 && (s.Endpoint != endpoint || s.ColdUntil == 0) {
				s.ColdUntil = max(s.ColdUntil, now+endpoint.ColdFor)
			}
			s.ColdUntil = max(s.ColdUntil, view.ZoneColdUntil[endpoint.Zone])
			s.Endpoint = endpoint
			byRun[run] = s
			p.states = append(p.states, s)
		}
	}
	for name, p := range t.pools {
		if len(view.Endpoints[name]) == 0 {
			p.states = nil
		}
	}
	t.byRun = byRun
	return true
}
