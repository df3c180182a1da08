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
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/evidence"
	"foxtailbridge/policy/quarantine"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
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
	// lonelySpan is the age of the view from which peers anywhere are asked.
	lonelySpan = 1200 * clock.Millis(1)
)

// Parts are the parts of an instance that the relay passes on.
type Parts struct {
	Registry *registry.Registry
	// Client speaks to peers; it bounds connects and idle channels itself.
	Client connect.HTTPClient
	Clock  *clock.Clock
	Random *rand.Rand
	Logger hclog.Logger
	Scope  tally.Scope
}

// loadSpan is how long a told load counts.
const loadSpan = 1500 * clock.Millis(1)

// Relay exchanges knowledge with the other instances.
type Relay struct {
	// Loads returns this instance's requests at endpoints.
	Loads func() map[routing.EndpointID]int
	// Loaded takes the requests of all other instances at endpoints.
	Loaded func(others map[routing.EndpointID]int)

	parts   Parts
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
	turn       int
	leaving    bool
	clients    map[string]*connect.Client[Message, Message]
	met        bool
	urged      chan struct{}
}

// New returns a Relay of an instance that at first knows the addresses of some peers.
func New(self Member, seeds []string, parts Parts) *Relay {
	return &Relay{
		Loads:   func() map[routing.EndpointID]int { return nil },
		Loaded:  func(map[routing.EndpointID]int) {},
		parts:   parts,
		logger:  parts.Logger.Named("relay"),
		members: newMembers(self),
		seeds:   seeds,
		own:     evidence.NewCounters(self.instance()),
		zones:   evidence.NewCounters(""),
		ledger:  quarantine.NewLedger(),
		stops:   map[catalog.OrderNumber]bool{},
		clients: map[string]*connect.Client[Message, Message]{},
		urged:   make(chan struct{}, 1),
	}
}

// Handler serves the exchange.
func (r *Relay) Handler() (string, http.Handler) {
	return procedure, connect.NewUnaryHandler(procedure, r.serve, connect.WithCodec(codec{}))
}

func (r *Relay) serve(_ context.Context, request *connect.Request[Message]) (*connect.Response[Message], error) {
	now := r.parts.Clock.Mono()
	r.take(request.Msg, now)
	return connect.NewResponse(r.message(request.Msg.From.Name, now, request.Msg.Asks)), nil
}

// message builds what to tell a peer.
func (r *Relay) message(to string, now clock.Millis, withMembers bool) *Message {
	m := &Message{Heads: r.parts.Registry.Heads(), Count: r.members.count(now)}
	own := r.Loads() // It may ask this relay, so no lock is held.
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
		if p.heads != nil {
			m.Batches = r.parts.Registry.Since(p.heads)
		}
	}
	if withMembers {
		m.Members = r.members.list(zone, now)
	}
	reader := r.members.ranked(m.From.Zone, now)[0].Name == m.From.Name
	r.loads(m, to, own, reader, zone == m.From.Zone, now)
	r.members.mu.Unlock()
	m.Rows = r.rows(zone == m.From.Zone, reader, m.From.Zone)
	for number := range r.stops {
		m.Stops = append(m.Stops, number)
	}
	m.Leaving = r.leaving
	return m
}

// loads fills in the requests at endpoints; the caller holds the members' lock.
func (r *Relay) loads(m *Message, to string, own map[routing.EndpointID]int, reader, sameZone bool, now clock.Millis) {
	switch {
	case !reader && sameZone:
		m.LoadsOf, m.Loads = WhoseOwn, own
	case reader && sameZone:
		m.LoadsOf, m.Loads = WhoseOthers, r.sum(now, own, func(p *peer) bool { return p.member.Name != to })
	case reader:
		m.LoadsOf, m.Loads = WhoseZone, r.sum(now, own, func(p *peer) bool { return p.loadsOf == WhoseOwn })
	}
}

// sum adds what the chosen peers told lately; the caller holds the members' lock.
func (r *Relay) sum(now clock.Millis, own map[routing.EndpointID]int, choose func(*peer) bool) map[routing.EndpointID]int {
	total := make(map[routing.EndpointID]int, len(own))
	maps.Copy(total, own)
	for _, p := range r.members.peers {
		if p.loadsOf == WhoseOthers || now-p.loadsAt > loadSpan || !choose(p) {
			continue
		}
		for id, n := range p.loads {
			total[id] += n
		}
	}
	return total
}

// others tells this instance, if it reads for its zone, what all others have at
// endpoints; a plain member hears that from its reader.
func (r *Relay) others(m *Message, now clock.Millis) {
	if m.LoadsOf == WhoseOthers {
		r.Loaded(m.Loads)
		return
	}
	r.members.mu.Lock()
	total := r.sum(now, nil, func(*peer) bool { return true })
	r.members.mu.Unlock()
	r.Loaded(total)
}

