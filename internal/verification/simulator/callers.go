package simulator

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// callers are those who send requests to the proxies.
type callers struct {
	stopped     bool                // no more requests are sent
	sent        uint64              // requests so far, also the last one's id
	open        map[uint64]*request // without an outcome, by id
	connections []*persistentConnection

	// For the checks.
	servedAt   []time.Duration            // of each served request
	lastServed map[string]time.Duration   // by service
	attempts   map[string][]attemptRecord // by service, in the order of their writing
}

func newCallers() callers {
	return callers{open: map[uint64]*request{}, lastServed: map[string]time.Duration{}, attempts: map[string][]attemptRecord{}}
}

// request is a caller's request.
type request struct {
	id            uint64
	service       string
	nonIdempotent bool
	proxy         *Process
	incarnation   int                   // of the proxy
	connection    *persistentConnection // that it came on, nil: one of its own
	resubmissions int                   // how often its caller has sent the same before

	revision    uint64 // the proxy's when it chose the target
	sent        bool   // an attempt was written of which nobody can tell whether it ran
	nextIsRetry bool   // its next attempt counts as a retry
	executions  int    // by targets
	outcome     requestOutcome
}

// requestOutcome is what a caller learns of its request.
type requestOutcome int

const (
	outcomePending  requestOutcome = iota
	outcomeServed                  // there was a response
	outcomeRejected                // it did not run
	outcomeUnknown                 // it may have run
)

// attemptRecord is an attempt of a request, for the check of the retry budget.
type attemptRecord struct {
	at    time.Duration
	retry bool
}

// maxResubmissions is how often a caller sends the same request again.
const maxResubmissions = 3

// isAt says whether a request is at the present start of a proxy.
func (r *request) isAt(p *Process) bool { return r.proxy == p && r.incarnation == p.incarnation }

// StartCallers sends requests at the plan's rate until callers are stopped.
func (w *World) StartCallers() {
	var next func()
	next = func() {
		if w.callers.stopped {
			return
		}
		service, nonIdempotent := w.randomService(), w.random.Float64() < w.Plan.NonIdempotent
		if w.Plan.PersistentConnections > 0 {
			w.sendOnPersistentConnection(service, nonIdempotent)
		} else {
			w.sendRequest(service, nonIdempotent, 0)
		}
		w.schedule(time.Duration(w.random.ExpFloat64()*float64(time.Second)/w.Plan.Rate), next)
	}
	w.schedule(0, next)
}

// services are the names of the plan's services, sorted.
func (w *World) services() []string { return slices.Sorted(maps.Keys(w.Plan.Services)) }

func (w *World) randomService() string {
	services := w.services()
	return services[w.random.IntN(len(services))]
}

// sendRequest sends a request to a random proxy.
func (w *World) sendRequest(service string, nonIdempotent bool, resubmissions int) {
	if p := w.pickProxy(); p != nil {
		w.sendRequestTo(p, service, nonIdempotent, resubmissions)
	}
}

func (w *World) sendRequestTo(p *Process, service string, nonIdempotent bool, resubmissions int) {
	w.admit(&request{service: service, nonIdempotent: nonIdempotent, proxy: p, incarnation: p.incarnation, resubmissions: resubmissions})
}

// pickProxy draws one of the proxies that take new connections: those that are ready, or all that run if
// none is; nil: none runs.
func (w *World) pickProxy() *Process {
	var candidates []*Process
	for _, p := range w.daemons(wire.ProxyDaemon) {
		if p.alive && !p.frozen && p.proxy.Ready() {
			candidates = append(candidates, p)
		}
	}
	if len(candidates) == 0 {
		for _, p := range w.daemons(wire.ProxyDaemon) {
			if p.alive && !p.rejectsConnections {
				candidates = append(candidates, p)
			}
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[w.random.IntN(len(candidates))]
}

// admit gives a request to its proxy.
func (w *World) admit(r *request) {
	w.callers.sent++
	r.id = w.callers.sent
	w.callers.open[r.id] = r
	w.Stats.Requests++
	method, path := http.MethodGet, "/a"
	if r.nonIdempotent && w.disabledGuard != guardAtMostOnce { // without it the proxy's own guard is out too
		method, path = http.MethodPost, "/once/a"
	}
	w.deliver(r.proxy, statemachine.Admit{ID: r.id, Host: "x", Path: "/" + r.service + path, Method: method})
}

// finishRequest gives a request its outcome. Some callers send an unserved request again at once.
func (w *World) finishRequest(request *request, outcome requestOutcome) {
	request.outcome = outcome
	delete(w.callers.open, request.id)
	w.closeAfterResponse(request)
	switch outcome {
	case outcomeServed:
		w.countServed(request.service)
	case outcomeRejected:
		w.Stats.Rejected++
		if request.executions > 0 {
			w.violated(ruleRejectedRequest, "exchange %d had run %d times", request.id, request.executions)
		}
	case outcomeUnknown:
		w.Stats.Unknown++
		if w.checks.plannedOnly {
			w.violated(ruleGracefulStop, "exchange %d at %s was lost during planned work", request.id, request.proxy.name)
		}
	}
	if outcome != outcomeServed && request.resubmissions < maxResubmissions && w.random.Float64() < w.Plan.Resubmitted {
		w.schedule(w.randomMilliseconds(0, 5), func() { w.sendRequest(request.service, request.nonIdempotent, request.resubmissions+1) })
	}
}

func (w *World) countServed(service string) {
	w.Stats.Served++
	if !w.callers.stopped {
		w.Stats.LongestGap = max(w.Stats.LongestGap, w.now-w.callers.lastServed[service])
	}
	w.callers.lastServed[service] = w.now
	w.callers.servedAt = append(w.callers.servedAt, w.now)
}

// rejectRequest carries out a proxy's command to reject a request.
func (w *World) rejectRequest(c statemachine.Reject) {
	r := w.callers.open[c.ID]
	if r == nil {
		return
	}
	if c.Status == http.StatusServiceUnavailable && c.RetryAfter == 0 {
		w.violated(ruleRetryAfter, "a refusal without Retry-After")
	}
	if r.sent && w.disabledGuard != guardUnknownAfterSend {
		w.finishRequest(r, outcomeUnknown)
	} else {
		w.finishRequest(r, outcomeRejected)
	}
}

// cancelRequests has a part of a proxy's callers go, or lose their connections, before they
// have their responses; count is the statistic that counts them.
func (w *World) cancelRequests(p *Process, part float64, count *int) {
	var ids []uint64
	for id, r := range w.callers.open {
		if r.isAt(p) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		if w.random.Float64() < part {
			*count++
			delete(w.callers.open, id)
			w.deliver(p, statemachine.Cancel{ID: id})
		}
	}
}

// ServedBetween counts the requests that were served in a span of time.
func (w *World) ServedBetween(from, until time.Duration) (count int) {
	for _, at := range w.callers.servedAt {
		if at >= from && at < until {
			count++
		}
	}
	return count
}
