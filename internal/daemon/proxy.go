// The proxy daemon's process: it runs the proxy's state machine and the forwarder, and executes the state machine's
// commands.

package daemon

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"myrtlefold/internal/dataplane"
	"myrtlefold/internal/dataplane/reverseproxy"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Ids of the first HTTP API call of a control daemon and of a proxy. A proxy's calls have ids in the upper half of the
// range, so that they don't collide with the ids of its callers' requests.
const (
	firstCallID      = 1
	firstProxyCallID = 1<<63 + 1
)

// proxyDaemon holds the parts of a running proxy daemon.
type proxyDaemon struct {
	*Process
	proxy        *dataplane.Proxy
	pool         *reverseproxy.Pool
	forwarder    *reverseproxy.Forwarder
	stopDeadline atomic.Int64 // deadline for writing the last responses during shutdown, in ns of Clock.Now
}

// RunProxy is the entry point of mfproxy: it runs a proxy daemon until it is stopped and returns the exit code.
func RunProxy(args []string, platform Platform) int {
	process, code := Start(wire.ProxyDaemon, args, platform)
	if process == nil {
		return code
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := newProxyDaemon(process)
	api, callers, err := d.listen(ctx)
	if err != nil {
		process.Log.WithError(err).Error("start failed")
		return exitFailed
	}
	go d.Loop.Run(ctx, d.proxy.Step, d.execute)
	code = d.Wait(ctx, d.proxy.SetSeeds)
	d.shutDownAPI(api)
	deadline := time.Duration(d.stopDeadline.Load())
	if !d.awaitResponses(deadline) {
		code = exitFailed
	}
	d.awaitClosed(deadline)
	d.logStopped(code)
	callers.Close()
	cancel()
	d.Loop.Wait()
	d.pool.Close()
	return code
}

func newProxyDaemon(process *Process) *proxyDaemon {
	settings := process.Settings
	daemon := &proxyDaemon{Process: process, pool: reverseproxy.NewPool()}
	daemon.proxy = dataplane.New(dataplane.Settings{
		Self:             process.Daemon(),
		Seeds:            settings.Seeds,
		GracePeriod:      milliseconds(settings.GraceMs),
		ReadyWhenEmptied: settings.ReadyWhenEmptied,
		Retry: dataplane.RetryBudget{
			Ratio:  settings.RetryRatio,
			Window: milliseconds(settings.RetryWindowMs),
			Slack:  float64(settings.RetrySlack),
		},
	})
	call := func(ctx context.Context, id uint64, event statemachine.Event) statemachine.Command {
		return process.Loop.Call(ctx, id, event, statemachine.Cancel{ID: id})
	}
	daemon.forwarder = reverseproxy.New(reverseproxy.StateMachine{Now: process.Now, Notify: process.Loop.Post, Ask: call}, daemon.pool)
	daemon.forwarder.SourceAddr = settings.localAddr()
	daemon.forwarder.Headers = process.platform.Headers
	daemon.forwarder.SendForwardedFor = process.platform.Headers == reverseproxy.DefaultHeaders()
	return daemon
}

// listen opens the daemon's listeners: one each for other daemons, for the HTTP API and for callers.
func (d *proxyDaemon) listen(ctx context.Context) (api, callers *http.Server, err error) {
	if err := d.listenForDaemons(ctx); err != nil {
		return nil, nil, err
	}
	d.registerMetrics()
	if api, err = d.serveAPI(d.handler()); err != nil {
		return nil, nil, err
	}
	callers, err = d.serveCallers(d.forwarder)
	return api, callers, err
}

// execute executes a command of the proxy's state machine. It must be called on the loop's goroutine.
func (d *proxyDaemon) execute(ctx context.Context, command statemachine.Command) {
	switch c := command.(type) {
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
		go d.forwarder.CutOffStalledCallers(ctx, tuning.ShutdownStallTimeout)
	case statemachine.StopAccepting:
		d.stopDeadline.Store(int64(d.Now() + c.TimeLeft + tuning.ShutdownWriteTimeout))
		d.closing.Stop()
		d.forwarder.Callers.Close()
	default:
		d.Execute(ctx, command)
	}
}

// registerMetrics registers the daemon's counters and the histogram of response times.
func (d *proxyDaemon) registerMetrics() {
	times := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "mf_exchange_seconds",
		Help:    "Time of exchanges by service and status.",
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
	}, []string{"service", "status"})
	d.Metrics.MustRegister(times)
	d.forwarder.Observe = func(service string, status int, seconds float64) {
		times.WithLabelValues(service, strconv.Itoa(status)).Observe(seconds)
	}
	d.RegisterCounters("gate", func() any {
		var counts dataplane.Counts
		d.Loop.Inspect(func(time.Duration) { counts = d.proxy.Counts })
		return counts
	})
	d.RegisterCounters("carry", func() any { return &d.forwarder.Counts })
}

// view returns the proxy's state for operators.
func (d *proxyDaemon) view() (view dataplane.View) {
	d.Loop.Inspect(func(now time.Duration) { view = d.proxy.View(now) })
	return view
}

// handler returns the handler of the HTTP API, which serves operators and the heartbeats of targets.
func (d *proxyDaemon) handler() http.Handler {
	mux := d.AdminMux(func() (ready bool, state any) {
		view := d.view()
		return view.Ready, view.State
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, d.view())
	})
	call := d.CallHandler(firstProxyCallID)
	mux.HandleFunc("POST /v1/targets", call)
	mux.HandleFunc("PUT /v1/targets/", call)
	mux.HandleFunc("DELETE /v1/targets/", call)
	return mux
}

// awaitResponses waits, after the state machine has stopped, until no caller's connection is busy: responses may still
// be written and request bodies read. It returns false if connections are still busy at the deadline, other than those of
// callers that do not read.
func (d *proxyDaemon) awaitResponses(deadline time.Duration) bool {
	callers := &d.forwarder.Callers
	return d.awaitUntil(deadline, func() bool { return callers.Busy() == 0 }) || callers.Busy() <= callers.Stalled(tuning.CloseStallTimeout)
}

// logStopped logs the exit code and how many connections and requests of callers the shutdown left open.
func (d *proxyDaemon) logStopped(code int) {
	counts := &d.forwarder.Counts
	d.Log.WithFields(logrus.Fields{
		"code":                code,
		"open_connections":    d.forwarder.Callers.Open(),
		"closing_connections": d.closing.Closing(),
		"undelivered":         d.closing.Counts.Undelivered.Load(),
		"unanswered":          d.forwarder.Callers.Busy(),
		"stalled":             d.forwarder.Callers.Stalled(tuning.CloseStallTimeout),
		"late_kept":           counts.DrainingOldConns.Load(),
		"late_new":            counts.DrainingNewConns.Load(),
	}).Info("stopped")
}
