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
	shares []config.Share
	owed   []float64 // how far each of them is behind its weight
	sum    float64
	mean   float64
	seen   int
}

// way is a route's, begun anew when its split has changed.
func (g *Proxy) routeState(name string, r *config.Route) *routeState {
	w := g.routeStates[name]
	if w == nil {
		w = &routeState{}
		g.routeStates[name] = w
	}
	if w.shares == nil {
		w.shares = r.Shares()
		w.owed, w.sum = make([]float64, len(w.shares)), 0
		for _, s := range w.shares {
			w.sum += s.Weight
		}
	}
	return w
}

// next is the service whose turn in the split it is: each gains its weight, the one
// that is owed most goes and pays for all.
func (w *routeState) next() string {
	best := 0
	for i, s := range w.shares {
		w.owed[i] += s.Weight
		if w.owed[i] > w.owed[best] {
			best = i
		}
	}
	w.owed[best] -= w.sum
	return w.shares[best].Service
}

// see takes a request's time in and returns the usual one.
func (w *routeState) see(ms float64) float64 {
	w.seen++
	w.mean += max(tuning.ResponseTimeWeight, 1/float64(w.seen)) * (ms - w.mean)
	return w.mean
}

func (w *routeState) usual() time.Duration { return time.Duration(w.mean * float64(time.Millisecond)) }

// forget has splits begin anew under another configuration and drops the routes that
// it lacks.
func (g *Proxy) forget() {
	for n, w := range g.routeStates {
		if _, ok := g.cfg.Routes[n]; !ok && n != "" {
			delete(g.routeStates, n)
		}
		w.shares = nil
	}
}

func (g *Proxy) service(n string) *service {
	s := g.services[n]
	if s == nil {
		s = &service{}
		if g.table != nil {
			s.budget.part = g.settings.Retry.slack(hash(n), g.settings.Self.Name, g.listed, g.table.PreviousProxies)
		}
		g.services[n] = s
	}
	return s
}

// idempotent says whether requests of a rule may run more than once.
func idempotent(method string) bool {
	return method == "GET" || method == "HEAD" || method == "OPTIONS"
}

func (g *Proxy) admit(now time.Duration, e statemachine.Admit) {
	x := &request{id: e.ID, start: now, unknown: e.Timeout <= 0, deadline: now + e.Timeout}
	if g.intakeClosed {
		g.refuseStopping(now, x)
		return
	}
	if !g.Serving() {
		g.Counts.NotServing++
		g.refuse(now, x, 503, "not_serving", "this proxy has no fresh table")
		return
	}
	name, route, ok := g.cfg.FindRoute(e.Host, e.Path)
	if ok && e.Pipelined && !route.Idempotent() {
		g.emit(statemachine.Reject{ID: e.ID, Code: statemachine.CodeNotPipelined})
		return
	}
	if ok {
		x.name, x.route, x.way = name, route, g.routeState(name, &route)
		x.svc = x.way.next()
	} else {
		svc, allowed, ok := g.cfg.FindRule(e.Host, e.Path, e.Method)
		switch {
		case !ok && len(allowed) > 0:
			g.Counts.Unmatched++
			g.emit(statemachine.Reject{ID: e.ID, Status: 405, Code: "method", Message: "the rule for this path takes other methods", Allowed: allowed})
			return
		case !ok:
			g.Counts.Unmatched++
			g.Counts.NoRoute++
			g.refuse(now, x, 404, "no_rule", "no rule for this host and path")
			return
		}
		set := g.cfg.Services[svc]
		x.svc, x.route = svc, config.Route{Kind: config.KindOnce, TimeoutMs: set.TimeoutMs, Attempts: set.Attempts, Service: svc}
		if idempotent(e.Method) {
			x.route.Kind = config.KindRepeatable
		}
	}
	x.set = g.cfg.Services[x.svc]
	d := x.route.Timeout()
	if e.Timeout > 0 {
		d = min(d, e.Timeout)
	}
	x.deadline = now + d
	if !g.boundByStop(now, x) {
		g.refuseStopping(now, x)
		return
	}
	g.requests[x.id] = x
	s := g.service(x.svc)
	s.enroll(now, x)
	g.place(now, x, true)
}

