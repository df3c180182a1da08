package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"foxtailbridge/entry/instance"
	"foxtailbridge/link/endpoint"
	"foxtailbridge/link/peer"
	"foxtailbridge/link/platform"
	"foxtailbridge/link/settings"
	"foxtailbridge/link/socket"
	"foxtailbridge/link/supervisor"
	"foxtailbridge/link/telemetry"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/gate"
)

const (
	readHeaderTimeout = 10 * time.Second
	closeTimeout      = 5 * time.Second
	peerIdleConns     = 4
)

// errRequestsAborted is returned if the drain timeout expires while requests are in flight.
var errRequestsAborted = errors.New("shutdown aborted requests that were still in flight")

// serve runs an instance until it receives a stop signal, then shuts it down gracefully.
func serve(ctx context.Context, s *settings.Entry, signals *supervisor.Signals) error {
	queue := telemetry.NewAsyncWriter(os.Stderr)
	defer queue.Close()
	logger := telemetry.NewLogger(s.Instance, s.LogLevel, queue)
	metrics, metricsHandler, closer := telemetry.NewMetrics("foxtailbridge")
	defer closer.Close()
	i, err := instance.New(s, externalClients(s), clock.New(), logger, metrics, instance.Options{})
	if err != nil {
		return err
	}
	admin := http.NewServeMux()
	admin.Handle("GET /metrics", metricsHandler)
	admin.HandleFunc("GET /debug/pprof/profile", i.Admin.RequireKey(pprof.Profile))
	admin.Handle("/", i.Admin.Handler())
	callerConns := socket.NewConnTracker()
	otherServers, err := listen(logger, map[string]http.Handler{
		s.Listen.Caller: i.Callers.Handler(),
		s.Listen.Peer:   i.PeerHandler(s.Keys.Peer),
		s.Listen.Admin:  admin,
	}, s.Listen.Caller, callerConns)
	if err != nil {
		return err
	}
	backgroundCtx, stop := context.WithCancel(ctx)
	defer stop()
	go i.Run(backgroundCtx)
	logger.Info("started", "zone", s.Zone, "caller", s.Listen.Caller, "peer", s.Listen.Peer, "admin", s.Listen.Admin)
	go signals.Run(logger, func() { logger.Warn("not-reloaded", "why", "settings are read only at startup") })
	select {
	case <-signals.StopRequested():
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(ctx, s.DrainTimeout.Duration())
	defer cancel()
	drained := i.Shutdown(drainCtx)
	if aborted := closeAll(ctx, callerConns, otherServers); aborted > 0 {
		logger.Warn("channels-cut", "busy", aborted)
	}
	if !drained {
		return errRequestsAborted
	}
	return nil
}

// externalClients returns clients for the platform, the endpoints and the other instances.
func externalClients(s *settings.Entry) instance.ExternalClients {
	peers := &http.Client{Transport: socket.StrictTransport(&net.Dialer{}, &http.Transport{MaxIdleConnsPerHost: peerIdleConns})}
	return instance.ExternalClients{
		Log:       platform.NewLog(s.Platform.Log),
		Directory: platform.NewDirectory(s.Platform.Directory),
		Ratings:   platform.NewRatings(s.Platform.Ratings, platform.InstanceID(s.Instance)),
		Connect: func(l platform.EndpointListing, observe func(*endpoint.Load), observeBoot func(gate.BootID)) *endpoint.Endpoint {
			return endpoint.New(l.URL, endpoint.WithObserveLoad(observe), endpoint.WithObserveBoot(observeBoot))
		},
		Dial: func(l platform.InstanceListing) *peer.Client {
			return peer.NewClient(peers, l.Peer, s.Keys.Peer)
		},
	}
}

// listen opens all listeners before it starts any server, and tracks the connections to
// callerAddress in callerConns. It returns the servers of the other addresses.
func listen(logger hclog.Logger, handlers map[string]http.Handler, callerAddress string, callerConns *socket.ConnTracker) ([]*http.Server, error) {
	listeners := map[string]net.Listener{}
	for address := range handlers {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, err
		}
		listeners[address] = listener
	}
	var otherServers []*http.Server
	for address, handler := range handlers {
		server := &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: readHeaderTimeout,
			ErrorLog:          logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Warn}),
		}
		listener := listeners[address]
		if address == callerAddress {
			listener = callerConns.Listener(listener)
			server.ConnState = callerConns.ConnState
		} else {
			otherServers = append(otherServers, server)
		}
		go func() { _ = server.Serve(listener) }()
	}
	return otherServers, nil
}

// closeAll drains the callers' connections, closing each when it has no request in
// flight, and shuts down the other servers concurrently. It returns the number of
// caller connections that still had a request when closeTimeout expired.
func closeAll(ctx context.Context, callerConns *socket.ConnTracker, otherServers []*http.Server) int {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	var shutdowns sync.WaitGroup
	for _, server := range otherServers {
		shutdowns.Go(func() { _ = server.Shutdown(ctx) })
	}
	aborted := callerConns.Drain(ctx)
	shutdowns.Wait()
	return aborted
}
