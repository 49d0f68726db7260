// This file is the control daemon's shell: it opens the disk, starts the core
// owner, and carries out its commands.

package host

import (
	"net/http"
	"sync/atomic"
	"time"

	"myrtlefold/core"
)

// RunCore is mfcore.
func RunCore(args []string, say Dialect) int {
	h := Start("core", args, say)
	disk, img, damage := h.openDiskInTime()
	own := core.New(h.Now(), core.Settings{
		Self:    h.Daemon(),
		Size:    h.Set.Size,
		Seeds:   h.Set.Seeds,
		Found:   h.Set.Found,
		Domains: h.Set.Domains,
		CatchUp: time.Duration(h.Set.CatchUpMs) * time.Millisecond,
		Losses:  h.Set.Losses,
		Grace:   time.Duration(h.Set.GraceMs) * time.Millisecond,
	}, img)
	if damage != nil {
		own.ReportDamage("state on this disk", damage)
	}
	hub := NewHub()
	var term atomic.Uint64
	exec := func(cmd any) {
		switch c := cmd.(type) {
		case core.Sync:
			disk.in <- c.B
		case core.Note:
			hub.Put(term.Load(), c)
		default:
			h.Do(cmd)
		}
	}
	if err := h.Listen(); err != nil {
		h.Fatal(err, "start")
	}
	h.Counters("core", func() any {
		var n core.Counts
		h.Loop.Look(func(now time.Duration) { n = own.Status(now).Counts })
		return n
	})
	var ids atomic.Uint64
	mux := h.Admin(func() (ok bool, why any) {
		h.Loop.Look(func(now time.Duration) { ok, why = own.Ready(), own.Status(now).Role })
		return
	})
	mux.HandleFunc("GET /v1/stream", func(w http.ResponseWriter, r *http.Request) {
		var lead, addr string
		var leads bool
		h.Loop.Look(func(now time.Duration) {
			s := own.Status(now)
			lead, leads = s.Leader, own.Leading()
			term.Store(s.Term)
			addr = own.Http(lead)
		})
		hub.Serve(w, r, leads, addr)
	})
	mux.Handle("POST /v1/judge", NewSessions())
	mux.HandleFunc("/v1/", h.Call(func() uint64 { return ids.Add(1) }))
	srv, err := h.Serve(h.Set.Http, mux)
	if err != nil {
		h.Fatal(err, "start")
	}
	go disk.Run()
	go h.Loop.Run(func(now time.Duration, ev any) []any {
		out := own.Step(now, ev)
		term.Store(own.Term())
		return out
	}, exec)
	h.Signals()
	h.Watch(func(s []string) { h.Loop.Look(func(time.Duration) { own.Seeds(s) }) })
	h.Log.WithField("settings", h.Set).Info("started")
	code := <-h.Quit
	srv.Close()
	h.Log.Info("stopped")
	return code
}
