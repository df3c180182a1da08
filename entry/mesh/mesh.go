package mesh

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"

	"github.com/hashicorp/go-hclog"

	"foxtailbridge/entry/claims"
	"foxtailbridge/entry/config"
	"foxtailbridge/entry/fleet"
	"foxtailbridge/entry/gatekeeper"
	"foxtailbridge/entry/learning"
	"foxtailbridge/entry/ledger"
	"foxtailbridge/entry/members"
	"foxtailbridge/link/peer"
	"foxtailbridge/link/peer/peerv1"
	"foxtailbridge/link/platform"
	"foxtailbridge/policy/billing"
	"foxtailbridge/policy/claim"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/evidence"
	"foxtailbridge/policy/quarantine"
	"foxtailbridge/policy/ticket"
)

// Defaults of a Mesh.
const (
	// DefaultPeriod is how often an instance exchanges state with another.
	DefaultPeriod = 500 * clock.Millis(1)
	// urgentPeers is how many others hear of an urgent change at once.
	urgentPeers = 3
)

// Mesh talks to the other instances in the name of one.
type Mesh struct {
	// Dial returns a client for a listed instance.
	Dial func(platform.InstanceListing) *peer.Client

	self     platform.InstanceID
	run      string
	zone     ticket.ZoneName
	clock    *clock.Clock
	logger   hclog.Logger
	random   *rand.Rand
	members  *members.Members
	config   *config.Store
	learner  *learning.Learner
	claims   *claims.Claimer
	ledger   *ledger.Ledger
	gate     *gatekeeper.Gatekeeper
	urgent   chan struct{}
	turn     int
	mu       sync.Mutex
	sent     map[platform.InstanceID]sentTo
	holders  map[platform.InstanceID]map[claim.RequestID]bool
	failures map[platform.InstanceID]bool
}

// sentTo says up to which change the counters were sent to a run of an instance.
type sentTo struct {
	run   string
	stamp evidence.Revision
}

// Dependencies are the parts of an instance that the mesh connects to other instances.
type Dependencies struct {
	Members *members.Members
	Config  *config.Store
	Learner *learning.Learner
	Claims  *claims.Claimer
	Ledger  *ledger.Ledger
	Gate    *gatekeeper.Gatekeeper
}

// New returns a Mesh for the named run of an instance.
func New(self platform.InstanceID, run string, zone ticket.ZoneName, parts Dependencies, c *clock.Clock, random *rand.Rand, logger hclog.Logger) *Mesh {
	return &Mesh{
		self:     self,
		run:      run,
		zone:     zone,
		clock:    c,
		logger:   logger.Named("mesh"),
		random:   random,
		members:  parts.Members,
		config:   parts.Config,
		learner:  parts.Learner,
		claims:   parts.Claims,
		ledger:   parts.Ledger,
		gate:     parts.Gate,
		urgent:   make(chan struct{}, 1),
		sent:     map[platform.InstanceID]sentTo{},
		holders:  map[platform.InstanceID]map[claim.RequestID]bool{},
		failures: map[platform.InstanceID]bool{},
	}
}

// Run exchanges state with one other instance per period until ctx ends, and
// with several at once after an urgent change.
func (m *Mesh) Run(ctx context.Context) {
	for {
		if m.config.Freshness().ConfigFresh {
			m.SyncRandom(ctx, 1)
		} else {
			m.ConfirmZones(ctx)
		}
		tick, cancel := context.WithTimeout(ctx, DefaultPeriod.Duration())
		select {
		case <-tick.Done():
		case <-m.urgent:
			m.SyncRandom(ctx, urgentPeers)
		}
		cancel()
		if ctx.Err() != nil {
			return
		}
	}
}

// TriggerSync makes the next exchange happen at once.
func (m *Mesh) TriggerSync() {
	select {
	case m.urgent <- struct{}{}:
	default:
	}
}

