package instance

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"foxtailbridge/entry/adminrpc"
	"foxtailbridge/entry/callerhttp"
	"foxtailbridge/entry/claims"
	"foxtailbridge/entry/config"
	"foxtailbridge/entry/fleet"
	"foxtailbridge/entry/gatekeeper"
	"foxtailbridge/entry/learning"
	"foxtailbridge/entry/ledger"
	"foxtailbridge/entry/members"
	"foxtailbridge/entry/mesh"
	"foxtailbridge/entry/pool"
	"foxtailbridge/entry/router"
	"foxtailbridge/link/caller"
	"foxtailbridge/link/peer"
	"foxtailbridge/link/platform"
	"foxtailbridge/link/settings"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/quarantine"
	"foxtailbridge/policy/rollout"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/session"
	"foxtailbridge/policy/ticket"
)

// ExternalClients holds the clients for the systems outside of an instance.
type ExternalClients struct {
	Log       *platform.Log
	Directory *platform.Directory
	Ratings   *platform.Ratings
	// Connect returns a client for a listed endpoint.
	Connect pool.Connect
	// Dial returns a client for another instance.
	Dial func(platform.InstanceListing) *peer.Client
}

// Options configure components; tests use them to compare with unsafe variants.
type Options struct {
	// RunID identifies the run of the process and seeds its random choices; if empty,
	// a new UUID is used.
	RunID   string
	Claims  []claims.Option
	Ledger  []ledger.Option
	Gate    []gatekeeper.Option
	Config  []config.Option
	Learner []learning.Option
}

// Instance holds the components of one entry instance.
type Instance struct {
	Config  *config.Store
	Members *members.Members
	Pool    *pool.Pool
	Claims  *claims.Claimer
	Ledger  *ledger.Ledger
	Gate    *gatekeeper.Gatekeeper
	Learner *learning.Learner
	Mesh    *mesh.Mesh
	Router  *router.Router
	Callers *callerhttp.Server
	Admin   *adminrpc.Server

	clock        *clock.Clock
	logger       hclog.Logger
	fleet        *fleet.Stream
	shuttingDown atomic.Bool
}

// New returns an instance with all components connected; Run starts it.
func New(s *settings.Entry, clients ExternalClients, c *clock.Clock, logger hclog.Logger, metrics tally.Scope, opts Options) (*Instance, error) {
	signer, err := newSigner(&s.Keys)
	if err != nil {
		return nil, err
	}
	run := opts.RunID
	if run == "" {
		run = uuid.NewString()
	}
	random := func() *rand.Rand { return newRandom(s.Instance, run) }
	i := &Instance{clock: c, logger: logger}
	i.Members = members.New(platform.InstanceID(s.Instance), seedPeers(s), clients.Directory, c, logger)
	i.Config = config.New(s.Zone, clients.Log, c, logger, opts.Config...)
	i.Pool = pool.New(s.Zone, clients.Connect, c, random(), logger)
	i.Claims = claims.New(s.Instance, s.ClaimPartitions, clients.Log, c, logger, opts.Claims...)
	i.Ledger = ledger.New(clients.Log, c, logger, opts.Ledger...)
	i.fleet = fleet.New(clients.Log, c)
	i.Gate = gatekeeper.New(s.Instance, s.Zone, i.fleet, c, logger, opts.Gate...)
	i.Learner = learning.New(s.Instance+"#"+run, clients.Ratings, c, logger, opts.Learner...)
	meshDeps := mesh.Dependencies{
		Members: i.Members, Config: i.Config, Learner: i.Learner, Claims: i.Claims, Ledger: i.Ledger, Gate: i.Gate,
	}
	i.Mesh = mesh.New(platform.InstanceID(s.Instance), run, s.Zone, meshDeps, c, random(), logger)
	i.Mesh.Dial = clients.Dial
	i.connectDependencies(s)
	i.Router = router.New(s.Instance, router.Dependencies{
		Config: i.Config, Pool: i.Pool, Claims: i.Claims, Ledger: i.Ledger,
		Gate: i.Gate, Learner: i.Learner, Signer: signer, FetchOutcome: i.Mesh.FetchOutcome,
	}, c, random(), logger, metrics)
	i.Callers = callerhttp.New(i.Router, callerKeys(&s.Keys), signer, c)
	i.Callers.Ready = i.Ready
	i.Callers.View = i.Config.View
	i.Admin = adminrpc.New(s.Instance, s.Zone, adminrpc.Dependencies{
		Config: i.Config, Members: i.Members, Pool: i.Pool, Ledger: i.Ledger,
		Learner: i.Learner, Router: i.Router, Log: clients.Log, Ready: i.Ready,
	}, operatorKeys(&s.Keys), logger)
	return i, nil
}

