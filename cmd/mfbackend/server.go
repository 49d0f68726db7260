// HTTP server of the back end: its identity, its health check and the requests that it runs.

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"myrtlefold/internal/daemon"
	"myrtlefold/internal/dataplane/reverseproxy"
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
	"myrtlefold/internal/verification/requestlog"
	"myrtlefold/internal/verification/testbackend"
)

const (
	maxRequestTime = time.Hour // time limit of a request without a deadline header
	maxPadding     = 8 << 20   // limit of the padding in a response, in bytes
)

// headers are the names of the headers between proxies and targets.
var headers = reverseproxy.DefaultHeaders()

// backend is the test back end.
type backend struct {
	options
	incarnation     uint64
	warmupRateUntil time.Time    // end of the limit to the service's warm-up rate
	client          *http.Client // for calls to the daemons
	log             *requestlog.Writer
	leaveRequests   chan struct{} // receives a value when a caller asks the back end to leave

	state         atomic.Value          // a wire.TargetState
	fault         atomic.Pointer[fault] // current fault
	leavingSince  atomic.Int64          // when it began to leave, in ns since 1970; 0: it is not leaving
	reportNumber  atomic.Uint64         // sequence number of the last report; counted only with option uniqueName
	inFlight      atomic.Int64          // number of requests, including waiting ones
	waiting       atomic.Int64          // number of requests that wait for a slot
	occupiedSlots chan struct{}         // holds one element for each running request
}

// newBackend returns a back end whose warm-up starts now.
func newBackend(opts options, log *requestlog.Writer) *backend {
	target := &backend{
		options:       opts,
		incarnation:   uint64(time.Now().UnixNano()),
		client:        &http.Client{Timeout: tuning.TargetHeartbeatEvery},
		log:           log,
		leaveRequests: make(chan struct{}, 1),
		occupiedSlots: make(chan struct{}, opts.slots),
	}
	if opts.from != "" {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(opts.from)}}
		target.client.Transport = &http.Transport{DialContext: dialer.DialContext}
	}
	if opts.uniqueName {
		target.name = fmt.Sprintf("%s-%x", opts.name, target.incarnation)
		target.incarnation = 1
	}
	target.fault.Store(&fault{mode: noFault})
	target.warmupRateUntil = time.Now().Add(opts.warmupRateTime)
	target.state.Store(wire.TargetReady)
	if opts.warmup > 0 {
		target.state.Store(wire.TargetWarming)
		time.AfterFunc(opts.warmup, func() { target.state.CompareAndSwap(wire.TargetWarming, wire.TargetReady) })
	}
	return target
}

func (b *backend) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+config.IdentityPath, b.serveIdentity)
	if b.checkPath != "" {
		mux.HandleFunc("GET "+b.checkPath, b.serveHealth)
	}
	mux.HandleFunc("POST "+testbackend.FaultPath, b.setFault)
	mux.HandleFunc("/", b.serveRequest)
	return mux
}

// targetState returns the current state.
func (b *backend) targetState() wire.TargetState { return b.state.Load().(wire.TargetState) }

// warmupLeftMs returns for how much longer the back end is limited to its service's warm-up rate, in ms.
func (b *backend) warmupLeftMs() int64 { return max(0, time.Until(b.warmupRateUntil).Milliseconds()) }

// setLoad sets the load header of a response.
func (b *backend) setLoad(header http.Header) {
	if b.checkPath != "" {
		header.Set(headers.Load, fmt.Sprintf("%d,%d,%d", len(b.occupiedSlots), b.waiting.Load(), b.slots))
	}
}

// serveIdentity handles requests at config.IdentityPath.
func (b *backend) serveIdentity(w http.ResponseWriter, r *http.Request) {
	if b.fault.Load().mode == faultHang {
		<-r.Context().Done()
		return
	}
	daemon.WriteJSON(w, http.StatusOK, b.report())
}

// healthResponse is the response body of a successful health check.
type healthResponse struct {
	State wire.TargetState `json:"state"`
}

// serveHealth handles health checks.
func (b *backend) serveHealth(w http.ResponseWriter, r *http.Request) {
	if b.fault.Load().mode == faultHang {
		<-r.Context().Done()
		return
	}
	w.Header().Set(headers.Identity, b.name)
	if left := b.warmupLeftMs(); left > 0 {
		w.Header().Set(headers.WarmupLeft, strconv.FormatInt(left, 10))
	}
	if state := b.targetState(); state != wire.TargetReady {
		b.reject(w, r, http.StatusServiceUnavailable, string(state)) // alive, but status 200 means ready
		return
	}
	b.setLoad(w.Header())
	daemon.WriteJSON(w, http.StatusOK, healthResponse{State: wire.TargetReady})
}

// echoAttempt copies the proxy's attempt id from the request to the response headers.
func echoAttempt(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(headers.Attempt); id != "" {
		w.Header().Set(headers.Attempt, id)
	}
}

// rejection is the response body for a request that is not run.
type rejection struct {
	Error string `json:"error"`
}

