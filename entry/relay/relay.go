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
	"foxtailbridge/policy/quarantine"
	"foxtailbridge/policy/routing"
)

// procedure is the path of the exchange between instances.
const procedure = "/foxtailbridge.relay.v1.Relay/Exchange"

const (
	// period is how often an instance exchanges with its reader, or a reader
	// with the other zones.
	period = 300 * clock.Millis(1)
	// membersEvery is the number of exchanges between two that ask for members.
	membersEvery = 6
	// exchangeWait bounds one exchange; links inside a region answer in a few ms.
	exchangeWait = 600 * time.Millisecond
	// retryPause is how long a peer is left alone after a failed exchange.
	retryPause = clock.Second
	// revisitPause is how long a peer that left or did not answer is left alone before it is
	// asked whether it is back: processes start again within seconds.
	revisitPause = clock.Second
	// lonelySpan is the age of the view from which peers anywhere are asked.
	lonelySpan = 1200 * clock.Millis(1)
	// knownPeriod is the shortest time between two log lines on the number of members.
	knownPeriod = 2 * clock.Second
	// knownChange is the part by which that number changes before it is logged.
	knownChange = 0.3
	// maxMessage bounds a message in bytes: the store's largest record four times
	// over as a configuration, and some thousand endpoints with 300 bytes each, all
	// in base64, are half of it.
	maxMessage = 4 << 20
)

// Dependencies are the parts of an instance that the relay passes on.
type Dependencies struct {
	Registry *registry.Registry
	// Client speaks to peers; it bounds connects and idle channels itself.
	Client connect.HTTPClient
	Clock  *clock.Clock
	Random *rand.Rand
	Logger hclog.Logger
	Scope  tally.Scope
}

// Relay exchanges knowledge with the other instances.
type Relay struct {
	// LocalLoads returns this instance's requests at endpoints.
	LocalLoads func() map[routing.EndpointID]int
	// OnRemoteLoads takes the requests of all other instances at endpoints.
	OnRemoteLoads func(others map[routing.EndpointID]int)

	parts   Dependencies
	logger  hclog.Logger
	members *members
	seeds   []string

	mu sync.Mutex
	// own holds the tallies of this instance and, at the reader, those of its zone.
	own *evidence.Counters
	// zones holds the sums of all zones.
	zones  *evidence.Counters
	ledger *quarantine.Ledger
	// suspicions lists those of the ledger in the order in which they came.
	suspicions []quarantine.Suspicion
	stops      map[catalog.OrderNumber]bool
	// holds lists those of held in the order in which they came.
	holds   []SessionHold
	held    map[SessionHold]bool
	turn    int
	leaving bool
	clients map[string]*connect.Client[Message, Message]
	// missed holds the addresses whose last answer did not arrive.
	missed map[string]bool
	met    bool
	urged  chan struct{}

	// logged is the number of known members in the log, loggedAt when it was written;
	// they belong to the goroutine of Run.
	logged   int
	loggedAt clock.Millis
}

// New returns a Relay of an instance that at first knows the addresses of some peers.
func New(self Member, seeds []string, parts Dependencies) *Relay {
	return &Relay{
		LocalLoads:    func() map[routing.EndpointID]int { return nil },
		OnRemoteLoads: func(map[routing.EndpointID]int) {},
		parts:         parts,
		logger:        parts.Logger.Named("relay"),
		members:       newMembers(self),
		seeds:         seeds,
		own:           evidence.NewCounters(self.instance()),
		zones:         evidence.NewCounters(""),
		ledger:        quarantine.NewLedger(),
		stops:         map[catalog.OrderNumber]bool{},
		held:          map[SessionHold]bool{},
		clients:       map[string]*connect.Client[Message, Message]{},
		missed:        map[string]bool{},
		urged:         make(chan struct{}, 1),
	}
}

// Handler serves the exchange.
func (r *Relay) Handler() (string, http.Handler) {
	handler := connect.NewUnaryHandler(procedure, r.serve, connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxMessage))
	return procedure, http.MaxBytesHandler(handler, maxMessage)
}

func (r *Relay) serve(_ context.Context, request *connect.Request[Message]) (*connect.Response[Message], error) {
	now := r.parts.Clock.Mono()
	r.take(request.Msg, now)
	if request.Msg.ResponseLost {
		r.members.tellAgain(request.Msg.From.Name)
	}
	return connect.NewResponse(r.message(request.Msg.From.Name, now, request.Msg.WantsMembers)), nil
}

// message builds what to tell a peer.
func (r *Relay) message(to string, now clock.Millis, withMembers bool) *Message {
	m := &Message{Heads: r.parts.Registry.Heads(), InstanceCount: r.members.count(now)}
	own := r.LocalLoads() // It may ask this relay, so no lock is held.
	r.members.mu.Lock()
	m.From = r.members.self
	p := r.members.peers[to]
	r.mu.Lock()
	defer r.mu.Unlock()
	zone := m.From.Zone
	if p != nil {
		zone = p.member.Zone
		m.Suspicions = r.suspicions[p.suspicions:]
		p.suspicions = len(r.suspicions)
		m.Holds = r.holds[p.holds:]
		p.holds = len(r.holds)
		if p.heads != nil {
			m.Batches = r.parts.Registry.Since(p.heads)
			m.OrderStarts = p.untold(r.parts.Registry.OrderStarts(), now)
		}
	}
	if withMembers {
		m.Members = r.members.list(zone, now)
	}
	reader := r.members.ranked(m.From.Zone, now)[0].Name == m.From.Name
	r.loads(m, p, own, reader, now)
	r.members.mu.Unlock()
	m.Tallies = r.rows(zone == m.From.Zone, reader, m.From.Zone)
	for number := range r.stops {
		m.Stops = append(m.Stops, number)
	}
	m.Leaving = r.leaving
	return m
}

