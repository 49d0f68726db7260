package dataplane

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// request holds a caller's request from its admission to its final response.
type request struct {
	id             uint64
	startedAt      time.Duration
	deadline       time.Duration
	timeoutUnknown bool // the caller sent no timeout

	// Route and service.
	routeName      string       // "" if a rule matched
	route          config.Route // for a rule, made from its service's settings
	routeState     *routeState  // nil if a rule matched
	serviceName    string
	serviceConfig  config.Service
	priority       int           // its route's, or 0 if that priority was starved on arrival
	arrivalService *serviceState // the service that counted its arrival; a split may move it to another one

	// Queue.
	queued      bool
	queuedUntil time.Duration

	// Attempts.
	target         *targetState // of the current attempt, nil between attempts
	triedTargets   []wire.TargetID
	attempts       int                  // attempts that may have reached their target
	failedConnects int                  // attempts that ended before anything was sent
	lastOutcome    statemachine.Outcome // of the latest attempt
	forwarded      bool                 // it has been forwarded at least once, and counted for the retry budget
	isRetry        bool                 // a target may have received part of it, so the next attempt is charged to the retry budget
}

// serviceState holds a proxy's state of a service.
type serviceState struct {
	targets      []*targetState // sorted by id
	quotaTargets []*targetState // targets where this proxy has a quota of slots
	reportsSlots bool           // its targets report how many slots they have
	evenQuota    float64        // the slots of all targets divided by the number of live proxies

	// Load.
	inFlight   int           // this proxy's requests at targets
	window     float64       // limit of inFlight for borrowing slots beyond the quota
	pressureAt time.Duration // time of the latest sign that there are more requests than slots, 0 if never
	meanMs     float64       // mean response time in ms, 0 if none was observed
	queue      []uint64      // ids of queued requests in the order in which they are served

	retryCredit  retryCredit
	fairness     fairness
	lastArrivals [tuning.PriorityLevels]time.Duration // when the last request arrived, by priority level
}

// service returns the state of a service and creates it on first use.
func (p *Proxy) service(name string) *serviceState {
	service := p.services[name]
	if service == nil {
		service = &serviceState{}
		if p.table != nil {
			service.retryCredit.slack = p.retryBudgetSlack(name)
		}
		p.services[name] = service
	}
	return service
}

// underPressure reports whether requests exceeded the slots within the last tuning.PressureTTL.
func (s *serviceState) underPressure(now time.Duration) bool {
	return s.pressureAt > 0 && now-s.pressureAt < tuning.PressureTTL
}

// removeRequest removes a request that has its final response, also from its queue.
func (p *Proxy) removeRequest(req *request) {
	delete(p.requests, req.id)
	if req.queued {
		service := p.service(req.serviceName)
		service.queue = slices.DeleteFunc(service.queue, func(id uint64) bool { return id == req.id })
	}
}
