// This file is the back end towards proxies: its identity, its health and the requests that it runs.

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
	unlimited  = time.Hour // how long a request may take that names no deadline
	paddingMax = 8 << 20   // bytes of padding in a response
)

// headers are those that proxies use.
var headers = reverseproxy.DefaultHeaders()

// backend is the test back end.
type backend struct {
	options
	incarnation     uint64
	warmupRateUntil time.Time
	client          *http.Client // to the daemons
	log             *requestlog.Writer
	leaveRequests   chan struct{} // gets one when a caller asks the back end to leave

	state         atomic.Value          // a wire.TargetState
	fault         atomic.Pointer[fault] // how it fails now
	leftAt        atomic.Int64          // when it began to leave, in ns since 1970; 0: it does not
	reportNumber  atomic.Uint64         // of the last report by name
	inFlight      atomic.Int64          // requests, waiting ones included
	waiting       atomic.Int64          // requests that wait for a slot
	occupiedSlots chan struct{}
}

// newBackend returns a back end that starts now.
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

// targetState is its state now.
func (b *backend) targetState() wire.TargetState { return b.state.Load().(wire.TargetState) }

// warmupLeftMs is how much longer it only bears its service's warm-up rate, in ms.
func (b *backend) warmupLeftMs() int64 { return max(0, time.Until(b.warmupRateUntil).Milliseconds()) }

// setLoad puts the present load in a response's headers.
func (b *backend) setLoad(header http.Header) {
	if b.checkPath != "" {
		header.Set(headers.Load, fmt.Sprintf("%d,%d,%d", len(b.occupiedSlots), b.waiting.Load(), b.slots))
	}
}

// serveIdentity responds at config.IdentityPath.
func (b *backend) serveIdentity(w http.ResponseWriter, r *http.Request) {
	if b.fault.Load().mode == faultHang {
		<-r.Context().Done()
		return
	}
	daemon.WriteJSON(w, http.StatusOK, b.report())
}

// healthResponse is the body of a health check's response.
type healthResponse struct {
	State wire.TargetState `json:"state"`
}

// serveHealth responds at the health check's path.
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
		b.reject(w, r, http.StatusServiceUnavailable, string(state)) // alive, but 200 would say ready
		return
	}
	b.setLoad(w.Header())
	daemon.WriteJSON(w, http.StatusOK, healthResponse{State: wire.TargetReady})
}

// repeatAttempt puts the id of the proxy's attempt in a response's headers.
func repeatAttempt(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(headers.Attempt); id != "" {
		w.Header().Set(headers.Attempt, id)
	}
}

// rejection is the body of the response to a request that is not run.
type rejection struct {
	Error string `json:"error"`
}

// reject responds that a request is not run here, and why.
func (b *backend) reject(w http.ResponseWriter, r *http.Request, status int, reason string) {
	repeatAttempt(w, r)
	w.Header().Set(headers.NotRun, "1")
	b.setLoad(w.Header())
	daemon.WriteJSON(w, status, rejection{Error: reason})
}

// serveRequest runs and logs a request and responds, or does what its fault says.
func (b *backend) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if b.checkPath != "" && b.rejected(w, r) {
		return
	}
	inFlight := b.inFlight.Add(1)
	defer b.inFlight.Add(-1)
	fault := *b.fault.Load()
	if fault.mode == faultHang || fault.mode == faultStuck {
		<-r.Context().Done()
		return
	}
	work := b.workTime(r, fault)
	ctx, cancel := context.WithTimeout(r.Context(), timeLeft(r))
	defer cancel()
	if !b.acquireSlot(ctx) {
		if r.Context().Err() == nil {
			b.reject(w, r, http.StatusServiceUnavailable, "the time given is over")
		}
		return
	}
	defer b.releaseSlot()
	entry := b.logEntry(r, inFlight)
	if fault.mode != faultFail {
		b.log.Write(entry)
	}
	inTime := workFor(ctx, work)
	repeatAttempt(w, r)
	b.setLoad(w.Header())
	if !inTime {
		daemon.WriteJSON(w, http.StatusGatewayTimeout, failure{Error: "not done in the time given", ID: entry.ID, Service: entry.Service})
		return
	}
	fault.respond(w, b.response(r, entry, body))
}

// acquireSlot waits for a slot; it returns false if the context ends before.
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

// rejected rejects a request that is meant for another target or that there is no capacity for, and reports whether it
// did.
func (b *backend) rejected(w http.ResponseWriter, r *http.Request) bool {
	if expected := r.Header.Get(headers.ExpectTarget); expected != "" && expected != b.name {
		b.reject(w, r, http.StatusMisdirectedRequest, "this is "+b.name)
		return true
	}
	if b.waiting.Load() >= b.slots {
		b.reject(w, r, http.StatusServiceUnavailable, "no room")
		return true
	}
	return false
}

// workTime is how long a request takes.
func (b *backend) workTime(r *http.Request, fault fault) time.Duration {
	if ms, err := strconv.Atoi(r.Header.Get(testbackend.ProcessingTimeHeader)); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	if fault.mode == faultSlow {
		return max(b.work, fault.delay)
	}
	return b.work
}

// workFor waits for so long, and returns false if the context's deadline came before. Work goes on when the caller has
// gone.
func workFor(ctx context.Context, work time.Duration) bool {
	done := time.NewTimer(work)
	defer done.Stop()
	deadline, bounded := ctx.Deadline()
	if !bounded || time.Now().Add(work).Before(deadline) {
		<-done.C
		return true
	}
	over := time.NewTimer(time.Until(deadline))
	defer over.Stop()
	<-over.C
	return false
}

// timeLeft is how long the request may take, as its deadline header says.
func timeLeft(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get(headers.Deadline))
	if err != nil || ms < 0 {
		return unlimited
	}
	return time.Duration(ms) * time.Millisecond
}

// logEntry is the request log's entry for a request.
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
	if leftAt := b.leftAt.Load(); leftAt > 0 {
		entry.LeavingForMs = (entry.StartedAt - leftAt) / int64(time.Millisecond)
	}
	return entry
}

// response is the body of the response to a request that ran.
func (b *backend) response(r *http.Request, entry requestlog.Entry, body []byte) testbackend.Response {
	padding, _ := strconv.Atoi(r.Header.Get(testbackend.PaddingHeader)) // 0: none is asked for
	return testbackend.Response{
		ID:          entry.ID,
		Incarnation: b.incarnation,
		Name:        b.name,
		Padding:     strings.Repeat("x", min(padding, paddingMax)),
		Service:     b.service,
		Sum:         testbackend.Sum(body),
	}
}
