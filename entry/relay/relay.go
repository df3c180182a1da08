package relay

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"foxtailbridge/entry/registry"
	"foxtailbridge/link/socket"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/evidence"
	"foxtailbridge/policy/loadlist"
	"foxtailbridge/policy/quarantine"
	"foxtailbridge/policy/rollout"
	"foxtailbridge/policy/ticket"
)

// procedure is the path of the exchange between instances.
const procedure = "/foxtailbridge.relay.v1.Relay/Exchange"

const (
	// exchangePeriod is the pause between two rounds of exchanges: of an instance with its
	// zone's reader, or of a reader with the readers of the other zones.
	exchangePeriod = 300 * clock.Millis(1)
	// memberListInterval is the number of rounds after which member lists are requested again.
	memberListInterval = 6
	// exchangeTimeout bounds one exchange. Links inside a region have a latency of a few ms.
	exchangeTimeout = 600 * time.Millisecond
	// retryBackoff is the pause after a failed exchange with a peer.
	retryBackoff = clock.Second
	// reprobePeriod is the minimum time between two probes of a peer that left or failed.
	// Processes restart within seconds.
	reprobePeriod = clock.Second
	// staleViewAge is the age of the view from which an instance exchanges with any peer,
	// not only with its usual ones.
	staleViewAge = 1200 * clock.Millis(1)
	// memberLogPeriod is the minimum time between two log lines on the number of members.
	memberLogPeriod = 2 * clock.Second
	// memberLogChange is the relative change of that number from which it is logged.
	memberLogChange = 0.3
	// nonsenseLogPeriod is the minimum time between two log lines on contents that are ignored.
	nonsenseLogPeriod = 10 * clock.Second
	// maxMessageBytes bounds the size of a message. A configuration four times as large as
	// the store's largest record and some thousand endpoints of 300 bytes each, all in
	// base64, take half of it.
	maxMessageBytes = 4 << 20
)

// Dependencies holds what a Relay needs from its instance.
type Dependencies struct {
	Registry *registry.Registry
	// Client sends requests to peers. It limits connection attempts and idle connections itself.
	Client connect.HTTPClient
	Clock  *clock.Clock
	Random *rand.Rand
	Logger hclog.Logger
	Scope  tally.Scope
}

// Relay exchanges state with the other instances.
type Relay struct {
	// LocalLoads returns this instance's loads.
	LocalLoads func() loadlist.Loads
	// OnRemoteLoads is called with the loads of all other instances.
	OnRemoteLoads func(others loadlist.Loads)
	// OnLeaving is called with an endpoint that a peer heard is leaving, and the source.
	OnLeaving func(e LeavingEndpoint, source string)

	deps    Dependencies
	logger  hclog.Logger
	members *members
	seeds   []string

	mu sync.Mutex
	// own holds the tallies of this instance and, on the zone's reader, those of all
	// instances of the zone.
	own *evidence.Counters
	// zones holds the aggregated tallies of each zone.
	zones  *evidence.Counters
	ledger *quarantine.Ledger
	// suspicions holds the suspicions of the ledger in the order in which they were added.
	suspicions []quarantine.Suspicion
	// parts holds the prompt parts that may crash endpoints.
	parts *quarantine.PartLedger
	stops map[catalog.OrderNumber]bool
	// lightLoads holds the plans for orders of services under light load.
	lightLoads map[catalog.OrderNumber]*rollout.LightLoad
	holds      newsList[SessionHold]
	// leavingEndpoints holds the endpoints that said that they are leaving.
	leavingEndpoints newsList[LeavingEndpoint]
	round            int
	leaving          bool
	clients          map[string]*connect.Client[Message, Message]
	// lostResponses holds the addresses whose last response did not arrive.
	lostResponses      map[string]bool
	connected          bool
	broadcastRequested chan struct{}

	// loggedMembers is the last number of members that was logged, loggedAt the time of
	// that. Only the goroutine of Run accesses them.
	loggedMembers int
	loggedAt      clock.Millis
	// nonsenseAt is when nonsense in a message was last logged.
	nonsenseAt clock.Millis
}

// New returns a Relay for the instance self. It finds its first peers at the seed addresses.
func New(self Member, seeds []string, deps Dependencies) *Relay {
	return &Relay{
		LocalLoads:         loadlist.NewLoads,
		OnRemoteLoads:      func(loadlist.Loads) {},
		deps:               deps,
		logger:             deps.Logger.Named("relay"),
		members:            newMembers(self),
		seeds:              seeds,
		own:                evidence.NewCounters(self.instanceID()),
		zones:              evidence.NewCounters(""),
		ledger:             quarantine.NewLedger(),
		parts:              quarantine.NewPartLedger(),
		stops:              map[catalog.OrderNumber]bool{},
		lightLoads:         map[catalog.OrderNumber]*rollout.LightLoad{},
		holds:              newNewsList[SessionHold](maxSessionHolds),
		leavingEndpoints:   newNewsList[LeavingEndpoint](maxLeavingEndpoints),
		OnLeaving:          func(LeavingEndpoint, string) {},
		clients:            map[string]*connect.Client[Message, Message]{},
		lostResponses:      map[string]bool{},
		broadcastRequested: make(chan struct{}, 1),
	}
}

