// This file is a request's way through the proxy: which route it takes, whether it
// gets a target, waits for one or is refused, what follows a try, and its end.

package dataplane

import (
	"myrtlefold/internal/shared/statemachine"
	"slices"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// way is what is kept by route: whose turn in its split it is and what its
// requests usually take.
type routeState struct {
	split          []config.Share
	currentWeights []float64 // how far each of them is behind its weight
	totalWeight    float64
	meanMs         float64
	samples        int
}

// way is a route's, begun anew when its split has changed.
func (p *Proxy) route(name string, r *config.Route) *routeState {
	w := p.routes[name]
	if w == nil {
		w = &routeState{}
		p.routes[name] = w
	}
	if w.split == nil {
		w.split = r.Shares()
		w.currentWeights, w.totalWeight = make([]float64, len(w.split)), 0
		for _, s := range w.split {
			w.totalWeight += s.Weight
		}
	}
	return w
}

// nextService is the service whose turn in the split it is: each gains its weight, the one
// that is owed most goes and pays for all.
func (w *routeState) nextService() string {
	best := 0
	for i, s := range w.split {
		w.currentWeights[i] += s.Weight
		if w.currentWeights[i] > w.currentWeights[best] {
			best = i
		}
	}
	w.currentWeights[best] -= w.totalWeight
	return w.split[best].Service
}

// see takes a request's time in and returns the usual one.
func (w *routeState) observe(ms float64) float64 {
	w.samples++
	w.meanMs += max(tuning.ResponseTimeWeight, 1/float64(w.samples)) * (ms - w.meanMs)
	return w.meanMs
}

func (w *routeState) meanTime() time.Duration {
	return time.Duration(w.meanMs * float64(time.Millisecond))
}

// resetRoutes has splits begin anew under another configuration and drops the routes that
// it lacks.
func (p *Proxy) resetRoutes() {
	for n, w := range p.routes {
		if _, ok := p.configuration.Routes[n]; !ok && n != "" {
			delete(p.routes, n)
		}
		w.split = nil
	}
}

func (p *Proxy) service(n string) *serviceState {
	s := p.services[n]
	if s == nil {
		s = &serviceState{}
		if p.table != nil {
			s.retryCredit.slack = p.settings.Retry.slackOf(hashOf(n), p.settings.Self.Name, p.memberProxies, p.table.PreviousProxies)
		}
		p.services[n] = s
	}
	return s
}

// isIdempotent says whether requests of a rule may run more than once.
func isIdempotent(method string) bool {
	return method == "GET" || method == "HEAD" || method == "OPTIONS"
}

func (p *Proxy) admit(now time.Duration, e statemachine.Admit) {
	x := &request{id: e.ID, startedAt: now, timeoutUnknown: e.Timeout <= 0, deadline: now + e.Timeout}
	if p.acceptingStopped {
		p.rejectStopping(now, x)
		return
	}
	if !p.Serving() {
		p.Counts.NotServing++
		p.reject(now, x, 503, "not_serving", "this proxy has no fresh table")
		return
	}
	name, route, ok := p.configuration.FindRoute(e.Host, e.Path)
	if ok && e.Pipelined && !route.Idempotent() {
		p.emit(statemachine.Reject{ID: e.ID, Code: statemachine.CodeNotPipelined})
		return
	}
	if ok {
		x.routeName, x.route, x.routeState = name, route, p.route(name, &route)
		x.serviceName = x.routeState.nextService()
	} else {
		svc, allowed, ok := p.configuration.FindRule(e.Host, e.Path, e.Method)
		switch {
		case !ok && len(allowed) > 0:
			p.Counts.Unmatched++
			p.emit(statemachine.Reject{ID: e.ID, Status: 405, Code: "method", Message: "the rule for this path takes other methods", Allowed: allowed})
			return
		case !ok:
			p.Counts.Unmatched++
			p.Counts.NoRoute++
			p.reject(now, x, 404, "no_rule", "no rule for this host and path")
			return
		}
		set := p.configuration.Services[svc]
		x.serviceName, x.route = svc, config.Route{Kind: config.KindOnce, TimeoutMs: set.TimeoutMs, Attempts: set.Attempts, Service: svc}
		if isIdempotent(e.Method) {
			x.route.Kind = config.KindRepeatable
		}
	}
	x.serviceConfig = p.configuration.Services[x.serviceName]
	d := x.route.Timeout()
	if e.Timeout > 0 {
		d = min(d, e.Timeout)
	}
	x.deadline = now + d
	if !p.fitsShutdown(now, x) {
		p.rejectStopping(now, x)
		return
	}
	p.requests[x.id] = x
	s := p.service(x.serviceName)
	s.countArrival(now, x)
	p.schedule(now, x, true)
}

// schedule gives the request a target, lets it wait, or refuses it.
func (p *Proxy) schedule(now time.Duration, x *request, mayWait bool) {
	s := p.service(x.serviceName)
	if p.deadlineTooClose(now, x, s) {
		p.Counts.DeadlineTooClose++
		p.reject(now, x, 503, "late", "it could not be answered in time")
		return
	}
	full := x.serviceConfig.MaxInFlight > 0 && s.inFlight >= p.shareOf(x.serviceConfig.MaxInFlight, x.serviceName)
	var t *targetState
	any := true
	if !full && !(mayWait && p.mustQueue(s, x)) {
		t, any = p.chooseTarget(now, x)
	}
	if !any && x.routeState != nil {
		for _, o := range x.routeState.split {
			if o.Service == x.serviceName {
				continue
			}
			was, set := x.serviceName, x.serviceConfig
			x.serviceName, x.serviceConfig = o.Service, p.configuration.Services[o.Service]
			if c, _ := p.chooseTarget(now, x); c != nil && (!x.isRetry || p.service(x.serviceName).retryCredit.available(now, p.settings.Retry)) {
				t, any, s = c, true, p.service(x.serviceName)
				p.Counts.SplitFallbacks++
				break
			}
			x.serviceName, x.serviceConfig = was, set
		}
	}
	switch {
	case t != nil:
		p.forward(now, x, t, s)
	case !any:
		p.Counts.NoTarget++
		p.reject(now, x, 503, "no_target", "no target of the service may be used")
	case mayWait && p.enqueue(now, x, s):
	default:
		s.pressureAt = now
		p.Counts.Busy++
		p.reject(now, x, 503, "busy", "every target of the service is busy")
	}
}

func (p *Proxy) forward(now time.Duration, x *request, t *targetState, s *serviceState) {
	x.queued, x.target = false, t
	x.attempts++
	if !x.forwarded {
		x.forwarded = true // one that is refused brings its service no traffic
		x.arrivedAt.fairness.countForward(now, priorityLevel(x.route.Priority))
		s.retryCredit.countRequest(now, p.settings.Retry)
	}
	if x.isRetry {
		s.retryCredit.spend()
		p.Counts.Retries++
	}
	if t.warmingUp(now, x) {
		t.nextWarmupAt = now + t.warmupInterval
	}
	t.inFlight++
	t.lastUsedAt = now
	s.inFlight++
	p.Counts.Forwarded++
	p.emit(statemachine.Forward{ID: x.id, Service: x.serviceName, ServiceConfig: x.serviceConfig, RouteName: x.routeName, Route: x.route, Target: t.Target, TimeLeft: x.deadline - now, WorkTime: p.workTime(now, x), WriteBy: now + tuning.ChoiceTTL, MayRetry: x.attempts < x.route.Attempts, ConnectTimeout: connectTimeout(&x.route), MaxIdle: p.maxIdleConnections(t, x.serviceConfig)})
}

// deadlineTooClose says that a service under pressure better spends its time on others.
func (p *Proxy) deadlineTooClose(now time.Duration, x *request, s *serviceState) bool {
	return x.routeState != nil && s.underPressure(now) && x.deadline-now < x.routeState.meanTime()
}

// mustQueue says that others of its rank or before it wait already.
func (p *Proxy) mustQueue(s *serviceState, x *request) bool {
	return len(s.queue) > 0 && p.requests[s.queue[0]].priority <= x.priority
}

// enqueue puts the request among those that wait, by priority and then by when they
// came. On a route it waits for a part of its aim at most, and only as many do as have
// a chance of a target by then; one of a lower priority makes room.
func (p *Proxy) enqueue(now time.Duration, x *request, s *serviceState) bool {
	most := time.Duration(x.serviceConfig.QueueTimeoutMs) * time.Millisecond
	room := 0
	if x.routeState == nil {
		if most == 0 {
			return false
		}
		room = p.shareOf(x.serviceConfig.QueueLength, x.serviceName)
	} else {
		most = expectedTime(&x.route) / tuning.WaitTargetParts
		most = min(x.startedAt+most-now, x.deadline-now-x.routeState.meanTime())
		if most <= 0 {
			return false
		}
		room = tuning.QueueMin
		if s.meanMs > 0 {
			room += int(max(s.window, 1) * float64(most.Milliseconds()) / s.meanMs)
		}
	}
	if len(s.queue) >= room {
		n := len(s.queue)
		if n == 0 {
			return false
		}
		o := p.requests[s.queue[n-1]]
		if o.priority <= x.priority {
			return false
		}
		p.Counts.Preempted++
		p.reject(now, o, 503, "busy", "every target of the service is busy")
	}
	x.queued = true
	x.queuedUntil = min(now+most, x.deadline)
	at, _ := slices.BinarySearchFunc(s.queue, x.priority, func(id uint64, priority int) int {
		if p.requests[id].priority <= priority {
			return -1
		}
		return 1
	})
	s.queue = slices.Insert(s.queue, at, x.id)
	s.pressureAt = now
	p.Counts.Queued++
	return true
}

// reject gives the final answer. A caller whose time is known is told to come back
// while it still has some, each at another moment.
func (p *Proxy) reject(now time.Duration, x *request, status int, code, msg string) {
	r := statemachine.Reject{ID: x.id, Status: status, Code: code, Message: msg}
	if status == 503 {
		spread := x.id * 2654435761 >> 8
		r.RetryAfter = tuning.RetryAfterMin + time.Duration(spread%uint64(tuning.RetryAfterSpan))
		if !x.timeoutUnknown {
			base := x.route.LatencyTarget()
			if base == 0 {
				base = x.deadline - x.startedAt
			}
			base = max(base/8, 1)
			r.RetryAfter = max(tuning.RetryAfterFloor, min(base+time.Duration(spread%uint64(base)), (x.deadline-now)/tuning.RetryAfterTimeParts))
		}
	}
	p.emit(r)
	if status >= 500 && x.serviceName != "" {
		p.countObjectives(now, x, false)
	}
	p.removeRequest(x)
}

// countObjectives counts a request's end for the aims of its service.
func (p *Proxy) countObjectives(now time.Duration, x *request, good bool) {
	for n, a := range p.configuration.Objectives {
		if a.Service != x.serviceName {
			continue
		}
		if p.objectives[n] == nil {
			p.objectives[n] = &objectiveCounts{}
		}
		min := int(now / time.Minute)
		m := &p.objectives[n].minutes[min%tuning.ObjectiveMinutes]
		if m.minute != min {
			m.minute, m.good, m.all = min, 0, 0
		}
		m.all++
		if good && (a.LatencyTargetMs == 0 || now-x.startedAt <= time.Duration(a.LatencyTargetMs)*time.Millisecond) {
			m.good++
		}
	}
}

// removeRequest drops a request that has its final answer.
func (p *Proxy) removeRequest(x *request) {
	delete(p.requests, x.id)
	if x.queued {
		s := p.service(x.serviceName)
		s.queue = slices.DeleteFunc(s.queue, func(id uint64) bool { return id == x.id })
	}
}

// retry gives another target to a request that may have one. The answer to one that
// may run only once, and whose latest try may have run, is final.
func (p *Proxy) retry(now time.Duration, e statemachine.Retry) {
	x := p.requests[e.ID]
	if x == nil || x.target != nil || x.queued {
		return
	}
	if !e.Sent && (x.lastOutcome == statemachine.ConnectFailed || x.lastOutcome == statemachine.ChoiceExpired) {
		x.attempts, x.failedConnects = x.attempts-1, x.failedConnects+1 // attempts are targets that it was sent to
	}
	ran := x.lastOutcome == statemachine.Served || x.lastOutcome == statemachine.ServerError || x.lastOutcome == statemachine.ResponseLost
	x.isRetry = x.isRetry || e.Sent || x.lastOutcome == statemachine.TargetRejected || x.lastOutcome == statemachine.WrongIdentity && x.serviceConfig.HasHealthCheck()
	switch {
	case !x.route.Idempotent() && ran && (e.Sent || x.routeState != nil):
		p.Counts.NotRepeatable++
		p.reject(now, x, 502, "may_have_run", "it may have run and must not run again")
	case !p.Serving():
		p.reject(now, x, 503, "not_serving", "this proxy has no fresh table")
	case x.attempts >= x.route.Attempts || x.failedConnects >= tuning.ConnectAttemptsMax || now >= x.deadline:
		p.reject(now, x, 503, "tries", "no try is left")
	case x.isRetry && !p.service(x.serviceName).retryCredit.available(now, p.settings.Retry):
		p.Counts.RetriesDenied++
		p.reject(now, x, 503, "retry_budget", "the service's retry budget is used up")
	default:
		p.schedule(now, x, x.routeState != nil)
	}
}

func (p *Proxy) attemptDone(now time.Duration, e statemachine.AttemptDone) {
	x := p.requests[e.ID]
	if x == nil {
		return
	}
	if t := x.target; t != nil {
		s := p.service(x.serviceName)
		p.learn(now, t, x, s, e)
		t.inFlight--
		s.inFlight--
		x.target, x.lastOutcome = nil, e.Outcome
		if e.Outcome != statemachine.ChoiceExpired {
			x.triedTargets = append(x.triedTargets, t.ID())
		}
		if e.Outcome != statemachine.ChoiceExpired && e.Outcome != statemachine.ConnectFailed && e.Outcome != statemachine.WrongIdentity && e.Outcome != statemachine.ClientGone {
			t.failedConnects = 0
		}
		switch e.Outcome {
		case statemachine.Served:
			t.lastServedAt = now
			t.statistics.Successes++
			t.statistics.TotalMs += e.Milliseconds
			if x.serviceConfig.SlowMs > 0 && e.Milliseconds > float64(x.serviceConfig.SlowMs) {
				t.statistics.Slow++
			}
		case statemachine.ServerError, statemachine.ResponseLost:
			t.statistics.Errors++
			t.statistics.TotalMs += e.Milliseconds
		case statemachine.TargetRejected:
			t.statistics.Rejected++
		case statemachine.ChoiceExpired:
			p.Counts.ExpiredChoices++
		case statemachine.ConnectFailed, statemachine.WrongIdentity:
			t.statistics.Errors++
			t.avoidedUntil = now + tuning.AvoidFor
			p.Counts.AvoidedTargets++
			if t.failedConnects++; t.failedConnects >= tuning.ProbeMisses {
				t.ownEjectionUntil = max(t.ownEjectionUntil, now+tuning.ClosedEjection)
				p.Counts.OwnEjections++
			}
		}
	}
	if e.Last {
		if e.Outcome != statemachine.ClientGone {
			p.countObjectives(now, x, e.Outcome == statemachine.Served)
		}
		p.removeRequest(x)
	}
	p.serveQueue(now, p.service(x.serviceName))
}

func (p *Proxy) cancel(now time.Duration, e statemachine.Cancel) {
	x := p.requests[e.ID]
	if x == nil {
		return
	}
	if e.Failed {
		p.countObjectives(now, x, false)
	}
	if x.target != nil {
		p.attemptDone(now, statemachine.AttemptDone{ID: e.ID, Outcome: statemachine.ClientGone, Last: true})
		return
	}
	p.removeRequest(x)
}

// queues refuses those that have waited long enough, and gives the others what
// became free meanwhile.
func (p *Proxy) processQueues(now time.Duration) {
	var waited []string
	for n, s := range p.services {
		if len(s.queue) > 0 {
			waited = append(waited, n)
		}
	}
	slices.Sort(waited)
	for _, n := range waited {
		s := p.services[n]
		for _, id := range slices.Clone(s.queue) {
			if x := p.requests[id]; now >= x.queuedUntil {
				p.Counts.Busy++
				s.pressureAt = now
				p.reject(now, x, 503, "busy", "every target of the service is busy")
			}
		}
		p.serveQueue(now, s)
	}
}

// serveQueue gives what became free to those who wait, in their order.
func (p *Proxy) serveQueue(now time.Duration, s *serviceState) {
	for p.Serving() && len(s.queue) > 0 {
		x := p.requests[s.queue[0]]
		full := x.serviceConfig.MaxInFlight > 0 && s.inFlight >= p.shareOf(x.serviceConfig.MaxInFlight, x.serviceName)
		t, any := p.chooseTarget(now, x)
		if full || t == nil && any {
			break
		}
		s.queue = s.queue[1:]
		x.queued = false
		if t == nil || p.deadlineTooClose(now, x, s) {
			p.schedule(now, x, false)
			continue
		}
		if x.isRetry && !s.retryCredit.available(now, p.settings.Retry) {
			p.Counts.RetriesDenied++
			p.reject(now, x, 503, "retry_budget", "the service's retry budget is used up")
			continue
		}
		p.forward(now, x, t, s)
	}
}

// reportUnreachable tells which targets nothing reaches, when that has changed.
func (p *Proxy) reportUnreachable(now time.Duration) {
	n, same := 0, true
	is := func(t *targetState) bool {
		return t.ejectedUntil > now && t.ejectedAsUnreachable || t.ownEjectionUntil > now && t.missedProbes >= tuning.ProbeMisses
	}
	for id, t := range p.targets {
		if is(t) {
			n++
			same = same && p.unreachable[id]
		}
	}
	if same && n == len(p.unreachable) {
		return
	}
	dark := make(map[wire.TargetID]bool, n)
	for id, t := range p.targets {
		if is(t) {
			dark[id] = true
		}
	}
	p.unreachable = dark
	p.emit(statemachine.UnreachableTargets{IDs: dark})
}
