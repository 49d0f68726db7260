// This file is the proxy daemon's process: it starts the proxy's state machine and the
// forwarder, and carries out the state machine's commands.

package daemon

import (
	"context"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"myrtlefold/internal/dataplane"
	"myrtlefold/internal/dataplane/reverseproxy"
	"myrtlefold/internal/shared/tuning"
)

// firstCallID sets the ids of calls to the daemon's HTTP API apart from those of callers' requests.
const firstCallID = 1 << 63

// gateDaemon is a proxy daemon's parts.
type gateDaemon struct {
	*Process
	owner     *dataplane.Proxy
	pool      *reverseproxy.Pool
	forwarder *reverseproxy.Forwarder
	endBy     atomic.Int64 // when the last answers of a stop have to be written, by Now
}

// RunProxy is mfproxy: it runs a proxy daemon until it is stopped, and returns the exit code.
func RunProxy(args []string, dialect Platform) int {
	d := newGateDaemon(Start(wire.ProxyDaemon, args, dialect))
	if err := d.ListenForPeers(); err != nil {
		d.Fatal(err, "start")
	}
	d.register()
	admin, err := d.Serve(d.Settings.HTTP, d.handler())
	if err != nil {
		d.Fatal(err, "start")
	}
	callers, err := d.ServeCallers(d.Settings.Listen, d.forwarder)
	if err != nil {
		d.Fatal(err, "start")
	}
	go d.Loop.Run(d.owner.Step, d.execute)
	code := d.Wait(d.owner.SetSeeds)
	d.closeAPI(admin)
	if !d.awaitAnswers() {
		code = 1
	}
	d.logEnd(code)
	callers.Close()
	return code
}

// logEnd logs what callers are left with at the end of a stop.
func (d *gateDaemon) logEnd(code int) {
	counts := &d.forwarder.Counts
	d.Log.WithFields(logrus.Fields{
		"code":             code,
		"open_connections": d.forwarder.Callers.Open(),
		"unanswered":       d.forwarder.Callers.Busy(),
		"late_kept":        counts.DrainingOldConns.Load(),
		"late_new":         counts.DrainingNewConns.Load(),
	}).Info("stopped")
}

func newGateDaemon(h *Process) *gateDaemon {
	s := h.Settings
	d := &gateDaemon{Process: h, pool: reverseproxy.NewPool()}
	d.owner = dataplane.New(dataplane.Settings{
		Self:             h.Daemon(),
		Seeds:            s.Seeds,
		GracePeriod:      milliseconds(s.GraceMs),
		ReadyWhenEmptied: s.ReadyWhenEmptied,
		Retry:            dataplane.RetryBudget{Ratio: s.RetryRatio, Window: milliseconds(s.RetryWindowMs), Slack: float64(s.RetrySlack)},
	})
	ask := func(ctx context.Context, id uint64, event statemachine.Event) statemachine.Command {
		return h.Loop.Call(ctx, id, event, statemachine.Cancel{ID: id})
	}
	d.forwarder = reverseproxy.New(reverseproxy.Owner{Now: h.Now, Notify: h.Loop.Post, Ask: ask}, d.pool)
	d.forwarder.SourceAddr = h.LocalAddr()
	d.forwarder.Headers = h.dialect.Headers
	d.forwarder.SendForwardedFor = h.dialect.Headers == reverseproxy.DefaultHeaders()
	return d
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// execute carries out a command of the state machine; on the owner's goroutine.
func (d *gateDaemon) execute(cmd statemachine.Command) {
	switch c := cmd.(type) {
	case statemachine.Forward:
		d.Loop.Respond(c.ID, c)
	case statemachine.Reject:
		d.Loop.Respond(c.ID, c)
	case statemachine.UnreachableTargets:
		d.pool.SetUnreachable(c.IDs)
	case statemachine.TargetsChanged:
		d.pool.SetTargets(c.Addresses)
		d.forwarder.Limits.Store(c.Limits)
	case statemachine.CloseAfterResponse:
		d.forwarder.Draining.Store(true)
	case statemachine.StopAccepting:
		d.endBy.Store(int64(d.Now() + c.TimeLeft + tuning.ShutdownWriteTimeout))
		d.forwarder.Callers.Close()
	default:
		d.Execute(cmd)
	}
}

// register puts the daemon's counters and times on /metrics.
func (d *gateDaemon) register() {
	seconds := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "mf_exchange_seconds",
		Help:    "Time of exchanges by service and status.",
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
	}, []string{"service", "status"})
	d.Metrics.MustRegister(seconds)
	d.forwarder.Observe = func(service string, status int, sec float64) {
		seconds.WithLabelValues(service, strconv.Itoa(status)).Observe(sec)
	}
	d.RegisterCounters("gate", func() any {
		var n dataplane.Counts
		d.Loop.Inspect(func(time.Duration) { n = d.owner.Counts })
		return n
	})
	d.RegisterCounters("carry", func() any { return &d.forwarder.Counts })
}

// view is the proxy's state as operators may read it.
func (d *gateDaemon) view() (v dataplane.View) {
	d.Loop.Inspect(func(now time.Duration) { v = d.owner.View(now) })
	return v
}

// handler is the daemon's HTTP API: for operators, and for targets' heartbeats.
func (d *gateDaemon) handler() http.Handler {
	mux := d.AdminMux(func() (bool, any) {
		v := d.view()
		return v.Ready, v.State
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, d.view())
	})
	var ids atomic.Uint64
	ids.Store(firstCallID)
	call := d.CallHandler(func() uint64 { return ids.Add(1) })
	mux.HandleFunc("POST /v1/targets", call)
	mux.HandleFunc("PUT /v1/targets/", call)
	mux.HandleFunc("DELETE /v1/targets/", call)
	return mux
}

// awaitAnswers waits, once the owner has ended, for what callers' connections still have under way: answers
// that are being written and bodies that are being read. It returns false if some are left at the end.
func (d *gateDaemon) awaitAnswers() bool {
	look := time.NewTicker(tuning.ShutdownPoll)
	defer look.Stop()
	for till := d.endBy.Load(); d.forwarder.Callers.Busy() > 0; <-look.C {
		if int64(d.Now()) > till {
			return false
		}
	}
	return true
}