// place gives the request a target, lets it wait, or refuses it.
func (g *Proxy) place(now time.Duration, x *request, mayWait bool) {
	s := g.service(x.svc)
	if g.tooLate(now, x, s) {
		g.Counts.DeadlineTooClose++
		g.refuse(now, x, 503, "late", "it could not be answered in time")
		return
	}
	full := x.set.MaxInFlight > 0 && s.inflight >= g.share(x.set.MaxInFlight, x.svc)
	var t *target
	any := true
	if !full && !(mayWait && g.behind(s, x)) {
		t, any = g.choose(now, x)
	}
	if !any && x.way != nil {
		for _, o := range x.way.shares {
			if o.Service == x.svc {
				continue
			}
			was, set := x.svc, x.set
			x.svc, x.set = o.Service, g.cfg.Services[o.Service]
			if c, _ := g.choose(now, x); c != nil && (!x.repeat || g.service(x.svc).budget.has(now, g.settings.Retry)) {
				t, any, s = c, true, g.service(x.svc)
				g.Counts.SplitFallbacks++
				break
			}
			x.svc, x.set = was, set
		}
	}
	switch {
	case t != nil:
		g.give(now, x, t, s)
	case !any:
		g.Counts.NoTarget++
		g.refuse(now, x, 503, "no_target", "no target of the service may be used")
	case mayWait && g.mayWait(now, x, s):
	default:
		s.pressAt = now
		g.Counts.Busy++
		g.refuse(now, x, 503, "busy", "every target of the service is busy")
	}
}

func (g *Proxy) give(now time.Duration, x *request, t *target, s *service) {
	x.waiting, x.at = false, t
	x.tries++
	if !x.earned {
		x.earned = true // one that is refused brings its service no traffic
		x.askedAt.fair.give(now, rankOf(x.route.Priority))
		s.budget.earn(now, g.settings.Retry)
	}
	if x.repeat {
		s.budget.spend()
		g.Counts.Retries++
	}
	if t.cold(now, x) {
		t.coldNext = now + t.coldGap
	}
	t.inflight++
	t.usedAt = now
	s.inflight++
	g.Counts.Forwarded++
	g.emit(statemachine.Forward{ID: x.id, Service: x.svc, ServiceConfig: x.set, RouteName: x.name, Route: x.route, Target: t.Target, TimeLeft: x.deadline - now, WorkTime: g.targetTime(now, x), WriteBy: now + tuning.ChoiceTTL, MayRetry: x.tries < x.route.Attempts, ConnectTimeout: connectTime(&x.route), MaxIdle: g.idleConns(t, x.set)})
}

// tooLate says that a service under pressure better spends its time on others.
func (g *Proxy) tooLate(now time.Duration, x *request, s *service) bool {
	return x.way != nil && s.pressed(now) && x.deadline-now < x.way.usual()
}

// behind says that others of its rank or before it wait already.
func (g *Proxy) behind(s *service, x *request) bool {
	return len(s.queue) > 0 && g.requests[s.queue[0]].priority <= x.priority
}

// mayWait puts the request among those that wait, by priority and then by when they
// came. On a route it waits for a part of its aim at most, and only as many do as have
// a chance of a target by then; one of a lower priority makes room.
func (g *Proxy) mayWait(now time.Duration, x *request, s *service) bool {
	most := time.Duration(x.set.QueueTimeoutMs) * time.Millisecond
	room := 0
	if x.way == nil {
		if most == 0 {
			return false
		}
		room = g.share(x.set.QueueLength, x.svc)
	} else {
		most = wantedTime(&x.route) / tuning.WaitTargetParts
		most = min(x.start+most-now, x.deadline-now-x.way.usual())
		if most <= 0 {
			return false
		}
		room = tuning.QueueMin
		if s.mean > 0 {
			room += int(max(s.window, 1) * float64(most.Milliseconds()) / s.mean)
		}
	}
	if len(s.queue) >= room {
		n := len(s.queue)
		if n == 0 {
			return false
		}
		o := g.requests[s.queue[n-1]]
		if o.priority <= x.priority {
			return false
		}
		g.Counts.Preempted++
		g.refuse(now, o, 503, "busy", "every target of the service is busy")
	}
	x.waiting = true
	x.waitTill = min(now+most, x.deadline)
	at, _ := slices.BinarySearchFunc(s.queue, x.priority, func(id uint64, p int) int {
		if g.requests[id].priority <= p {
			return -1
		}
		return 1
	})
	s.queue = slices.Insert(s.queue, at, x.id)
	s.pressAt = now
	g.Counts.Queued++
	return true
}