// rows returns the evidence for a peer; the caller holds the lock.
func (r *Relay) rows(sameZone, reader bool, zone ticket.ZoneName) []row {
	var list []row
	if !reader {
		if sameZone {
			for _, e := range r.own.All() {
				if e.Instance == r.members.self.instance() {
					list = append(list, encodeRow(e, ""))
				}
			}
		}
		return list
	}
	if sameZone {
		return nil
	}
	r.foldZone(zone)
	for _, e := range r.zones.All() {
		list = append(list, encodeRow(e, ticket.ZoneName(e.Instance)))
	}
	return list
}

// foldZone takes the sum of this zone's instances into the sums of all zones.
// A new reader starts from what its members report again, so the larger of old
// and new sum holds.
func (r *Relay) foldZone(zone ticket.ZoneName) {
	r.zones.Merge(r.own.Fold(string(zone)))
}

// take merges what a peer told.
func (r *Relay) take(m *Message, now clock.Millis) {
	r.members.mu.Lock()
	for _, h := range m.Members {
		if h.Name != m.From.Name {
			r.members.learn(h, now)
		}
	}
	p := r.members.learn(Heard{Member: m.From}, now)
	if p != nil {
		p.heads = maps.Clone(m.Heads)
		if p.heads == nil {
			p.heads = map[registry.Feed]registry.Offset{}
		}
		p.count = m.Count
		if m.LoadsOf != "" {
			p.loads, p.loadsOf, p.loadsAt = m.Loads, m.LoadsOf, now
		}
		p.leaving = m.Leaving
		p.failing = false
		p.retry = 0
	}
	r.members.mu.Unlock()
	if m.LoadsOf != "" {
		r.others(m, now)
	}
	r.mu.Lock()
	r.met = true
	for _, e := range m.Rows {
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
	for _, number := range m.Stops {
		r.stop(number, "peer "+m.From.Name)
	}
	r.mu.Unlock()
	for _, b := range m.Batches {
		b.Source = "peer " + m.From.Name
		r.parts.Registry.Merge(b)
	}
}

// exchange tells one peer what is new and merges its answer.
func (r *Relay) exchange(ctx context.Context, address, name string, asks bool) bool {
	r.mu.Lock()
	client := r.clients[address]
	if client == nil {
		client = connect.NewClient[Message, Message](r.parts.Client, "http://"+address+procedure, connect.WithCodec(codec{}))
		r.clients[address] = client
	}
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, exchangeWait)
	defer cancel()
	answer, err := client.CallUnary(ctx, connect.NewRequest(r.question(name, asks)))
	now := r.parts.Clock.Mono()
	r.parts.Scope.Counter("exchanges").Inc(1)
	if err != nil {
		r.fail(name, address, err, now)
		return false
	}
	r.take(answer.Msg, now)
	return true
}

// question builds the message that opens an exchange.
func (r *Relay) question(to string, asks bool) *Message {
	m := r.message(to, r.parts.Clock.Mono(), false)
	m.Asks = asks
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
	p.suspicions = 0 // It may have missed the last ones.
	if !p.failing {
		p.failing = true
		r.logger.Info("peer-lost", "peer", name, "address", address, "heard-ms", int64(now-p.heard), "error", err)
	}
}

// Run exchanges with peers until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.round(ctx)
		select {
		case <-r.urged:
			r.spread(ctx)
		case <-ctx.Done():
		case <-time.After(period.Duration()):
		}
	}
}

// Urge makes news go out at once.
func (r *Relay) Urge() {
	select {
	case r.urged <- struct{}{}:
	default:
	}
}

// target is a peer to exchange with.
type target struct{ name, address string }

func (r *Relay) round(ctx context.Context) {
	now := r.parts.Clock.Mono()
	r.mu.Lock()
	r.turn++
	withMembers := r.turn%membersEvery == 1
	r.mu.Unlock()
	r.each(ctx, r.targets(now), withMembers)
}

// each exchanges with all targets at once.
func (r *Relay) each(ctx context.Context, targets []target, withMembers bool) {
	var wait sync.WaitGroup
	for _, t := range targets {
		wait.Go(func() { r.exchange(ctx, t.address, t.name, withMembers || t.name == "") })
	}
	wait.Wait()
}

// targets picks the peers of one round: a plain member asks the reader of its
// zone; the reader asks those of the other zones; who has old news asks anyone.
func (r *Relay) targets(now clock.Millis) []target {
	age := r.parts.Registry.Age(registry.FeedEndpoints)
	m := r.members
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []target
	add := func(member Member) {
		if p := m.peers[member.Name]; p != nil && now >= p.retry {
			list = append(list, target{member.Name, member.Address})
		}
	}
	ranked := m.ranked(m.self.Zone, now)
	reader := ranked[0].Name == m.self.Name
	if !reader {
		add(ranked[0])
	}
	if reader || age > lonelySpan {
		for _, zone := range m.zones(now) {
			if others := m.ranked(zone, now); len(others) > 0 {
				add(others[0])
			}
		}
	}
	if age > lonelySpan || len(list) == 0 {
		list = append(list, r.anyone(now)...)
	}
	return list
}

