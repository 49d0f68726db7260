package simulator

import "myrtlefold/internal/shared/config"

const (
	// usualCap is the cap of requests at once for each target in configurations of the plan.
	usualCap = 40
	// timeoutBase is the time-out of document 0 in milliseconds; each number has its own time-out.
	timeoutBase = 1000
	// routeLatencyTarget is the latency target of routes in milliseconds, routeAttempts their attempts.
	routeLatencyTarget = 400
	routeAttempts      = 3
)

// Document is a configuration of all services of the plan; its number tells it from others.
func (w *World) Document(number int) []byte {
	return w.DocumentFor(number, usualCap, w.services())
}

// DocumentFor is a configuration of some services, with a cap of requests at once for each target.
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
	service := map[string]any{"cap": limit, "warm_cap": w.warmupCap(limit), "timeout_ms": timeoutBase + number}
	if w.Plan.WarmupRate > 0 {
		service["cold_per_s"], service["cold_s"] = w.Plan.WarmupRate, warmupTime.Seconds()
	}
	if w.Plan.ConnectionLimit > 0 {
		service["conn_cap"] = w.Plan.ConnectionLimit
	}
	return service
}

// warmupCap is the cap of requests at once for a target in state warming.
func (w *World) warmupCap(limit int) int {
	if w.disabledGuard == guardWarmingConcurrency {
		return limit
	}
	return min(limit, warmingConcurrency)
}

// nextDocumentNumber tells each configuration of a run from all others: the same one sent
// twice on one base is rightly accepted twice.
func (w *World) nextDocumentNumber() int { return 1000 + len(w.operators.changes) }
