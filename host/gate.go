// This file is the proxy daemon's shell: it starts the gate owner and the
// forwarder, and carries out the owner's commands.

package host

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"myrtlefold/core"
	"myrtlefold/forward"
	"myrtlefold/limit"
	"myrtlefold/proxy"
)

// RunGate is mfgate.
func RunGate(args []string, say Dialect) int {
	h := Start("gate", args, say)
	own := proxy.New(proxy.Settings{Self: h.Daemon(), Seeds: h.Set.Seeds, Grace: time.Duration(h.Set.GraceMs) * time.Millisecond, ReadyWhenEmptied: h.Set.ReadyWhenEmptied,
		Retry: proxy.Retry{Ratio: h.Set.RetryRatio, Window: time.Duration(h.Set.RetryWindowMs) * time.Millisecond, Slack: float64(h.Set.RetrySlack)}})
	pool := forward.NewPool()
	car := forward.New(forward.Owner{Now: h.Now, Tell: h.Loop.Tell, Ask: func(ctx context.Context, id uint64, ev any) any {
		return h.Loop.Ask(ctx, id, ev, proxy.Cancel{ID: id})
	}}, pool)
	car.From, car.Headers, car.Forwarded = h.From(), h.say.Headers, h.say.Headers == forward.Defaults()
	exec := func(cmd any) {
		switch c := cmd.(type) {
		case proxy.Give:
			h.Loop.Answer(c.ID, c)
		case proxy.Refuse:
			h.Loop.Answer(c.ID, c)
		case proxy.Dark:
			pool.Dark(c.IDs)
		case proxy.Targets:
			pool.Live(c.Live)
			car.Limits.Store(c.Limits)
		case core.Change:
			if c.What == "stop" {
				car.Leaving.Store(true)
			}
			h.Do(c)
		default:
			h.Do(cmd)
		}
	}
	if err := h.Listen(); err != nil {
		h.Fatal(err, "start")
	}
	took := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "mf_exchange_seconds", Help: "Time of exchanges by service and status.",
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 14)}, []string{"service", "status"})
	h.Reg.MustRegister(took)
	car.Observe = func(svc string, status int, sec float64) {
		took.WithLabelValues(svc, strconv.Itoa(status)).Observe(sec)
	}
	h.Counters("gate", func() any {
		var n proxy.Counts
		h.Loop.Look(func(time.Duration) { n = own.Counts })
		return n
	})
	h.Counters("carry", func() any { return &car.Counts })
	var ids atomic.Uint64
	ids.Store(1 << 63) // apart from the requests' numbers
	mux := h.Admin(func() (ok bool, why any) {
		h.Loop.Look(func(now time.Duration) { v := own.View(now); ok, why = v.Ready, v.State })
		return
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, r *http.Request) {
		var v proxy.View
		h.Loop.Look(func(now time.Duration) { v = own.View(now) })
		WriteJSON(w, 200, v)
	})
	call := h.Call(func() uint64 { return ids.Add(1) })
	mux.HandleFunc("POST /v1/targets", call)
	mux.HandleFunc("PUT /v1/targets/", call)
	mux.HandleFunc("DELETE /v1/targets/", call)
	admin, err := h.Serve(h.Set.Http, mux)
	if err != nil {
		h.Fatal(err, "start")
	}
	srv, err := h.ServeCallers(h.Set.Listen, car)
	if err != nil {
		h.Fatal(err, "start")
	}
	go h.Loop.Run(own.Step, exec)
	h.Signals()
	h.Watch(func(s []string) { h.Loop.Look(func(time.Duration) { own.Seeds(s) }) })
	h.Log.WithField("settings", h.Set).Info("started")
	code := <-h.Quit
	wait := limit.StopWait
	if h.Set.GraceMs > 0 {
		wait = limit.StopLast // the owner has used the rest of the grace
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	if srv.Shutdown(ctx) != nil {
		code = 1
	}
	admin.Close()
	h.Log.Info("stopped")
	return code
}
