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
	// DefaultPeriod is the interval between two regular syncs with a random peer.
	DefaultPeriod = 500 * clock.Millis(1)
	// triggeredSyncPeers is how many peers a triggered sync contacts at the same time.
	triggeredSyncPeers = 3
)

// Mesh synchronizes the state of one instance with its peers.
type Mesh struct {
	// Dial returns a client for a listed instance.
	Dial func(platform.InstanceListing) *peer.Client

	self        platform.InstanceID
	runID       string
	zone        ticket.ZoneName
	clock       *clock.Clock
	logger      hclog.Logger
	random      *rand.Rand
	members     *members.Members
	config      *config.Store
	learner     *learning.Learner
	claims      *claims.Claimer
	ledger      *ledger.Ledger
	gate        *gatekeeper.Gatekeeper
	syncTrigger chan struct{}
	shuffles    int
	mu          sync.Mutex
	sent        map[platform.InstanceID]sentState
	holders     map[platform.InstanceID]map[claim.RequestID]bool
	failures    map[platform.InstanceID]bool
}

// sentState records up to which revision the counters were sent to a run of a peer.
type sentState struct {
	run      string
	revision evidence.Revision
}

// Dependencies are the components whose state a Mesh synchronizes.
type Dependencies struct {
	Members *members.Members
	Config  *config.Store
	Learner *learning.Learner
	Claims  *claims.Claimer
	Ledger  *ledger.Ledger
	Gate    *gatekeeper.Gatekeeper
}

// New returns a Mesh for an instance. The run ID differs for each process, so that
// peers can detect a restart.
func New(self platform.InstanceID, run string, zone ticket.ZoneName, deps Dependencies, c *clock.Clock, random *rand.Rand, logger hclog.Logger) *Mesh {
	return &Mesh{
		self:        self,
		runID:       run,
		zone:        zone,
		clock:       c,
		logger:      logger.Named("mesh"),
		random:      random,
		members:     deps.Members,
		config:      deps.Config,
		learner:     deps.Learner,
		claims:      deps.Claims,
		ledger:      deps.Ledger,
		gate:        deps.Gate,
		syncTrigger: make(chan struct{}, 1),
		sent:        map[platform.InstanceID]sentState{},
		holders:     map[platform.InstanceID]map[claim.RequestID]bool{},
		failures:    map[platform.InstanceID]bool{},
	}
}

// Run syncs with one random peer per period until ctx is done. TriggerSync makes it
// sync with several peers immediately. While the log has not been read recently, the
// periodic sync contacts one peer of each zone instead.
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
		case <-m.syncTrigger:
			m.SyncRandom(ctx, triggeredSyncPeers)
		}
		cancel()
		if ctx.Err() != nil {
			return
		}
	}
}

// TriggerSync makes Run sync with several peers without waiting for the next period.
func (m *Mesh) TriggerSync() {
	select {
	case m.syncTrigger <- struct{}{}:
	default:
	}
}

// SyncRandom syncs with up to count random peers concurrently. Every second call
// prefers other zones, because work is sent to another zone only after a peer there
// has confirmed the configuration.
func (m *Mesh) SyncRandom(ctx context.Context, count int) {
	peers := m.shuffledPeers()
	var done sync.WaitGroup
	for _, other := range peers[:min(count, len(peers))] {
		done.Go(func() { m.SyncWith(ctx, other) })
	}
	done.Wait()
}

// ConfirmZones syncs with one random peer of each zone. An instance that cannot read
// the log needs these confirmations to send work to other zones.
func (m *Mesh) ConfirmZones(ctx context.Context) {
	contacted := map[ticket.ZoneName]bool{}
	var done sync.WaitGroup
	for _, other := range m.shuffledPeers() {
		// A peer known only from the settings has no zone yet.
		if other.Zone != "" && contacted[other.Zone] {
			continue
		}
		contacted[other.Zone] = true
		done.Go(func() { m.SyncWith(ctx, other) })
	}
	done.Wait()
}

func (m *Mesh) shuffledPeers() []platform.InstanceListing {
	peers := m.members.Peers()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	m.shuffles++
	if m.shuffles%2 == 0 {
		return peers
	}
	otherZones := make([]platform.InstanceListing, 0, len(peers))
	var sameZone []platform.InstanceListing
	for _, other := range peers {
		if other.Zone == m.zone {
			sameZone = append(sameZone, other)
		} else {
			otherZones = append(otherZones, other)
		}
	}
	return append(otherZones, sameZone...)
}

