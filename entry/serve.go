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

// errCut says that the drain time ended before the last request did.
var errCut = errors.New("shutdown cut requests that were still running")

// serve runs an instance until a signal asks it to stop.
func serve(ctx context.Context, s *settings.Entry, signals *supervisor.Signals) error {
	queue := telemetry.NewAsyncWriter(os.Stderr)
	defer queue.Close()
	logger := telemetry.NewLogger(s.Instance, s.LogLevel, queue)
	metrics, metricsHandler, closer := telemetry.NewMetrics("foxtailbridge")
	defer closer.Close()
	i, err := instance.New(s, outside(s), clock.New(), logger, metrics, instance.Options{})
	if err != nil {
		return err
	}
	admin := http.NewServeMux()
	admin.Handle("GET /metrics", metricsHandler)
	admin.HandleFunc("GET /debug/pprof/profile", i.Admin.RequireKey(pprof.Profile))
	admin.Handle("/", i.Admin.Handler())
	callers := socket.NewConnTracker()
	others, err := listen(logger, map[string]http.Handler{
		s.Listen.Caller: i.Callers.Handler(),
		s.Listen.Peer:   i.PeerHandler(s.Keys.Peer),
		s.Listen.Admin:  admin,
	}, s.Listen.Caller, callers)
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(ctx)
	defer stop()
	go i.Run(background)
	logger.Info("started", "zone", s.Zone, "caller", s.Listen.Caller, "peer", s.Listen.Peer, "admin", s.Listen.Admin)
	go signals.Run(logger, func() { logger.Warn("not-reloaded", "why", "settings are read at the start only") })
	select {
	case <-signals.StopRequested():
	case <-ctx.Done():
	}
	draining, cancel := context.WithTimeout(ctx, s.DrainTimeout.Duration())
	defer cancel()
	whole := i.Shutdown(draining)
	if left := closeAll(ctx, callers, others); left > 0 {
		logger.Warn("channels-cut", "busy", left)
	}
	if !whole {
		return errCut
	}
	return nil
}

// outside connects the instance to the platform, the endpoints and the other instances.
func outside(s *settings.Entry) instance.ExternalClients {
	peers := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: peerIdleConns}}
	return instance.ExternalClients{
		Log:       platform.NewLog(s.Platform.Log),
		Directory: platform.NewDirectory(s.Platform.Directory),
		Ratings:   platform.NewRatings(s.Platform.Ratings, platform.InstanceID(s.Instance)),
		Connect: func(l platform.EndpointListing, observe func(*endpoint.Load), seeBoot func(gate.BootID)) *endpoint.Endpoint {
			return endpoint.New(l.URL, endpoint.WithObserveLoad(observe), endpoint.WithObserveBoot(seeBoot))
		},
		Dial: func(l platform.InstanceListing) *peer.Client {
			return peer.NewClient(peers, l.Peer, s.Keys.Peer)
		},
	}
}

// listen opens every address before it serves any, and tracks the channels of the
// callers' address. It returns the servers of the others.
func listen(logger hclog.Logger, handlers map[string]http.Handler, caller string, callers *socket.ConnTracker) ([]*http.Server, error) {
	listeners := map[string]net.Listener{}
	for address := range handlers {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, err
		}
		listeners[address] = listener
	}
	var others []*http.Server
	for address, handler := range handlers {
		server := &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: readHeaderTimeout,
			ErrorLog:          logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Warn}),
		}
		listener := listeners[address]
		if address == caller {
			listener = callers.Listener(listener)
			server.ConnState = callers.ConnState
		} else {
			others = append(others, server)
		}
		go func() { _ = server.Serve(listener) }()
	}
	return others, nil
}

// closeAll ends the callers' channels between two requests, and the other servers
// beside them; it returns the number of callers' channels that are cut.
func closeAll(ctx context.Context, callers *socket.ConnTracker, others []*http.Server) int {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	var ending sync.WaitGroup
	for _, server := range others {
		ending.Go(func() { _ = server.Shutdown(ctx) })
	}
	left := callers.Drain(ctx)
	ending.Wait()
	return left
}