// Handler returns the path and the HTTP handler of the exchange.
func (r *Relay) Handler() (string, http.Handler) {
	handler := connect.NewUnaryHandler(procedure, r.serveExchange, connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxMessageBytes))
	return procedure, http.MaxBytesHandler(handler, maxMessageBytes)
}

func (r *Relay) serveExchange(_ context.Context, request *connect.Request[Message]) (*connect.Response[Message], error) {
	now := r.deps.Clock.Mono()
	r.merge(request.Msg, now)
	if request.Msg.ResponseLost {
		r.members.resendAll(request.Msg.From.Name)
	}
	return connect.NewResponse(r.newMessage(request.Msg.From.Name, now, request.Msg.WantsMembers)), nil
}

// newMessage builds the next message for a peer and marks its contents as sent.
func (r *Relay) newMessage(to string, now clock.Millis, withMembers bool) *Message {
	config := r.deps.Registry.ConfigID()
	m := &Message{Config: &config}
	m.setHeads(r.deps.Registry.Heads())
	local := r.LocalLoads() // The callback may call methods of this Relay, so no lock is held.
	r.members.mu.Lock()
	m.From = r.members.self
	p := r.members.peers[to]
	r.mu.Lock()
	defer r.mu.Unlock()
	zone := m.From.Zone
	if p != nil {
		zone = p.member.Zone
		m.Suspicions = r.suspicions[p.suspicionsSent:]
		p.suspicionsSent = len(r.suspicions)
		m.Holds = r.holds.unsent(&p.holdsSent)
		m.LeavingEndpoints = r.leavingEndpoints.unsent(&p.leavingSent)
		m.Removals = r.deps.Registry.RemovalsSince(p.removalsSentAt)
		p.removalsSentAt = now
		if p.heads != nil {
			m.Batches = r.deps.Registry.Since(p.heads, p.config)
			m.OrderStarts = p.unsentOrderStarts(r.deps.Registry.OrderStarts(), now)
		}
	}
	if withMembers {
		m.Members = r.members.list(zone, now)
	}
	if entry := r.members.readerEntry(zone, now); entry != nil && entry.Name != m.From.Name && entry.Name != to {
		m.Reader = entry
	}
	reader := r.members.isReader(now)
	m.ZoneCounts = r.members.zoneCounts(reader, now)
	r.addLoads(m, p, local, reader, now)
	r.members.mu.Unlock()
	m.PromptParts = r.parts.Reports(now)
	m.Tallies = r.tallyRows(zone == m.From.Zone, reader, m.From.Zone)
	m.Stops = slices.Collect(maps.Keys(r.stops))
	m.LightLoads = maps.Clone(r.lightLoads)
	m.Leaving = r.leaving
	return m
}

// merge merges a peer's message.
func (r *Relay) merge(m *Message, now clock.Millis) {
	var others loadlist.Loads
	r.members.mu.Lock()
	entries := m.Members
	if m.Reader != nil {
		entries = append(entries, *m.Reader)
	}
	for _, entry := range entries {
		if entry.Name != m.From.Name {
			r.members.observe(entry, now)
		}
	}
	p := r.members.observe(MemberEntry{Member: m.From}, now)
	ignored := r.members.mergeZoneCounts(m.ZoneCounts, now)
	tooMany := r.members.tooMany
	r.members.tooMany = false
	if p != nil {
		p.heardAt = now
		p.heads = m.heads()
		p.config = m.Config
		p.receiveOrderStarts(m.OrderStarts, now)
		if p.receiveLoads(m, now) {
			others = r.otherLoads(p, now)
		}
		p.leaving = m.Leaving
		p.failing = false
		p.retryAt = 0
	}
	r.members.mu.Unlock()
	if others.InFlight != nil {
		r.OnRemoteLoads(others) // The callback takes a lock under which this Relay is also called, so no lock is held.
	}
	r.mu.Lock()
	r.logNonsense(m.From.Name, ignored, tooMany, now)
	if !r.connected {
		r.connected = true
		r.logger.Info("first-peer", "peer", m.From.Name, "zone", m.From.Zone, "members", len(m.Members), "leaving", m.Leaving)
	}
	for _, e := range m.Tallies {
		if e.Zone != "" {
			r.zones.Merge([]evidence.Row{e.decode(string(e.Zone))})
		} else {
			r.own.Merge([]evidence.Row{e.decode(m.From.instanceID())})
		}
	}
	for _, s := range m.Suspicions {
		if r.addSuspicion(s) {
			r.logger.Info("suspicion-heard", "digest", s.Digest, "crash", s.Crash, "peer", m.From.Name)
		}
	}
	for _, report := range m.PromptParts {
		r.mergePart(report, "peer "+m.From.Name, now)
	}
	for _, hold := range m.Holds {
		r.holds.add(hold, now)
	}
	var leaving []LeavingEndpoint
	for _, e := range m.LeavingEndpoints {
		if r.leavingEndpoints.add(e, now) {
			leaving = append(leaving, e)
		}
	}
	for _, number := range m.Stops {
		r.stopRelease(number, "peer "+m.From.Name)
	}
	for number, plan := range m.LightLoads {
		r.mergeLightLoad(number, plan, "peer "+m.From.Name)
	}
	r.mu.Unlock()
	for _, e := range leaving {
		r.OnLeaving(e, "peer "+m.From.Name)
	}
	r.deps.Registry.MergeRemovals(m.Removals, "peer "+m.From.Name)
	for _, b := range m.Batches {
		b.Source = "peer " + m.From.Name
		r.deps.Registry.Merge(b)
	}
	if len(m.OrderStarts) > 0 {
		r.deps.Registry.MergeOrderStarts(m.OrderStarts, "peer "+m.From.Name)
	}
}

