package dataplane

import (
	"slices"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// request is a caller's request from its admission to its final response.
type request struct {
	id             uint64
	startedAt      time.Duration
	deadline       time.Duration
	timeoutUnknown bool // the caller did not say how long it waits

	// Route and service.
	routeName     string       // "" for a rule
	route         config.Route // for a rule one with its service's numbers
	routeState    *routeState  // nil for a rule
	serviceName   string
	serviceConfig config.Service
	priority      int           // its route's, or 0 while that is starved
	arrivedAt     *serviceState // the service that counted its arrival; a split may send it to another one

	// Queue.
	queued      bool
	queuedUntil time.Duration

	// Attempts.
	target         *targetState // where it is now, nil: nowhere
	triedTargets   []wire.TargetID
	attempts       int                  // those that may have been sent to their targets
	failedConnects int                  // those that ended before anything was sent
	lastOutcome    statemachine.Outcome // of the latest attempt
	forwarded      bool                 // it has been forwarded, and counted for the retry budget
	isRetry        bool                 // a target may have got some of it: another attempt draws on the retry budget
}

// serviceState is what a proxy keeps of a service.
type serviceState struct {
	targets      []*targetState // sorted by id
	quotaTargets []*targetState // those of them where this proxy has a quota of slots
	reportsSlots bool           // its targets report how many slots they have
	evenQuota    float64        // the slots of all targets divided evenly among the live proxies

	// Load.
	inFlight   int           // this proxy's requests at targets
	window     float64       // how many of them there may be when slots are borrowed
	pressureAt time.Duration // the latest sign that there are more requests than slots
	meanMs     float64       // mean response time
	queue      []uint64      // ids of the requests that wait, in the order in which they are served

	retryCredit  retryCredit
	fairness     fairness
	lastArrivals [tuning.PriorityLevels]time.Duration // by priority
}

// service returns the state of a service, which is made at its first use.
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

func (s *serviceState) underPressure(now time.Duration) bool {
	return s.pressureAt > 0 && now-s.pressureAt < tuning.PressureTTL
}

// removeRequest forgets a request that has its final response.
func (p *Proxy) removeRequest(req *request) {
	delete(p.requests, req.id)
	if req.queued {
		service := p.service(req.serviceName)
		service.queue = slices.DeleteFunc(service.queue, func(id uint64) bool { return id == req.id })
	}
}