// SyncWith sends this instance's state to a peer and merges the response. If the
// configuration digests still differ, it sends the full configuration as well.
func (m *Mesh) SyncWith(ctx context.Context, other platform.InstanceListing) {
	client := m.Dial(other)
	startedAt := m.clock.Mono()
	update, revision := m.updateFor(other.ID)
	response, err := client.Sync(ctx, update)
	m.recordResult(other.ID, err)
	if err != nil {
		return
	}
	m.merge(response)
	m.recordSent(other.ID, response.Instance, revision)
	m.config.ConfirmZone(ticket.ZoneName(response.Zone), startedAt)
	if localDigest := m.config.View().Digest; uint64(localDigest) != response.ConfigDigest {
		// The peer lacks entries that this instance has.
		update.Entries = entriesToWire(m.config.Entries())
		update.Counters = nil
		_, _ = client.Sync(ctx, update)
	}
}

func (m *Mesh) recordResult(other platform.InstanceID, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if failing := err != nil; failing != m.failures[other] {
		m.failures[other] = failing
		m.logger.Warn("peer-changed-state", "peer", other, "failing", failing, "error", err)
	}
}

func (m *Mesh) recordSent(other platform.InstanceID, instance string, revision evidence.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if last := m.sent[other]; last.run != instance {
		// A restarted peer has lost the counters sent to its previous run.
		m.sent[other] = sentState{run: instance}
		if last.run == "" {
			m.sent[other] = sentState{run: instance, revision: revision}
		}
		return
	}
	m.sent[other] = sentState{run: instance, revision: revision}
}

func (m *Mesh) updateFor(other platform.InstanceID) (*peerv1.Update, evidence.Revision) {
	m.mu.Lock()
	last := m.sent[other]
	m.mu.Unlock()
	rows, revision := m.learner.CountersSince(last.revision)
	update := m.baseUpdate()
	update.Counters = rowsToWire(rows)
	return update, revision
}

// baseUpdate returns the fields that both the request and the response of a sync
// carry: everything but config entries and counters.
func (m *Mesh) baseUpdate() *peerv1.Update {
	update := &peerv1.Update{
		Instance:     string(m.ownerID()),
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

// merge applies a peer's update to the local state.
func (m *Mesh) merge(update *peerv1.Update) {
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

// Server returns the handlers of the peer API.
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
	m.merge(update)
	response := m.baseUpdate()
	if update.ConfigDigest != before {
		response.Entries = entriesToWire(m.config.Entries())
	}
	return response, nil
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
	accepted, held := m.ledger.HoldForOwner(owner, bills)
	return &peerv1.HoldBillsResponse{Accepted: int32(accepted), Held: int32(held)}, nil
}

func (m *Mesh) servePermit(_ context.Context, request *peerv1.PermitRequest) (*peerv1.PermitResponse, error) {
	return m.gate.Grant(request, int(request.Bears)), nil
}

// FetchOutcome asks the instance that claimed a request for its outcome. The outcome
// is unknown if that instance is not listed or the call fails.
func (m *Mesh) FetchOutcome(ctx context.Context, id claim.RequestID, entry claim.Entry, wait clock.Millis) claim.Outcome {
	unknown := claim.Outcome{State: claim.StateUnknown}
	claimant, ok := m.members.Find(platform.InstanceID(entry.Instance))
	if !ok {
		return unknown
	}
	response, err := m.Dial(claimant).Outcome(ctx, &peerv1.OutcomeRequest{
		RequestId: string(id), Nonce: string(entry.Nonce), WaitMs: int64(wait),
	})
	if err != nil {
		return unknown
	}
	return claim.Outcome{
		State:       claim.State(response.State),
		Status:      int(response.Status),
		ContentType: response.ContentType,
		Body:        response.Body,
	}
}

// RequestPermit requests a permit from the instance that holds the gate's lease.
func (m *Mesh) RequestPermit(ctx context.Context, holder string, request *peerv1.PermitRequest) (*peerv1.PermitResponse, error) {
	other, ok := m.members.Find(platform.InstanceID(holder))
	if !ok {
		return &peerv1.PermitResponse{}, nil
	}
	return m.Dial(other).Permit(ctx, request)
}
