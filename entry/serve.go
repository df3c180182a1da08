package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"

	"foxtailbridge/entry/instance"
	"foxtailbridge/link/endpoint"
	"foxtailbridge/link/peer"
	"foxtailbridge/link/platform"
	"foxtailbridge/link/settings"
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
	logger := telemetry.NewLogger(s.Instance, s.LogLevel, os.Stderr)
	metrics, metricsHandler, closer := telemetry.NewMetrics("foxtailbridge")
	defer closer.Close()
	i, err := instance.New(s, outside(s), clock.New(), logger, metrics, instance.Options{})
	if err != nil {
		return err
	}
	admin := http.NewServeMux()
	admin.Handle("GET /metrics", metricsHandler)
	admin.HandleFunc("GET /debug/pprof/profile", i.Admin.Guard(pprof.Profile))
	admin.Handle("/", i.Admin.Handler())
	servers, err := listen(logger, map[string]http.Handler{
		s.Listen.Caller: i.Callers.Handler(),
		s.Listen.Peer:   i.PeerHandler(s.Keys.Peer),
		s.Listen.Admin:  admin,
	})
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(ctx)
	defer stop()
	go i.Run(background)
	logger.Info("started", "zone", s.Zone, "caller", s.Listen.Caller, "peer", s.Listen.Peer, "admin", s.Listen.Admin)
	go signals.Run(logger, func() { logger.Warn("not-reloaded", "why", "settings are read at the start only") })
	select {
	case <-signals.Stop():
	case <-ctx.Done():
	}
	draining, cancel := context.WithTimeout(ctx, s.Drain.Duration())
	defer cancel()
	whole := i.Shutdown(draining)
	closeAll(ctx, servers)
	if !whole {
		return errCut
	}
	return nil
}

// outside connects the instance to the platform, the endpoints and the other instances.
func outside(s *settings.Entry) instance.Outside {
	peers := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: peerIdleConns}}
	return instance.Outside{
		Log:       platform.NewLog(s.Platform.Log),
		Directory: platform.NewDirectory(s.Platform.Directory),
		Ratings:   platform.NewRatings(s.Platform.Ratings, platform.InstanceID(s.Instance)),
		Connect: func(l platform.EndpointListing, observe func(*endpoint.Load), seeBoot func(gate.BootID)) *endpoint.Endpoint {
			return endpoint.New(l.URL, endpoint.WithObserve(observe), endpoint.WithSeeBoot(seeBoot))
		},
		Dial: func(l platform.InstanceListing) *peer.Client {
			return peer.Dial(peers, l.Peer, s.Keys.Peer)
		},
	}
}

// listen opens every address before it serves any.
func listen(logger hclog.Logger, handlers map[string]http.Handler) ([]*http.Server, error) {
	listeners := map[string]net.Listener{}
	for address := range handlers {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, err
		}
		listeners[address] = listener
	}
	var servers []*http.Server
	for address, handler := range handlers {
		server := &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: readHeaderTimeout,
			ErrorLog:          logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Warn}),
		}
		servers = append(servers, server)
		go func() { _ = server.Serve(listeners[address]) }()
	}
	return servers, nil
}

func closeAll(ctx context.Context, servers []*http.Server) {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	for _, server := range servers {
		_ = server.Shutdown(ctx)
	}
}