// connectDependencies sets the callbacks through which components use each other.
func (i *Instance) connectDependencies(s *settings.Entry) {
	i.Pool.ZonePosition = func() rollout.Position { return i.Members.ZonePosition(s.Zone) }
	i.Members.OnListing = i.Pool.SetListing
	i.Config.Rank = func() int { return i.Members.Position().Rank }
	i.Config.OnChange = func(source config.Source) {
		if source == config.SourcePeer {
			i.Mesh.TriggerSync()
		}
	}
	i.Pool.OnSuspicion = func(suspicion quarantine.Suspicion) {
		if i.Learner.AddSuspicion(suspicion) {
			i.fleet.Append(fleet.Item{Suspicion: &suspicion})
			i.Mesh.TriggerSync()
		}
	}
	i.Ledger.HoldRemotely = i.Mesh.HoldRemotely
	i.Ledger.NotifySettled = i.Mesh.NotifySettled
	i.Ledger.RenewHolds = i.Mesh.RenewHolds
	i.Gate.RequestPermit = i.Mesh.RequestPermit
	i.Gate.Engines = func() []pool.Engine { return i.Pool.ZoneEngines(s.Zone) }
	i.Gate.ZoneRank = func() int {
		return i.Members.ZoneRank(s.Zone, func(id platform.InstanceID) uint64 {
			return routing.RendezvousWeight(hash(string(s.Zone)), string(id))
		})
	}
	i.Learner.View = i.Config.View
	i.Learner.Position = i.Members.Position
	i.Learner.Publish = i.fleet.Append
	i.Learner.TriggerSync = i.Mesh.TriggerSync
	i.fleet.Apply = i.applyFleet
}

func (i *Instance) applyFleet(offset platform.Offset, at clock.Millis, item fleet.Item) {
	switch {
	case item.Lease != nil:
		i.Gate.Apply(offset, at, *item.Lease)
	case item.Stop != nil:
		i.Learner.AddStop(*item.Stop)
	case item.Suspicion != nil:
		i.Learner.AddSuspicion(*item.Suspicion)
	}
}

// Run runs the instance's background loops until ctx is done.
func (i *Instance) Run(ctx context.Context) {
	go i.Members.Run(ctx)
	go i.Config.Run(ctx)
	go i.Pool.Run(ctx)
	go i.Claims.Run(ctx)
	go i.Ledger.Run(ctx)
	go i.fleet.Run(ctx)
	go i.Gate.Run(ctx)
	go i.Learner.Run(ctx)
	go i.Mesh.Run(ctx)
	i.Router.Run(ctx, func() int { return i.Members.Position().Instances })
}

// Ready reports whether the load balancer should send requests to this instance.
func (i *Instance) Ready() bool {
	return !i.shuttingDown.Load() && i.Config.Ready()
}

// notReadyDelay is how long Shutdown waits for the load balancer to see that the
// instance is not ready.
const notReadyDelay = clock.Second

