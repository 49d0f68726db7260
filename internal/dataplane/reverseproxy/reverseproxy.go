// Package reverseproxy forwards callers' HTTP requests to targets and passes the targets' responses back.
//
// The package does not select targets and makes no decisions about queueing, limits or retries. It asks the proxy's
// state machine (StateMachine, implemented by package dataplane) and carries out the Forward or Reject command that it
// returns. It manages its own connections to targets (upstream.go, pool.go) instead of using net/http's transport,
// which resends some requests on its own.
//
// The following holds for each request:
//   - The request counts as not run only if none of it was written, or if the target says that it did not run it.
//   - A response is passed on only if it belongs to the request: it must repeat the request's id, and the identity of
//     the target on the connection must have been checked. A target with a health check is sent the expected identity
//     with each request; any other target is asked for its identity on each new connection.
//   - A small response is buffered until it is complete, so that a truncated one can be replaced by a retry or an
//     error. A large response is streamed; if it is truncated, the caller's connection is closed.
//   - Responses are passed on unaltered except for hop-by-hop headers. All errors have the same JSON format, which
//     says whether the request ran: "no" or "unknown".
//
// The entry point is Forwarder.ServeHTTP. request.forward (retries.go) is the loop over targets, and attempt.run
// (attempt.go) is one iteration of it. Pipelined requests are handled in pipelining.go.
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

// StateMachine is the forwarder's interface to the proxy's state machine. Its functions may be called from any goroutine.
type StateMachine struct {
	// Now returns the state machine's time: the time since the process started.
	Now func() time.Duration
	// Notify passes an event to the state machine without waiting for a result.
	Notify func(event statemachine.Event)
	// Ask passes an event of the request with the given id to the state machine and waits for the resulting
	// statemachine.Forward or statemachine.Reject. If ctx ends first, Ask returns nil and has already notified the
	// state machine that the request has ended.
	Ask func(ctx context.Context, id uint64, event statemachine.Event) statemachine.Command
}

// Forwarder is the http.Handler for callers' requests. Exported fields that are not safe for concurrent use must be
// set before the first request is served.
type Forwarder struct {
	stateMachine StateMachine
	pool         *Pool
	nextID       atomic.Uint64

	// Counts are the forwarder's counters.
	Counts Counts
	// Observe is called at the end of each request with its service ("" if none was found), its status (0 if the
	// caller got no response) and its duration in seconds. The default does nothing.
	Observe func(service string, status int, seconds float64)
	// Draining makes each response close the caller's connection, so that callers reconnect to other proxies.
	// Default: false.
	Draining atomic.Bool
	// Callers tracks the open connections from callers.
	Callers CallerConns
	// Limits holds the configured limits on callers. Default: nil, which applies the limits of package tuning.
	Limits atomic.Pointer[config.Limits]
	// SourceAddr is the local address of connections to targets. Default: nil, which lets the system choose.
	SourceAddr net.Addr
	// Headers holds the names of the headers exchanged with callers and targets. Default: DefaultHeaders.
	Headers Headers
	// SendForwardedFor adds the caller's address to the X-Forwarded-For header of requests to targets without a
	// health check. Default: true.
	SendForwardedFor bool
}

// New returns a forwarder that asks stateMachine for targets and keeps idle connections to them in pool.
func New(stateMachine StateMachine, pool *Pool) *Forwarder {
	return &Forwarder{
		stateMachine:     stateMachine,
		pool:             pool,
		Observe:          func(string, int, float64) {},
		Headers:          DefaultHeaders(),
		SendForwardedFor: true,
	}
}

// ServeHTTP forwards a caller's request or, if it was pipelined and already started, passes on its response. It
// panics with http.ErrAbortHandler to close the connection of a caller that has disconnected or whose response was
// truncated.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := callerConnOf(r)
	if conn == nil {
		f.serve(w, r)
		return
	}
	if conn.inputClosed.Load() {
		panic(http.ErrAbortHandler)
	}
	conn.body.Store(int32(bodyRead))
	conn.requestActive = true
	defer func() { conn.requestActive = false }()
	defer conn.closeInput()
	conn.countIfDraining()
	writer := closingWriter{w, conn}
	if started := conn.takePipelined(r); started != nil {
		f.finishPipelined(writer, r, started)
		return
	}
	f.serve(writer, r)
}

// request is a caller's request while the proxy processes it. It is used by one goroutine.
type request struct {
	forwarder *Forwarder
	writer    http.ResponseWriter
	incoming  *http.Request
	pipelined *pipelinedRequest // equal to writer if the request was started before its turn, else nil
	start     time.Time
	id        uint64 // the request's id in the state machine's events and commands
	body      *requestBody

	// Arguments for Observe.
	service string
	status  int

	// Result of the attempts so far.
	ran         config.RanStatus // config.RanNo, or config.RanUnknown once the request may have run
	lastError   *attemptError    // nil if no attempt has failed
	errorStatus int              // 502 or 504 once the request may have run, else 0
	fallback    *response        // first server error (5xx) of a target, passed on if no other target gives a response
}

// serve forwards a request. It runs on the server's goroutine or on that of a pipelined request.
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
	command := f.stateMachine.Ask(r.Context(), q.id, statemachine.Admit{
		ID:        q.id,
		Host:      r.Host,
		Path:      r.URL.Path,
		Method:    r.Method,
		Timeout:   timeout,
		Pipelined: q.pipelined != nil,
	})
	if q.pipelined != nil && mustWait(command) {
		q.pipelined.deferred = true
		return
	}
	q.forward(command)
}

// observe calls Observe for a finished request. A deferred request is not finished: it is served, and then
// observed, when its turn comes.
func (q *request) observe() {
	if q.pipelined == nil || !q.pipelined.deferred {
		q.forwarder.Observe(q.service, q.status, time.Since(q.start).Seconds())
	}
}

// accept validates the request and reads the part of its body that is buffered. It returns the time that remains of
// the caller's timeout, 0 if the caller set none. accepted is false if an error response was sent.
func (q *request) accept() (timeout time.Duration, accepted bool) {
	timeout, reqErr := q.checkHeader()
	if reqErr == nil {
		reqErr = q.receiveBody(timeout)
	}
	if reqErr != nil {
		q.fail(reqErr, config.RanNo)
		return 0, false
	}
	if timeout > 0 {
		timeout = max(time.Millisecond, timeout-time.Since(q.start))
	}
	return timeout, true
}

// checkHeader validates the request's header. It returns the caller's timeout, 0 if the caller set none, or the error
// to respond with.
func (q *request) checkHeader() (timeout time.Duration, reqErr *requestError) {
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
		return 0, badRequest(name + " must be a whole number greater than 0")
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// fail responds to the caller with an error. ran tells the caller whether the request may have run.
func (q *request) fail(reqErr *requestError, ran config.RanStatus) {
	q.status = reqErr.status
	if ran == config.RanUnknown {
		q.forwarder.Counts.RunUnknown.Add(1)
	} else {
		q.forwarder.Counts.NotRun.Add(1)
	}
	body := config.ErrorBody{Code: reqErr.code, Message: reqErr.message, Ran: ran}
	writeError(q.writer, q.forwarder.Headers.Ran, reqErr.status, reqErr.retryAfter, body)
}

// abort ends a request whose caller has disconnected, without a response: even an empty response would be wrong. It
// panics with http.ErrAbortHandler and does not return.
func (q *request) abort() {
	q.forwarder.Counts.CallersGone.Add(1)
	panic(http.ErrAbortHandler)
}
