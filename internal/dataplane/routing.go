// Routing: finds the route and service of a request, distributes a route's requests over the services of its
// split, and tracks the mean response time of each route.

package dataplane

import (
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// routeState holds a proxy's state of a route: a smooth weighted round robin over its split, and the mean
// response time.
type routeState struct {
	split          []config.Share // nil until it is set up for the current configuration
	currentWeights []float64      // by share: increased by its weight at each choice, reduced by totalWeight when chosen
	totalWeight    float64        // sum of the weights of all shares
	meanMs         float64        // mean response time in ms, 0 if none was observed
	samples        int            // number of response times in the mean
}

// route returns the state of a route. It sets up the split if the configuration has changed.
func (p *Proxy) route(name string, route *config.Route) *routeState {
	state := p.routes[name]
	if state == nil {
		state = &routeState{}
		p.routes[name] = state
	}
	if state.split == nil {
		state.setSplit(route.Shares())
	}
	return state
}

func (r *routeState) setSplit(split []config.Share) {
	r.split, r.currentWeights, r.totalWeight = split, make([]float64, len(split)), 0
	for _, share := range split {
		r.totalWeight += share.Weight
	}
}

// resetRoutes restarts all splits after a change of the configuration and removes the routes that no longer
// exist.
func (p *Proxy) resetRoutes() {
	for name, state := range p.routes {
		if _, ok := p.configuration.Routes[name]; !ok && name != "" {
			delete(p.routes, name)
		}
		state.split = nil
	}
}

// nextService returns the service of the split whose current weight is greatest, and advances the round robin.
func (r *routeState) nextService() string {
	best := 0
	for i, share := range r.split {
		r.currentWeights[i] += share.Weight
		if r.currentWeights[i] > r.currentWeights[best] {
			best = i
		}
	}
	r.currentWeights[best] -= r.totalWeight
	return r.split[best].Service
}

// observe adds a response time in ms to the mean and returns the new mean.
func (r *routeState) observe(ms float64) float64 {
	r.samples++
	r.meanMs += max(tuning.ResponseTimeWeight, 1/float64(r.samples)) * (ms - r.meanMs)
	return r.meanMs
}

func (r *routeState) meanTime() time.Duration {
	return time.Duration(r.meanMs * float64(time.Millisecond))
}

// findRoute sets the route and service of a request. If nothing matches, or the request is pipelined and must
// not be, it rejects the request and returns false.
func (p *Proxy) findRoute(now time.Duration, req *request, event *statemachine.Admit) bool {
	name, route, ok := p.configuration.FindRoute(event.Host, event.Path)
	if !ok {
		return p.findRule(now, req, event)
	}
	if event.Pipelined && !route.Idempotent() {
		p.emit(statemachine.Reject{ID: event.ID, Code: statemachine.CodeNotPipelined})
		return false
	}
	req.routeName, req.route, req.routeState = name, route, p.route(name, &route)
	req.serviceName = req.routeState.nextService()
	return true
}

// findRule does the same as findRoute for the rules of the configuration, if no route matches.
func (p *Proxy) findRule(now time.Duration, req *request, event *statemachine.Admit) bool {
	serviceName, allowed, ok := p.configuration.FindRule(event.Host, event.Path, event.Method)
	switch {
	case !ok && len(allowed) > 0:
		p.Counts.Unmatched++
		p.emit(statemachine.Reject{ID: event.ID, Status: statemachine.StatusMethodNotAllowed, Code: "method", Message: "the rule for this path does not allow this method", Allowed: allowed})
		return false
	case !ok:
		p.Counts.Unmatched++
		p.Counts.NoRoute++
		p.reject(now, req, rejectedNoRule)
		return false
	}
	service := p.configuration.Services[serviceName]
	req.serviceName = serviceName
	req.route = config.Route{Kind: config.KindOnce, TimeoutMs: service.TimeoutMs, Attempts: service.Attempts, Service: serviceName}
	if isIdempotent(event.Method) {
		req.route.Kind = config.KindRepeatable
	}
	return true
}

// isIdempotent reports whether a request with this method may run more than once.
func isIdempotent(method string) bool {
	return method == "GET" || method == "HEAD" || method == "OPTIONS"
}
