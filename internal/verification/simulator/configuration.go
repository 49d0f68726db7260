package simulator

import "myrtlefold/internal/shared/config"

const (
	// defaultConcurrencyLimit is the configured maximum number of concurrent requests for each target.
	defaultConcurrencyLimit = 40
	// timeoutBase is the request timeout in document 0, in milliseconds. Document n has the timeout timeoutBase + n.
	timeoutBase = 1000
	// routeLatencyTarget is the latency target of routes in milliseconds, and routeAttempts their maximum number of
	// attempts.
	routeLatencyTarget = 400
	routeAttempts      = 3
)

// Document returns a configuration of all services of the plan. Documents with different numbers differ.
func (w *World) Document(number int) []byte {
	return w.DocumentFor(number, defaultConcurrencyLimit, w.services())
}

// DocumentFor returns a configuration of the given services. limit is the maximum number of concurrent requests for each
// target.
func (w *World) DocumentFor(number, limit int, services []string) []byte {
	settings, routes := map[string]any{}, map[string]config.Route{}
	var rules []any
	for _, service := range services {
		settings[service] = w.serviceSettings(number, limit)
		for kind, prefix := range map[config.RouteKind]string{config.KindRepeatable: "/" + service + "/", config.KindOnce: "/" + service + "/once/"} {
			routes[service+"-"+string(kind)] = config.Route{Prefix: prefix, Kind: kind, TimeoutMs: timeoutBase + number, LatencyTargetMs: routeLatencyTarget, Attempts: routeAttempts, Service: service}
		}
		rules = append(rules, map[string]any{"path": "/" + service + "/", "service": service})
	}
	document := map[string]any{"services": settings, "rules": rules}
	if w.Plan.Slots > 0 {
		document["rules"], document["routes"] = []any{}, routes
	}
	return mustMarshal(document)
}

func (w *World) serviceSettings(number, limit int) map[string]any {
	service := map[string]any{"cap": limit, "warm_cap": w.warmingLimit(limit), "timeout_ms": timeoutBase + number}
	if w.Plan.WarmupRate > 0 {
		service["cold_per_s"], service["cold_s"] = w.Plan.WarmupRate, warmupTime.Seconds()
	}
	if w.Plan.ConnectionLimit > 0 {
		service["conn_cap"] = w.Plan.ConnectionLimit
	}
	return service
}

// warmingLimit returns the maximum number of concurrent requests for a target in state warming.
func (w *World) warmingLimit(limit int) int {
	if w.disabledGuard == guardWarmingConcurrency {
		return limit
	}
	return min(limit, warmingConcurrency)
}

// nextDocumentNumber returns a document number that is unique in the run, since two equal documents on the same base may both
// be accepted.
func (w *World) nextDocumentNumber() int { return 1000 + len(w.operators.changes) }