// anyone returns a random member that may be asked, or the seeds while no
// member is known.
func (r *Relay) anyone(now clock.Millis) []target {
	var known []target
	for _, p := range r.members.peers {
		if now >= p.retry {
			known = append(known, target{p.member.Name, p.member.Address})
		}
	}
	if len(known) > 0 {
		return known[rand.IntN(len(known)):][:1]
	}
	var list []target
	for _, address := range r.seeds {
		if address != r.members.self.Address {
			list = append(list, target{address: address})
		}
	}
	return list
}

// spread tells every live peer of the zone and the readers of the others.
func (r *Relay) spread(ctx context.Context) {
	now := r.parts.Clock.Mono()
	m := r.members
	m.mu.Lock()
	var list []target
	for _, p := range m.peers {
		if p.member.Zone == m.self.Zone && m.alive(p, now) && now >= p.retry {
			list = append(list, target{p.member.Name, p.member.Address})
		}
	}
	for _, zone := range m.zones(now) {
		others := m.ranked(zone, now)
		for _, member := range others[:min(2, len(others))] {
			list = append(list, target{member.Name, member.Address})
		}
	}
	m.mu.Unlock()
	r.each(ctx, list, false)
}

// Rank returns this instance's place among the readers of its zone.
func (r *Relay) Rank() int {
	return max(0, r.members.rank(r.parts.Clock.Mono()))
}

// DutyRank returns this instance's place among all that could take the named duty.
func (r *Relay) DutyRank(duty string) int {
	return r.members.fleetRank(xxhash.Sum64String(duty), r.parts.Clock.Mono())
}

// Instances returns how many instances may use a part of the fleet's limits,
// and whether any other was met yet or is known not to exist.
func (r *Relay) Instances() int {
	return r.members.count(r.parts.Clock.Mono())
}

// Seed reports whether other instances look for their first peers here.
func (r *Relay) Seed() bool {
	return slices.Contains(r.seeds, r.members.self.Address)
}

// Met reports whether any peer was reached in this run.
func (r *Relay) Met() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.met
}

// Learn adds members found elsewhere.
func (r *Relay) Learn(found []Member) {
	now := r.parts.Clock.Mono()
	r.members.mu.Lock()
	defer r.members.mu.Unlock()
	for _, member := range found {
		r.members.learn(Heard{Member: member, Age: aliveSpan}, now)
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
	r.Urge()
}

// Rate counts an answer on one arm of an order.
func (r *Relay) Rate(series evidence.Series, good bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.own.Rate(series, good)
}

// Sum returns all zones' tally of a series; only a zone's reader knows it fully.
func (r *Relay) Sum(series evidence.Series) evidence.Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.foldZone(r.members.self.Zone)
	return r.zones.Sum(series)
}

// BadEndpoints returns how many endpoints gave bad answers of a series.
func (r *Relay) BadEndpoints(series evidence.Series) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.foldZone(r.members.self.Zone)
	count := 0
	r.zones.Each(func(s evidence.Series, tally evidence.Tally) {
		if s.Endpoint == "" || tally.Bad == 0 {
			return
		}
		s.Endpoint = ""
		if s == series {
			count++
		}
	})
	return count
}

// Retain forgets evidence that keep rejects.
func (r *Relay) Retain(keep func(evidence.Series) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.own.Retain(keep)
	r.zones.Retain(keep)
}

// Suspect records that a request was in flight when an endpoint died.
func (r *Relay) Suspect(s quarantine.Suspicion) {
	r.mu.Lock()
	added := r.add(s)
	verdict := r.ledger.Judge(s.Digest)
	r.mu.Unlock()
	if added {
		r.logger.Info("suspicion", "digest", s.Digest, "crash", s.Crash, "verdict", verdict)
		r.Urge()
	}
}

func (r *Relay) add(s quarantine.Suspicion) bool {
	if !r.ledger.Add(s) {
		return false
	}
	r.suspicions = append(r.suspicions, s)
	return true
}

// Clear notes that a request ran to its end.
func (r *Relay) Clear(digest quarantine.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ledger.Judge(digest) != quarantine.VerdictClear {
		r.ledger.Clear(digest)
	}
}

// Judge returns the verdict on a request.
func (r *Relay) Judge(digest quarantine.Digest) quarantine.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Judge(digest)
}

// Stop ends the use of an order's new release on all instances.
func (r *Relay) Stop(number catalog.OrderNumber, reason string) {
	r.mu.Lock()
	changed := r.stop(number, reason)
	r.mu.Unlock()
	if changed {
		r.Urge()
	}
}

func (r *Relay) stop(number catalog.OrderNumber, source string) bool {
	if r.stops[number] {
		return false
	}
	r.stops[number] = true
	r.logger.Info("release-stopped", "order", number, "source", source)
	return true
}

// Stopped reports whether an order's new release was found bad.
func (r *Relay) Stopped(number catalog.OrderNumber) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stops[number]
}
