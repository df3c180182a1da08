package forward

import (
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/rollout"
	"foxtailbridge/policy/ticket"
)

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

// weightedSize is the size by which the value of a response is estimated.
func weightedSize(promptTokens, outputTokens float64) float64 {
	return promptTokens + outputTokenWeight*outputTokens
}

// size returns the weighted number of tokens by which the value of a request's response
// is estimated.
func (t *task) size() float64 {
	return weightedSize(float64(placement.Tokens(t.request.PromptParts)), float64(t.request.MaxTokens))
}

// countRequest counts a request of a service.
func (e *endpointTracker) countRequest(service ticket.ServiceName, route catalog.RouteName, promptTokens, outputTokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pool(service).retryBudget.AddRequest(e.clock.Mono())
	size := e.sizes[route]
	if size == nil {
		size = &routeSize{}
		e.sizes[route] = size
	}
	updateAverage(&size.prompt, float64(promptTokens), sizeWindow)
	updateAverage(&size.output, float64(outputTokens), sizeWindow)
}

// meanSize returns the mean size of a route's requests.
func (e *endpointTracker) meanSize(route catalog.RouteName) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if size := e.sizes[route]; size != nil {
		return weightedSize(size.prompt.Mean, size.output.Mean)
	}
	return 0
}

// RouteLoads returns what this instance knows of the requests on a service's routes.
func (f *Forwarder) RouteLoads(name ticket.ServiceName) []rollout.RouteLoad {
	config := f.deps.Registry.View().Config
	if config == nil || config.Services[name] == nil {
		return nil
	}
	var list []rollout.RouteLoad
	for _, route := range config.RoutesOf(name) {
		list = append(list, f.endpoints.routeLoad(route, config.Services[name].Engine))
	}
	return list
}

// routeLoad returns what this instance knows of a route's requests; engine is nil for a plain
// service.
func (e *endpointTracker) routeLoad(route catalog.RouteName, engine *catalog.Engine) rollout.RouteLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	size := e.sizes[route]
	if size == nil {
		size = &routeSize{}
	}
	load := rollout.RouteLoad{Route: route, Requests: size.prompt.Count}
	if engine == nil {
		return load
	}
	load.PrefillTime = placement.PrefillTime(size.prompt.Mean)
	if p := e.paces[engine.LargestModel()]; p != nil {
		load.RunTime = clock.Millis(p.mean.Mean * size.output.Mean / float64(max(1, engine.TokensPerEvent)))
	}
	return load
}