// Shutdown ends the instance gracefully: it stops accepting requests, drains in-flight
// requests, makes bills durable and releases the gate. It reports whether all in-flight
// requests completed before ctx was done. If not, it takes at most stoppedTimeout and
// lateFlushTimeout longer than ctx.
func (i *Instance) Shutdown(ctx context.Context) bool {
	i.shuttingDown.Store(true)
	i.logger.Info("shutdown-began", "active", i.Router.InFlight())
	_ = i.clock.Sleep(ctx, notReadyDelay)
	drained := i.Router.Drain(ctx)
	if !drained {
		i.Router.StopWaiting()
		i.awaitStopped(ctx)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), lateFlushTimeout.Duration())
		defer cancel()
	}
	for i.Ledger.Unsettled() > 0 && ctx.Err() == nil {
		if i.Ledger.HandOverAll(ctx) {
			break
		}
		_ = i.clock.Sleep(ctx, settlePollInterval)
	}
	flushCtx, cancel := context.WithTimeout(ctx, flushTimeout.Duration())
	defer cancel()
	i.Claims.Flush(flushCtx)
	select {
	case <-i.Gate.Release():
	case <-flushCtx.Done():
	}
	i.logger.Info("shutdown-ended", "whole", drained, "unsettled", i.Ledger.Unsettled())
	return drained
}

// awaitStopped waits until the requests that outlasted the drain have recorded their outcomes;
// ctx may be done.
func (i *Instance) awaitStopped(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stoppedTimeout.Duration())
	defer cancel()
	if !i.Router.Drain(ctx) {
		i.logger.Warn("not-stopped", "active", i.Router.InFlight())
	}
}

const (
	// stoppedTimeout limits the wait for requests whose wait was ended; they take a few ms.
	stoppedTimeout = clock.Second
	// lateFlushTimeout limits the work after a drain that timed out: bills, the outcomes of
	// claims and the release of the gate.
	lateFlushTimeout   = 2 * clock.Second
	settlePollInterval = 50 * clock.Millis(1)
	// flushTimeout limits the wait for work that is only an optimization: if the
	// outcomes of claims or the release of the gate are lost, peers have to ask or wait.
	flushTimeout = 5 * clock.Second
)

// PeerHandler returns the handler of the peer API, which requires the shared secret.
func (i *Instance) PeerHandler(secret string) http.Handler {
	return i.Mesh.Server().Handler(secret)
}

func newSigner(k *settings.Keys) (*session.Signer, error) {
	keys := make([]session.Key, 0, len(k.Sessions))
	for _, key := range k.Sessions {
		keys = append(keys, session.Key{ID: session.KeyID(key.ID), Secret: []byte(key.Secret)})
	}
	return session.NewSigner(keys...)
}

func callerKeys(k *settings.Keys) *caller.Keyring[ticket.WorkspaceName] {
	ring := caller.NewKeyring[ticket.WorkspaceName]()
	for _, key := range k.Callers {
		ring.Add(key.Key, key.Workspace)
	}
	return ring
}

func operatorKeys(k *settings.Keys) *caller.Keyring[adminrpc.OperatorName] {
	ring := caller.NewKeyring[adminrpc.OperatorName]()
	for _, key := range k.Operators {
		ring.Add(key.Key, adminrpc.OperatorName(key.Name))
	}
	return ring
}

// seedPeers returns the peers from the settings. Their address serves as ID and their
// zone is unknown until the platform's directory has been read.
func seedPeers(s *settings.Entry) []platform.InstanceListing {
	list := make([]platform.InstanceListing, 0, len(s.BootstrapPeers))
	for _, address := range s.BootstrapPeers {
		if address != s.Listen.Peer {
			list = append(list, platform.InstanceListing{ID: platform.InstanceID(address), Peer: address, Presence: platform.PresenceLive})
		}
	}
	return list
}

func newRandom(instance, run string) *rand.Rand {
	return rand.New(rand.NewPCG(hash(instance), hash(run)))
}

func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}
