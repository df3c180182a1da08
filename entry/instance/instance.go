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

// ExternalClients is what an instance talks to.
type ExternalClients struct {
	Log       *platform.Log
	Directory *platform.Directory
	Ratings   *platform.Ratings
	// Connect returns a client for a listed endpoint.
	Connect pool.Connect
	// Dial returns a client for another instance.
	Dial func(platform.InstanceListing) *peer.Client
}

// Options change how parts are built; tests use them to put naive rules in place.
type Options struct {
	// RunID names the run of the process; empty means a fresh name. Random choices
	// follow from it.
	RunID   string
	Claims  []claims.Option
	Ledger  []ledger.Option
	Gate    []gatekeeper.Option
	Config  []config.Option
	Learner []learning.Option
}

// Instance is one entry instance.
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

	clock  *clock.Clock
	logger hclog.Logger
	fleet  *fleet.Stream
	off    atomic.Bool
}

// New wires an instance; Run starts it.
func New(s *settings.Entry, out ExternalClients, c *clock.Clock, logger hclog.Logger, metrics tally.Scope, o Options) (*Instance, error) {
	signer, err := newSigner(&s.Keys)
	if err != nil {
		return nil, err
	}
	run := o.RunID
	if run == "" {
		run = uuid.NewString()
	}
	random := func() *rand.Rand { return newRandom(s.Instance, run) }
	i := &Instance{clock: c, logger: logger}
	i.Members = members.New(platform.InstanceID(s.Instance), seeds(s), out.Directory, c, logger)
	i.Config = config.New(s.Zone, out.Log, c, logger, o.Config...)
	i.Pool = pool.New(s.Zone, out.Connect, c, random(), logger)
	i.Claims = claims.New(s.Instance, s.ClaimPartitions, out.Log, c, logger, o.Claims...)
	i.Ledger = ledger.New(out.Log, c, logger, o.Ledger...)
	i.fleet = fleet.New(out.Log, c)
	i.Gate = gatekeeper.New(s.Instance, s.Zone, i.fleet, c, logger, o.Gate...)
	i.Learner = learning.New(s.Instance+"#"+run, out.Ratings, c, logger, o.Learner...)
	parts := mesh.Dependencies{
		Members: i.Members, Config: i.Config, Learner: i.Learner, Claims: i.Claims, Ledger: i.Ledger, Gate: i.Gate,
	}
	i.Mesh = mesh.New(platform.InstanceID(s.Instance), run, s.Zone, parts, c, random(), logger)
	i.Mesh.Dial = out.Dial
	i.connectParts(s)
	i.Router = router.New(s.Instance, router.Dependencies{
		Config: i.Config, Pool: i.Pool, Claims: i.Claims, Ledger: i.Ledger,
		Gate: i.Gate, Learner: i.Learner, Signer: signer, FetchOutcome: i.Mesh.FetchOutcome,
	}, c, random(), logger, metrics)
	i.Callers = callerhttp.New(i.Router, callerKeys(&s.Keys), signer, c)
	i.Callers.Ready = i.Ready
	i.Callers.View = i.Config.View
	i.Admin = adminrpc.New(s.Instance, s.Zone, adminrpc.Dependencies{
		Config: i.Config, Members: i.Members, Pool: i.Pool, Ledger: i.Ledger,
		Learner: i.Learner, Router: i.Router, Log: out.Log, Ready: i.Ready,
	}, operatorKeys(&s.Keys), logger)
	return i, nil
}

// connectParts sets the functions through which the parts reach each other.
func (i *Instance) connectParts(s *settings.Entry) {
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

// Run does the instance's background work until ctx ends.
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

// Ready reports whether the balancer should send callers here.
func (i *Instance) Ready() bool {
	return !i.off.Load() && i.Config.Ready()
}

// noticeSpan is how long the balancer has to see that the instance is not ready.
const noticeSpan = clock.Second

// Shutdown ends the instance gracefully: no new callers, running requests to
// their end, bills safe, gate released. It reports whether nothing was cut.
func (i *Instance) Shutdown(ctx context.Context) bool {
	i.off.Store(true)
	i.logger.Info("shutdown-began", "active", i.Router.InFlight())
	_ = i.clock.Sleep(ctx, noticeSpan)
	whole := i.Router.Drain(ctx)
	for i.Ledger.Unsettled() > 0 && ctx.Err() == nil {
		if i.Ledger.HandOverAll(ctx) {
			break
		}
		_ = i.clock.Sleep(ctx, settlePoll)
	}
	flushing, cancel := context.WithTimeout(ctx, flushSpan.Duration())
	defer cancel()
	i.Claims.Flush(flushing)
	select {
	case <-i.Gate.Release():
	case <-flushing.Done():
	}
	i.logger.Info("shutdown-ended", "whole", whole, "unsettled", i.Ledger.Unsettled())
	return whole
}

const (
	settlePoll = 50 * clock.Millis(1)
	// flushSpan bounds the wait for what only spares others a question: the ends
	// of claims and the release of the gate.
	flushSpan = 5 * clock.Second
)

// PeerHandler serves the other instances.
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

// seeds lists the peers of the settings, which have no id or zone until the
// platform's list was read.
func seeds(s *settings.Entry) []platform.InstanceListing {
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
