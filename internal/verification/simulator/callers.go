package simulator

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// callers holds the state of the clients that send requests to the proxies.
type callers struct {
	stopped     bool                // no more requests are sent
	sent        uint64              // number of requests sent, which is also the id of the last one
	open        map[uint64]*request // requests without an outcome, by id
	connections []*persistentConnection

	// For the checks.
	servedAt   []time.Duration            // time of each response
	lastServed map[string]time.Duration   // time of the last response of each service
	attempts   map[string][]attemptRecord // attempts for each service in the order in which they were written
}

func newCallers() callers {
	return callers{open: map[uint64]*request{}, lastServed: map[string]time.Duration{}, attempts: map[string][]attemptRecord{}}
}

// request is a caller's request and its progress.
type request struct {
	id            uint64
	service       string
	nonIdempotent bool
	proxy         *Process
	incarnation   int                   // the proxy's incarnation that received the request
	connection    *persistentConnection // the caller's persistent connection; nil if the request has a connection of its own
	resubmissions int                   // number of times that the caller has sent the same request before

	revision    uint64 // the proxy's revision when it chose the target
	sent        bool   // an attempt was written that may or may not have run
	nextIsRetry bool   // its next attempt counts as a retry
	executions  int    // number of times that targets ran it
	outcome     requestOutcome
}

// requestOutcome is the outcome of a request as its caller sees it.
type requestOutcome int

const (
	outcomePending  requestOutcome = iota
	outcomeServed                  // the caller got a response
	outcomeRejected                // rejected without running
	outcomeUnknown                 // it may have run
)

// attemptRecord records an attempt of a request for the check of the retry budget.
type attemptRecord struct {
	at    time.Duration
	retry bool
}

// maxResubmissions is the maximum number of times that a caller sends the same request again.
const maxResubmissions = 3

// isAt reports whether the request is at the current incarnation of a proxy.
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

// services returns the names of the plan's services, sorted.
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

// pickProxy returns a random ready proxy. If none is ready, it returns a random one that accepts connections, or nil if there
// is none.
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

// admit delivers a new request to its proxy.
func (w *World) admit(r *request) {
	w.callers.sent++
	r.id = w.callers.sent
	w.callers.open[r.id] = r
	w.Stats.Requests++
	method, path := http.MethodGet, "/a"
	if r.nonIdempotent && w.disabledGuard != guardAtMostOnce { // with the guard disabled, the proxy treats the request as idempotent
		method, path = http.MethodPost, "/once/a"
	}
	w.deliver(r.proxy, statemachine.Admit{ID: r.id, Host: "x", Path: "/" + r.service + path, Method: method})
}

// finishRequest sets the outcome of a request. Some callers send an unserved request again at once.
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
			w.violated(ruleRejectedRequest, "request %d was rejected but had run %d times", request.id, request.executions)
		}
	case outcomeUnknown:
		w.Stats.Unknown++
		if w.checks.plannedOnly {
			w.violated(ruleGracefulStop, "request %d at %s was lost during planned work", request.id, request.proxy.name)
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

// rejectRequest executes a proxy's command to reject a request.
func (w *World) rejectRequest(c statemachine.Reject) {
	r := w.callers.open[c.ID]
	if r == nil {
		return
	}
	if c.Status == http.StatusServiceUnavailable && c.RetryAfter == 0 {
		w.violated(ruleRetryAfter, "request %d was rejected with status 503 without Retry-After", c.ID)
	}
	if r.sent && w.disabledGuard != guardUnknownAfterSend {
		w.finishRequest(r, outcomeUnknown)
	} else {
		w.finishRequest(r, outcomeRejected)
	}
}

// cancelRequests cancels each open request at a proxy with the given probability, as if its caller had closed the connection. It
// increments count for each canceled request.
func (w *World) cancelRequests(p *Process, probability float64, count *int) {
	var ids []uint64
	for id, r := range w.callers.open {
		if r.isAt(p) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		if w.random.Float64() < probability {
			*count++
			delete(w.callers.open, id)
			w.deliver(p, statemachine.Cancel{ID: id})
		}
	}
}

// ServedBetween returns the number of requests served in the time span [from, until).
func (w *World) ServedBetween(from, until time.Duration) (count int) {
	for _, at := range w.callers.servedAt {
		if at >= from && at < until {
			count++
		}
	}
	return count
}