// SyncRandom exchanges state with up to count random instances at the same time.
// Every second round prefers other zones, whose confirmation cross-zone work needs.
func (m *Mesh) SyncRandom(ctx context.Context, count int) {
	others := m.shuffled()
	var done sync.WaitGroup
	for _, other := range others[:min(count, len(others))] {
		done.Go(func() { m.SyncWith(ctx, other) })
	}
	done.Wait()
}

// ConfirmZones exchanges state with one random instance of each other zone. An
// instance that cannot read the log needs that to send work to those zones.
func (m *Mesh) ConfirmZones(ctx context.Context) {
	asked := map[ticket.ZoneName]bool{}
	var done sync.WaitGroup
	for _, other := range m.shuffled() {
		// The zone of an instance that only the settings name is not known.
		if other.Zone != "" && asked[other.Zone] {
			continue
		}
		asked[other.Zone] = true
		done.Go(func() { m.SyncWith(ctx, other) })
	}
	done.Wait()
}

func (m *Mesh) shuffled() []platform.InstanceListing {
	others := m.members.Peers()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	m.turn++
	if m.turn%2 == 0 {
		return others
	}
	far := make([]platform.InstanceListing, 0, len(others))
	var near []platform.InstanceListing
	for _, other := range others {
		if other.Zone == m.zone {
			near = append(near, other)
		} else {
			far = append(far, other)
		}
	}
	return append(far, near...)
}

// SyncWith sends this instance's state to another and takes the answer.
func (m *Mesh) SyncWith(ctx context.Context, other platform.InstanceListing) {
	client := m.Dial(other)
	began := m.clock.Mono()
	update, stamp := m.updateFor(other.ID)
	answer, err := client.Sync(ctx, update)
	m.noteFailure(other.ID, err)
	if err != nil {
		return
	}
	m.take(answer)
	m.noteSent(other.ID, answer.Instance, stamp)
	m.config.ConfirmZone(ticket.ZoneName(answer.Zone), began)
	if ours := m.config.View().Digest; uint64(ours) != answer.ConfigDigest {
		// The other instance lacks something that this one knows.
		update.Entries = entriesToWire(m.config.Entries())
		update.Counters = nil
		_, _ = client.Sync(ctx, update)
	}
}

func (m *Mesh) noteFailure(other platform.InstanceID, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if failing := err != nil; failing != m.failures[other] {
		m.failures[other] = failing
		m.logger.Warn("peer-changed-state", "peer", other, "failing", failing, "error", err)
	}
}

func (m *Mesh) noteSent(other platform.InstanceID, instance string, stamp evidence.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if last := m.sent[other]; last.run != instance {
		// A new run lacks what was sent to the one before.
		m.sent[other] = sentTo{run: instance}
		if last.run == "" {
			m.sent[other] = sentTo{run: instance, stamp: stamp}
		}
		return
	}
	m.sent[other] = sentTo{run: instance, stamp: stamp}
}

func (m *Mesh) updateFor(other platform.InstanceID) (*peerv1.Update, evidence.Revision) {
	m.mu.Lock()
	last := m.sent[other]
	m.mu.Unlock()
	rows, stamp := m.learner.CountersSince(last.stamp)
	update := m.update()
	update.Counters = rowsToWire(rows)
	return update, stamp
}

// update returns what both sides of an exchange say.
func (m *Mesh) update() *peerv1.Update {
	update := &peerv1.Update{
		Instance:     string(m.owner()),
		Zone:         string(m.zone),
		ConfigDigest: uint64(m.config.View().Digest),
		LogAgeMs:     int64(m.config.LogAge()),
	}
	for _, s := range m.learner.Suspicions() {
		update.Suspicions = append(update.Suspicions, &peerv1.Suspicion{Digest: string(s.Digest), Crash: string(s.Crash), Alone: s.Alone})
	}
	for _, s := range m.learner.Stops() {
		update.Stops = append(update.Stops, &peerv1.Stop{RollOut: string(s.Rollout), Number: int64(s.Number)})
	}
	return update
}