// reject responds that the request was not run, with the reason.
func (b *backend) reject(w http.ResponseWriter, r *http.Request, status int, reason string) {
	echoAttempt(w, r)
	w.Header().Set(headers.NotRun, "1")
	b.setLoad(w.Header())
	daemon.WriteJSON(w, status, rejection{Error: reason})
}

// serveRequest logs and runs a request and sends the response, subject to the current fault.
func (b *backend) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if b.checkPath != "" && !b.admit(w, r) {
		return
	}
	inFlight := b.inFlight.Add(1)
	defer b.inFlight.Add(-1)
	fault := *b.fault.Load()
	if fault.mode == faultHang || fault.mode == faultStuck {
		<-r.Context().Done()
		return
	}
	processingTime := b.processingTimeOf(r, fault)
	ctx, cancel := context.WithTimeout(r.Context(), timeLeft(r))
	defer cancel()
	if !b.acquireSlot(ctx) {
		if r.Context().Err() == nil {
			b.reject(w, r, http.StatusServiceUnavailable, "no slot became free before the deadline")
		}
		return
	}
	defer b.releaseSlot()
	entry := b.logEntry(r, inFlight)
	if fault.mode != faultFail {
		b.log.Write(entry)
	}
	inTime := process(ctx, processingTime)
	echoAttempt(w, r)
	b.setLoad(w.Header())
	if !inTime {
		daemon.WriteJSON(w, http.StatusGatewayTimeout, failure{Error: "the deadline expired before the request was completed", ID: entry.ID, Service: entry.Service})
		return
	}
	fault.respond(w, b.response(r, entry, body))
}

// acquireSlot waits for a free slot, and reports whether it got one before the context ended.
func (b *backend) acquireSlot(ctx context.Context) bool {
	b.waiting.Add(1)
	defer b.waiting.Add(-1)
	select {
	case b.occupiedSlots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (b *backend) releaseSlot() { <-b.occupiedSlots }

// admit reports whether a request is accepted. It rejects one that is intended for another target or for which there is
// no capacity.
func (b *backend) admit(w http.ResponseWriter, r *http.Request) bool {
	if expected := r.Header.Get(headers.ExpectTarget); expected != "" && expected != b.name {
		b.reject(w, r, http.StatusMisdirectedRequest, "the request is intended for another target; this is "+b.name)
		return false
	}
	if b.waiting.Load() >= b.slots {
		b.reject(w, r, http.StatusServiceUnavailable, "no free capacity")
		return false
	}
	return true
}

// processingTimeOf returns the processing time of a request.
func (b *backend) processingTimeOf(r *http.Request, fault fault) time.Duration {
	if ms, err := strconv.Atoi(r.Header.Get(testbackend.ProcessingTimeHeader)); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	if fault.mode == faultSlow {
		return max(b.processingTime, fault.delay)
	}
	return b.processingTime
}

// process simulates the processing of a request by waiting for the given time, or until the deadline of the context if
// that is earlier. It reports whether the processing was completed. Processing continues if the caller disconnects.
func process(ctx context.Context, processingTime time.Duration) bool {
	done := time.NewTimer(processingTime)
	defer done.Stop()
	deadline, bounded := ctx.Deadline()
	if !bounded || time.Now().Add(processingTime).Before(deadline) {
		<-done.C
		return true
	}
	expired := time.NewTimer(time.Until(deadline))
	defer expired.Stop()
	<-expired.C
	return false
}

// timeLeft returns the remaining time of a request from its deadline header, or maxRequestTime if it has no valid one.
func timeLeft(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get(headers.Deadline))
	if err != nil || ms < 0 {
		return maxRequestTime
	}
	return time.Duration(ms) * time.Millisecond
}

// logEntry returns the request log entry for a request.
func (b *backend) logEntry(r *http.Request, inFlight int64) requestlog.Entry {
	entry := requestlog.Entry{
		StartedAt:        time.Now().UnixNano(),
		ID:               r.Header.Get(testbackend.RequestIDHeader),
		Service:          b.service,
		Name:             b.name,
		Incarnation:      b.incarnation,
		Domain:           b.domain,
		Method:           r.Method,
		State:            b.targetState(),
		RequestsInFlight: inFlight,
		WarmingUp:        b.warmupLeftMs() > 0,
	}
	if intended := r.Header.Get(testbackend.IntendedServiceHeader); intended != b.service {
		entry.IntendedService = intended
	}
	if since := b.leavingSince.Load(); since > 0 {
		entry.LeavingForMs = (entry.StartedAt - since) / int64(time.Millisecond)
	}
	return entry
}

// response returns the response body for a request that ran.
func (b *backend) response(r *http.Request, entry requestlog.Entry, body []byte) testbackend.Response {
	padding, _ := strconv.Atoi(r.Header.Get(testbackend.PaddingHeader)) // 0 without the header: no padding
	return testbackend.Response{
		ID:          entry.ID,
		Incarnation: b.incarnation,
		Name:        b.name,
		Padding:     strings.Repeat("x", min(padding, maxPadding)),
		Service:     b.service,
		Sum:         testbackend.Sum(body),
	}
}
