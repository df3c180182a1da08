package endpoints

import (
	"sync"

	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/rollout"
)

// Sizes holds the mean size of each route's requests. Its methods may be called concurrently.
type Sizes struct {
	mu      sync.Mutex
	byRoute map[catalog.RouteName]*routeSize
}

// NewSizes returns a table that knows no requests.
func NewSizes() *Sizes { return &Sizes{byRoute: map[catalog.RouteName]*routeSize{}} }

// routeSize is the mean size of a route's requests, in tokens.
type routeSize struct {
	prompt, output placement.MovingAverage
}

const (
	// sizeWindow is how many requests the mean size covers.
	sizeWindow = 500
	// outputTokenWeight is how many prompt tokens an output token counts for in a request's
	// size.
	outputTokenWeight = 10
)

// WeightedSize returns the size, in weighted tokens, by which the value of a response is
// estimated.
func WeightedSize(promptTokens, outputTokens float64) float64 {
	return promptTokens + outputTokenWeight*outputTokens
}

// Add counts a request.
func (s *Sizes) Add(route catalog.RouteName, promptTokens, outputTokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := s.byRoute[route]
	if size == nil {
		size = &routeSize{}
		s.byRoute[route] = size
	}
	updateAverage(&size.prompt, float64(promptTokens), sizeWindow)
	updateAverage(&size.output, float64(outputTokens), sizeWindow)
}

// Mean returns the mean weighted size of a route's requests, or 0.
func (s *Sizes) Mean(route catalog.RouteName) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if size := s.byRoute[route]; size != nil {
		return WeightedSize(size.prompt.Mean, size.output.Mean)
	}
	return 0
}

// RouteMeans is the mean number of tokens of a route's requests.
type RouteMeans struct {
	Prompt, Output float64
	// Requests is the number of requests seen.
	Requests int
}

// Means returns the mean size of a route's requests.
func (s *Sizes) Means(route catalog.RouteName) RouteMeans {
	s.mu.Lock()
	defer s.mu.Unlock()
	if size := s.byRoute[route]; size != nil {
		return RouteMeans{size.prompt.Mean, size.output.Mean, size.prompt.Count}
	}
	return RouteMeans{}
}

// Load returns what is known of a route's requests. The engine is nil for a plain service;
// pace is the usual time between the stream events of its largest model.
func (s *Sizes) Load(route catalog.RouteName, engine *catalog.Engine, pace float64) rollout.RouteLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := s.byRoute[route]
	if size == nil {
		size = &routeSize{}
	}
	load := rollout.RouteLoad{Route: route, Requests: size.prompt.Count}
	if engine == nil {
		return load
	}
	load.PrefillTime = placement.PrefillTime(size.prompt.Mean)
	load.RunTime = clock.Millis(pace * size.output.Mean / float64(max(1, engine.TokensPerEvent)))
	return load
}