// refuse gives the final answer. A caller whose time is known is told to come back
// while it still has some, each at another moment.
func (g *Proxy) refuse(now time.Duration, x *request, status int, code, msg string) {
	r := statemachine.Reject{ID: x.id, Status: status, Code: code, Message: msg}
	if status == 503 {
		spread := x.id * 2654435761 >> 8
		r.RetryAfter = tuning.RetryAfterMin + time.Duration(spread%uint64(tuning.RetryAfterSpan))
		if !x.unknown {
			base := x.route.LatencyTarget()
			if base == 0 {
				base = x.deadline - x.start
			}
			base = max(base/8, 1)
			r.RetryAfter = max(tuning.RetryAfterFloor, min(base+time.Duration(spread%uint64(base)), (x.deadline-now)/tuning.RetryAfterTimeParts))
		}
	}
	g.emit(r)
	if status >= 500 && x.svc != "" {
		g.aim(now, x, false)
	}
	g.leave(x)
}

// aim counts a request's end for the aims of its service.
func (g *Proxy) aim(now time.Duration, x *request, good bool) {
	for n, a := range g.cfg.Objectives {
		if a.Service != x.svc {
			continue
		}
		if g.aims[n] == nil {
			g.aims[n] = &aimCounts{}
		}
		min := int(now / time.Minute)
		m := &g.aims[n].minutes[min%tuning.ObjectiveMinutes]
		if m.minute != min {
			m.minute, m.good, m.all = min, 0, 0
		}
		m.all++
		if good && (a.LatencyTargetMs == 0 || now-x.start <= time.Duration(a.LatencyTargetMs)*time.Millisecond) {
			m.good++
		}
	}
}

// leave drops a request that has its final answer.
func (g *Proxy) leave(x *request) {
	delete(g.requests, x.id)
	if x.waiting {
		s := g.service(x.svc)
		s.queue = slices.DeleteFunc(s.queue, func(id uint64) bool { return id == x.id })
	}
}

// again gives another target to a request that may have one. The answer to one that
// may run only once, and whose latest try may have run, is final.
func (g *Proxy) again(now time.Duration, e statemachine.Retry) {
	x := g.requests[e.ID]
	if x == nil || x.at != nil || x.waiting {
		return
	}
	if !e.Sent && (x.last == statemachine.ConnectFailed || x.last == statemachine.ChoiceExpired) {
		x.tries, x.opens = x.tries-1, x.opens+1 // attempts are targets that it was sent to
	}
	ran := x.last == statemachine.Served || x.last == statemachine.ServerError || x.last == statemachine.ResponseLost
	x.repeat = x.repeat || e.Sent || x.last == statemachine.TargetRejected || x.last == statemachine.WrongIdentity && x.set.HasHealthCheck()
	switch {
	case !x.route.Idempotent() && ran && (e.Sent || x.way != nil):
		g.Counts.NotRepeatable++
		g.refuse(now, x, 502, "may_have_run", "it may have run and must not run again")
	case !g.Serving():
		g.refuse(now, x, 503, "not_serving", "this proxy has no fresh table")
	case x.tries >= x.route.Attempts || x.opens >= tuning.ConnectAttemptsMax || now >= x.deadline:
		g.refuse(now, x, 503, "tries", "no try is left")
	case x.repeat && !g.service(x.svc).budget.has(now, g.settings.Retry):
		g.Counts.RetriesDenied++
		g.refuse(now, x, 503, "retry_budget", "the service's retry budget is used up")
	default:
		g.place(now, x, x.way != nil)
	}
}