// logNonsense logs contents of a peer's message that were ignored. The caller holds the lock.
func (r *Relay) logNonsense(peer string, zones []ticket.ZoneName, tooMany bool, now clock.Millis) {
	if len(zones) == 0 && !tooMany || r.nonsenseAt > 0 && now-r.nonsenseAt < nonsenseLogPeriod {
		return
	}
	r.nonsenseAt = now
	r.logger.Warn("message-nonsense", "peer", peer, "zones", len(zones), "too-many-members", tooMany, "limit", maxPeers)
}

// exchange sends a peer the changes since the last exchange, merges its response and reports
// whether it succeeded.
func (r *Relay) exchange(ctx context.Context, address, name string, wantsMembers bool) bool {
	r.mu.Lock()
	client := r.clients[address]
	if client == nil {
		client = connect.NewClient[Message, Message](socket.LimitResponses(r.deps.Client, maxMessageBytes), "http://"+address+procedure, connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxMessageBytes))
		r.clients[address] = client
	}
	lost := r.lostResponses[address]
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	message := r.newRequest(name, wantsMembers)
	message.ResponseLost = lost
	response, err := client.CallUnary(ctx, connect.NewRequest(message))
	now := r.deps.Clock.Mono()
	r.deps.Scope.Counter("exchanges").Inc(1)
	r.setResponseLost(address, err != nil)
	if err != nil {
		r.exchangeFailed(name, address, err, now)
		return false
	}
	r.merge(response.Msg, now)
	return true
}

// setResponseLost records whether the last response of an address was lost.
func (r *Relay) setResponseLost(address string, lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if lost {
		r.lostResponses[address] = true
		return
	}
	delete(r.lostResponses, address)
}

// newRequest builds the request message of an exchange.
func (r *Relay) newRequest(to string, wantsMembers bool) *Message {
	m := r.newMessage(to, r.deps.Clock.Mono(), false)
	m.WantsMembers = wantsMembers
	return m
}

// exchangeFailed marks a peer as failing after an exchange with it failed.
func (r *Relay) exchangeFailed(name, address string, err error, now clock.Millis) {
	r.deps.Scope.Counter("exchanges_failed").Inc(1)
	r.members.mu.Lock()
	defer r.members.mu.Unlock()
	p := r.members.peers[name]
	if p == nil {
		return
	}
	p.retryAt = now + retryBackoff
	p.resendAll()
	if p.leaving {
		return
	}
	if !p.failing {
		p.failing = true
		r.logger.Info("peer-lost", "peer", name, "address", address, "heard-ms", int64(now-p.lastSeen), "error", err)
	}
}

// Rank returns this instance's rank in its zone. The instance of rank 0 is the zone's reader,
// the others follow in the order in which they take over.
func (r *Relay) Rank() int {
	return max(0, r.members.rank(r.deps.Clock.Mono()))
}

// DutyRank returns this instance's rank for the named duty, 0 being the first to perform it.
func (r *Relay) DutyRank(duty string) int {
	return r.members.dutyRank(xxhash.Sum64String(duty), r.deps.Clock.Mono())
}

// InstanceCount returns the number of instances among which the fleet's limits are divided.
func (r *Relay) InstanceCount() int {
	return r.members.instanceCount(r.deps.Clock.Mono())
}

// IsSeed reports whether this instance is one of the seeds.
func (r *Relay) IsSeed() bool {
	return slices.Contains(r.seeds, r.members.self.Address)
}

// EverConnected reports whether this instance exchanged a message with any peer in this run.
func (r *Relay) EverConnected() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.connected
}

// AddMembers adds members that were discovered by other means. They do not count as alive
// until they are seen.
func (r *Relay) AddMembers(found []Member) {
	now := r.deps.Clock.Mono()
	r.members.mu.Lock()
	defer r.members.mu.Unlock()
	for _, member := range found {
		r.members.observe(MemberEntry{Member: member, Age: aliveTimeout}, now)
	}
}

// Self returns this instance.
func (r *Relay) Self() Member {
	return r.members.self
}

// Leave announces to the peers that this instance is shutting down.
func (r *Relay) Leave() {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.TriggerBroadcast()
}