// take folds what another instance said.
func (m *Mesh) take(update *peerv1.Update) {
	if len(update.Entries) > 0 {
		m.config.MergePeer(entriesFromWire(update.Entries), update.LogAgeMs >= 0)
	}
	m.learner.MergeCounters(rowsFromWire(update.Counters))
	for _, s := range update.Suspicions {
		m.learner.AddSuspicion(quarantine.Suspicion{Digest: quarantine.Digest(s.Digest), Crash: quarantine.CrashID(s.Crash), Alone: s.Alone})
	}
	for _, s := range update.Stops {
		m.learner.AddStop(fleet.RolloutStop{Rollout: ticket.RolloutName(s.RollOut), Number: ticket.Number(s.Number)})
	}
}

// Server returns what this instance answers to others.
func (m *Mesh) Server() *peer.Server {
	return &peer.Server{Client: peer.Client{
		Sync:      m.serveSync,
		Outcome:   m.serveOutcome,
		HoldBills: m.serveHoldBills,
		Permit:    m.servePermit,
	}}
}

func (m *Mesh) serveSync(_ context.Context, update *peerv1.Update) (*peerv1.Update, error) {
	before := uint64(m.config.View().Digest)
	m.take(update)
	answer := m.update()
	if update.ConfigDigest != before {
		answer.Entries = entriesToWire(m.config.Entries())
	}
	return answer, nil
}

func (m *Mesh) serveOutcome(ctx context.Context, request *peerv1.OutcomeRequest) (*peerv1.OutcomeResponse, error) {
	outcome := m.claims.Outcome(ctx, claim.RequestID(request.RequestId), claim.Nonce(request.Nonce), clock.Millis(request.WaitMs))
	return &peerv1.OutcomeResponse{
		State:       string(outcome.State),
		Status:      int32(outcome.Status),
		ContentType: outcome.ContentType,
		Body:        outcome.Body,
	}, nil
}

func (m *Mesh) serveHoldBills(_ context.Context, request *peerv1.HoldBillsRequest) (*peerv1.HoldBillsResponse, error) {
	bills := make([]billing.Bill, 0, len(request.Hold))
	for _, wire := range request.Hold {
		var bill billing.Bill
		if err := json.Unmarshal(wire.Record, &bill); err != nil {
			return nil, err
		}
		bills = append(bills, bill)
	}
	settled := make([]claim.RequestID, 0, len(request.Settled))
	for _, id := range request.Settled {
		settled = append(settled, claim.RequestID(id))
	}
	owner := ledger.Owner(request.Owner)
	m.ledger.ReleaseHeld(owner, settled)
	taken, held := m.ledger.HoldForOwner(owner, bills)
	return &peerv1.HoldBillsResponse{Accepted: int32(taken), Held: int32(held)}, nil
}

func (m *Mesh) servePermit(_ context.Context, request *peerv1.PermitRequest) (*peerv1.PermitResponse, error) {
	return m.gate.Grant(request, int(request.Bears)), nil
}

// FetchOutcome asks the instance that claimed a request what became of it.
func (m *Mesh) FetchOutcome(ctx context.Context, id claim.RequestID, holding claim.Entry, wait clock.Millis) claim.Outcome {
	unknown := claim.Outcome{State: claim.StateUnknown}
	claimant, ok := m.members.Find(platform.InstanceID(holding.Instance))
	if !ok {
		return unknown
	}
	answer, err := m.Dial(claimant).Outcome(ctx, &peerv1.OutcomeRequest{
		RequestId: string(id), Nonce: string(holding.Nonce), WaitMs: int64(wait),
	})
	if err != nil {
		return unknown
	}
	return claim.Outcome{
		State:       claim.State(answer.State),
		Status:      int(answer.Status),
		ContentType: answer.ContentType,
		Body:        answer.Body,
	}
}

// RequestPermit asks the holder of a gate for a permit.
func (m *Mesh) RequestPermit(ctx context.Context, holder string, request *peerv1.PermitRequest) (*peerv1.PermitResponse, error) {
	other, ok := m.members.Find(platform.InstanceID(holder))
	if !ok {
		return &peerv1.PermitResponse{}, nil
	}
	return m.Dial(other).Permit(ctx, request)
}