func (g *Proxy) done(now time.Duration, e statemachine.AttemptDone) {
	x := g.requests[e.ID]
	if x == nil {
		return
	}
	if t := x.at; t != nil {
		s := g.service(x.svc)
		g.learn(now, t, x, s, e)
		t.inflight--
		s.inflight--
		x.at, x.last = nil, e.Outcome
		if e.Outcome != statemachine.ChoiceExpired {
			x.tried = append(x.tried, t.ID())
		}
		if e.Outcome != statemachine.ChoiceExpired && e.Outcome != statemachine.ConnectFailed && e.Outcome != statemachine.WrongIdentity && e.Outcome != statemachine.ClientGone {
			t.closed = 0
		}
		switch e.Outcome {
		case statemachine.Served:
			t.answeredAt = now
			t.seen.Successes++
			t.seen.TotalMs += e.Milliseconds
			if x.set.SlowMs > 0 && e.Milliseconds > float64(x.set.SlowMs) {
				t.seen.Slow++
			}
		case statemachine.ServerError, statemachine.ResponseLost:
			t.seen.Errors++
			t.seen.TotalMs += e.Milliseconds
		case statemachine.TargetRejected:
			t.seen.Rejected++
		case statemachine.ChoiceExpired:
			g.Counts.ExpiredChoices++
		case statemachine.ConnectFailed, statemachine.WrongIdentity:
			t.seen.Errors++
			t.avoidUntil = now + tuning.AvoidFor
			g.Counts.AvoidedTargets++
			if t.closed++; t.closed >= tuning.ProbeMisses {
				t.ownEjection = max(t.ownEjection, now+tuning.ClosedEjection)
				g.Counts.OwnEjections++
			}
		}
	}
	if e.Last {
		if e.Outcome != statemachine.ClientGone {
			g.aim(now, x, e.Outcome == statemachine.Served)
		}
		g.leave(x)
	}
	g.serveQueue(now, g.service(x.svc))
}

func (g *Proxy) cancel(now time.Duration, e statemachine.Cancel) {
	x := g.requests[e.ID]
	if x == nil {
		return
	}
	if e.Failed {
		g.aim(now, x, false)
	}
	if x.at != nil {
		g.done(now, statemachine.AttemptDone{ID: e.ID, Outcome: statemachine.ClientGone, Last: true})
		return
	}
	g.leave(x)
}

// queues refuses those that have waited long enough, and gives the others what
// became free meanwhile.
func (g *Proxy) queues(now time.Duration) {
	var waited []string
	for n, s := range g.services {
		if len(s.queue) > 0 {
			waited = append(waited, n)
		}
	}
	slices.Sort(waited)
	for _, n := range waited {
		s := g.services[n]
		for _, id := range slices.Clone(s.queue) {
			if x := g.requests[id]; now >= x.waitTill {
				g.Counts.Busy++
				s.pressAt = now
				g.refuse(now, x, 503, "busy", "every target of the service is busy")
			}
		}
		g.serveQueue(now, s)
	}
}

// serveQueue gives what became free to those who wait, in their order.
func (g *Proxy) serveQueue(now time.Duration, s *service) {
	for g.Serving() && len(s.queue) > 0 {
		x := g.requests[s.queue[0]]
		full := x.set.MaxInFlight > 0 && s.inflight >= g.share(x.set.MaxInFlight, x.svc)
		t, any := g.choose(now, x)
		if full || t == nil && any {
			break
		}
		s.queue = s.queue[1:]
		x.waiting = false
		if t == nil || g.tooLate(now, x, s) {
			g.place(now, x, false)
			continue
		}
		if x.repeat && !s.budget.has(now, g.settings.Retry) {
			g.Counts.RetriesDenied++
			g.refuse(now, x, 503, "retry_budget", "the service's retry budget is used up")
			continue
		}
		g.give(now, x, t, s)
	}
}

// darken tells which targets nothing reaches, when that has changed.
func (g *Proxy) darken(now time.Duration) {
	n, same := 0, true
	is := func(t *target) bool {
		return t.ejectedUntil > now && t.unheard || t.ownEjection > now && t.misses >= tuning.ProbeMisses
	}
	for id, t := range g.targets {
		if is(t) {
			n++
			same = same && g.dark[id]
		}
	}
	if same && n == len(g.dark) {
		return
	}
	dark := make(map[wire.TargetID]bool, n)
	for id, t := range g.targets {
		if is(t) {
			dark[id] = true
		}
	}
	g.dark = dark
	g.emit(statemachine.UnreachableTargets{IDs: dark})
}
