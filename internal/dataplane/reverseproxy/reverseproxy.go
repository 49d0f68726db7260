// Package reverseproxy forwards callers' HTTP requests to targets and passes the targets' responses back.
//
// It chooses no target and decides on no queue, limit or retry: it asks the proxy's state machine (Owner, which is
// package dataplane) and carries out the Forward or Reject that comes back. It has connections to targets of its
// own (upstream.go, pool.go), because net/http's transport sends some requests again by itself.
//
// What holds for each request:
//   - It counts as not run only if nothing of it was written, or if its target says so.
//   - A response is passed on only if it belongs to the request: it repeats the request's id, and the identity of who
//     answers on a connection was checked. Targets with a health check are sent the identity that is expected with
//     each request, others are asked for theirs on each new connection.
//   - A small response is buffered until it is complete, so that one that is truncated can be replaced by a retry or an
//     error. A large one streams, and if it is truncated the caller's connection is closed.
//   - Responses pass unaltered but for their hop-by-hop headers. Errors have one JSON shape that says whether
//     the request ran: no, or unknown.
//
// Begin with Forwarder.ServeHTTP; request.forward (retries.go) is the loop over targets and attempt.run
// (attempt.go) is one round of it. Requests that a caller pipelines are in pipelining.go.
package reverseproxy

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
)

// Owner is the proxy's state machine as the forwarder reaches it. Its functions may be called on any goroutine.
type Owner struct {
	// Now is the owner's clock: the time since the process began.
	Now func() time.Duration
	// Notify passes an event on and does not wait.
	Notify func(event statemachine.Event)
	// Ask passes an event of the request with that id on and waits for the statemachine.Forward or
	// statemachine.Reject that it leads to. If ctx ends first it returns nil, and the owner has been notified of
	// the request's end.
	Ask func(ctx context.Context, id uint64, event statemachine.Event) statemachine.Command
}

// Forwarder is the http.Handler of the callers' address. Its exported fields without an atomic type are set
// before it serves its first request.
type Forwarder struct {
	owner  Owner
	pool   *Pool
	nextID atomic.Uint64

	// Counts are the forwarder's counters.
	Counts Counts
	// Observe is called at the end of each request with its service ("": none was found), its status (0: the caller
	// got none) and the time that it took, in seconds. Default: nothing.
	Observe func(service string, status int, seconds float64)
	// Draining has each response close its caller's connection, so that callers move to other proxies. Default:
	// false.
	Draining atomic.Bool
	// Callers are the callers' connections.
	Callers CallerConns
	// Limits are the configuration's limits on callers. Default: nil, which leaves those of package tuning.
	Limits atomic.Pointer[config.Limits]
	// SourceAddr is the address that connections to targets leave from. Default: nil, which is the system's choice.
	SourceAddr net.Addr
	// Headers are the names of the headers that are spoken with callers and targets. Default: DefaultHeaders.
	Headers Headers
	// SendForwardedFor adds the caller's address to X-Forwarded-For, for targets without a health check. Default:
	// true.
	SendForwardedFor bool
}

// New returns a forwarder that asks owner for targets and keeps its idle connections in pool.
func New(owner Owner, pool *Pool) *Forwarder {
	return &Forwarder{
		owner:            owner,
		pool:             pool,
		Observe:          func(string, int, float64) {},
		Headers:          DefaultHeaders(),
		SendForwardedFor: true,
	}
}

// ServeHTTP forwards a caller's request, or passes on the response to one that was started before its turn. It
// panics with http.ErrAbortHandler to close the connection of a caller that has left or got a truncated response.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, _ := r.Context().Value(callerConnKey{}).(*callerConn)
	if conn == nil {
		f.serve(w, r)
		return
	}
	conn.requestActive = true
	defer func() { conn.requestActive = false }()
	conn.countDraining()
	writer := closingWriter{w, conn}
	if started := conn.takePipelined(r); started != nil {
		f.finishPipelined(writer, r, started)
		return
	}
	f.serve(writer, r)
}