// take merges what a peer told.
func (r *Relay) take(m *Message, now clock.Millis) {
	var others map[routing.EndpointID]int
	r.members.mu.Lock()
	for _, h := range m.Members {
		if h.Name != m.From.Name {
			r.members.learn(h, now)
		}
	}
	p := r.members.learn(MemberEntry{Member: m.From}, now)
	if p != nil {
		p.heads = maps.Clone(m.Heads)
		if p.heads == nil {
			p.heads = map[registry.Feed]registry.Offset{}
		}
		p.count = m.InstanceCount
		p.hearBegins(m.OrderStarts, now)
		if p.hear(m, now) {
			others = r.others(p, now)
		}
		p.leaving = m.Leaving
		p.failing = false
		p.retry = 0
	}
	r.members.mu.Unlock()
	if others != nil {
		r.OnRemoteLoads(others) // The pool asks this relay under its lock, so none is held.
	}
	r.mu.Lock()
	if !r.met {
		r.met = true
		r.logger.Info("first-peer", "peer", m.From.Name, "zone", m.From.Zone, "members", len(m.Members), "leaving", m.Leaving)
	}
	for _, e := range m.Tallies {
		if e.Zone != "" {
			r.zones.Merge([]evidence.Row{e.decode(string(e.Zone))})
		} else {
			r.own.Merge([]evidence.Row{e.decode(m.From.instance())})
		}
	}
	for _, s := range m.Suspicions {
		if r.add(s) {
			r.logger.Info("suspicion-heard", "digest", s.Digest, "crash", s.Crash, "peer", m.From.Name)
		}
	}
	for _, h := range m.Holds {
		r.addHold(h)
	}
	for _, number := range m.Stops {
		r.stop(number, "peer "+m.From.Name)
	}
	r.mu.Unlock()
	for _, b := range m.Batches {
		b.Source = "peer " + m.From.Name
		r.parts.Registry.Merge(b)
	}
	if len(m.OrderStarts) > 0 {
		r.parts.Registry.MergeOrderStarts(m.OrderStarts, "peer "+m.From.Name)
	}
}

// exchange tells one peer what is new and merges its answer.
func (r *Relay) exchange(ctx context.Context, address, name string, asks bool) bool {
	r.mu.Lock()
	client := r.clients[address]
	if client == nil {
		client = connect.NewClient[Message, Message](socket.Bound(r.parts.Client, maxMessage), "http://"+address+procedure, connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxMessage))
		r.clients[address] = client
	}
	missed := r.missed[address]
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, exchangeWait)
	defer cancel()
	question := r.question(name, asks)
	question.ResponseLost = missed
	answer, err := client.CallUnary(ctx, connect.NewRequest(question))
	now := r.parts.Clock.Mono()
	r.parts.Scope.Counter("exchanges").Inc(1)
	r.noteMissed(address, err != nil)
	if err != nil {
		r.fail(name, address, err, now)
		return false
	}
	r.take(answer.Msg, now)
	return true
}

// noteMissed notes whether the last answer of an address was lost.
func (r *Relay) noteMissed(address string, missed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if missed {
		r.missed[address] = true
		return
	}
	delete(r.missed, address)
}

// question builds the message that opens an exchange.
func (r *Relay) question(to string, asks bool) *Message {
	m := r.message(to, r.parts.Clock.Mono(), false)
	m.WantsMembers = asks
	return m
}

func (r *Relay) fail(name, address string, err error, now clock.Millis) {
	r.parts.Scope.Counter("exchanges_failed").Inc(1)
	r.members.mu.Lock()
	defer r.members.mu.Unlock()
	p := r.members.peers[name]
	if p == nil {
		return
	}
	p.retry = now + retryPause
	p.tellAgain()
	if p.leaving {
		return
	}
	if !p.failing {
		p.failing = true
		r.logger.Info("peer-lost", "peer", name, "address", address, "heard-ms", int64(now-p.heard), "error", err)
	}
}

// Rank returns this instance's place among the readers of its zone.
func (r *Relay) Rank() int {
	return max(0, r.members.rank(r.parts.Clock.Mono()))
}

// DutyRank returns this instance's place in line for the named duty.
func (r *Relay) DutyRank(duty string) int {
	return r.members.dutyRank(xxhash.Sum64String(duty), r.parts.Clock.Mono())
}

// InstanceCount returns how many instances may use a part of the fleet's limits,
// and whether any other was met yet or is known not to exist.
func (r *Relay) InstanceCount() int {
	return r.members.count(r.parts.Clock.Mono())
}

// IsSeed reports whether other instances look for their first peers here.
func (r *Relay) IsSeed() bool {
	return slices.Contains(r.seeds, r.members.self.Address)
}

// EverConnected reports whether any peer was reached in this run.
func (r *Relay) EverConnected() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.met
}

// AddMembers adds members found elsewhere.
func (r *Relay) AddMembers(found []Member) {
	now := r.parts.Clock.Mono()
	r.members.mu.Lock()
	defer r.members.mu.Unlock()
	for _, member := range found {
		r.members.learn(MemberEntry{Member: member, Age: aliveSpan}, now)
	}
}

// Self returns this instance.
func (r *Relay) Self() Member {
	return r.members.self
}

// Leave tells the peers that this instance stops.
func (r *Relay) Leave() {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.TriggerBroadcast()
}