// request is a caller's request on its way through the proxy, on one goroutine.
type request struct {
	forwarder *Forwarder
	writer    http.ResponseWriter
	incoming  *http.Request
	pipelined *pipelinedRequest // the writer, if the request was started before its turn
	start     time.Time
	id        uint64 // its id with the owner
	body      *requestBody

	// What Observe is called with.
	service string
	status  int

	// What the attempts so far have come to.
	ran         config.Ran    // whether it may have run: config.RanNo or config.RanUnknown
	lastError   *attemptError // nil: no attempt has failed
	errorStatus int           // 502 or 504 once it may have run, else 0
	fallback    *response     // a target's own failure, passed on if no other target does better
}

// serve forwards a request, on the goroutine of the server or of a pipelined request.
func (f *Forwarder) serve(w http.ResponseWriter, r *http.Request) {
	f.Counts.Requests.Add(1)
	q := &request{forwarder: f, writer: w, incoming: r, start: time.Now(), ran: config.RanNo}
	q.pipelined, _ = w.(*pipelinedRequest)
	defer q.observe()
	timeout, accepted := q.accept()
	if !accepted {
		return
	}
	q.id = f.nextID.Add(1)
	command := f.owner.Ask(r.Context(), q.id, statemachine.Admit{
		ID:        q.id,
		Host:      r.Host,
		Path:      r.URL.Path,
		Method:    r.Method,
		Timeout:   timeout,
		Pipelined: q.pipelined != nil,
	})
	if q.pipelined != nil && hasToWait(command) {
		q.pipelined.deferred = true
		return
	}
	q.forward(command)
}

// observe reports the request's end. One that is deferred ends when its turn has come.
func (q *request) observe() {
	if q.pipelined == nil || !q.pipelined.deferred {
		q.forwarder.Observe(q.service, q.status, time.Since(q.start).Seconds())
	}
}

// accept checks the request and reads its body as far as it is buffered. It returns how much time the caller still
// gives, 0 if the caller does not say, and false if the caller got an error.
func (q *request) accept() (timeout time.Duration, accepted bool) {
	timeout, failed := q.check()
	if failed == nil {
		failed = q.receiveBody(timeout)
	}
	if failed != nil {
		q.fail(failed, config.RanNo)
		return 0, false
	}
	if timeout > 0 {
		timeout = max(time.Millisecond, timeout-time.Since(q.start))
	}
	return timeout, true
}

// check returns the time that the caller gives, 0 if the caller does not say, or what is wrong with the request's
// header.
func (q *request) check() (timeout time.Duration, failed *requestError) {
	if headerSize(q.incoming.Header) > q.forwarder.maxHeaderBytes() {
		return 0, errHeaderTooLarge
	}
	method := q.incoming.Method
	if method == http.MethodConnect || method == http.MethodTrace || !isUnambiguousPath(q.incoming.URL) {
		return 0, errNotForwardable
	}
	name := q.forwarder.Headers.Deadline
	value := q.incoming.Header.Get(name)
	if value == "" {
		return 0, nil
	}
	ms, err := strconv.Atoi(value)
	if err != nil || ms <= 0 {
		return 0, badRequest(name + " must be a whole number over 0")
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// fail answers the caller with an error; ran says whether the request may have run.
func (q *request) fail(failed *requestError, ran config.Ran) {
	q.status = failed.status
	if ran == config.RanUnknown {
		q.forwarder.Counts.RunUnknown.Add(1)
	} else {
		q.forwarder.Counts.NotRun.Add(1)
	}
	body := config.ErrorBody{Code: failed.code, Message: failed.message, Ran: ran}
	writeError(q.writer, q.forwarder.Headers.Ran, failed.status, failed.retryAfter, body)
}

// abort ends a request whose caller has left: any response, or an empty one, would be a false one. It does not
// return.
func (q *request) abort() {
	q.forwarder.Counts.CallersGone.Add(1)
	panic(http.ErrAbortHandler)
}
