// This file is the control daemon's process: it opens the disk, starts the core's state
// machine, and carries out its commands.

package daemon

import (
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
	"net/http"
	"sync/atomic"
	"time"

	"myrtlefold/internal/controlplane"
)

// coreDaemon is a control daemon's parts.
type coreDaemon struct {
	*Host
	owner *controlplane.Controller
	disk  *Disk
	hub   *Hub
	term  atomic.Uint64 // the owner's, for the lines of the stream
}

// RunCore is mfcontrol: it runs a control daemon until it is stopped, and returns the exit code.
func RunCore(args []string, dialect Dialect) int {
	h := Start(wire.ControlDaemon, args, dialect)
	disk, image, damage := h.openDiskInTime()
	s := h.Settings
	owner := controlplane.New(h.Now(), controlplane.Settings{
		Self:    h.Daemon(),
		Size:    s.Size,
		Seeds:   s.Seeds,
		Found:   s.Found,
		Domains: s.Domains,
		CatchUp: milliseconds(s.CatchUpMs),
		Losses:  s.Losses,
		Grace:   milliseconds(s.GraceMs),
	}, image)
	if damage != nil {
		owner.ReportDamage("state on this disk", damage)
	}
	d := &coreDaemon{Host: h, owner: owner, disk: disk, hub: NewHub()}
	if err := d.Listen(); err != nil {
		d.Fatal(err, "start")
	}
	d.Counters("core", func() any {
		var n controlplane.Counts
		d.Loop.Look(func(now time.Duration) { n = d.owner.Status(now).Counts })
		return n
	})
	server, err := d.Serve(s.HTTP, d.handler())
	if err != nil {
		d.Fatal(err, "start")
	}
	go d.disk.Run()
	go d.Loop.Run(d.step, d.execute)
	code := d.Wait(d.owner.Seeds)
	d.closeAPI(server)
	d.Log.Info("stopped")
	return code
}

// step steps the state machine; on the owner's goroutine.
func (d *coreDaemon) step(now time.Duration, event statemachine.Event) []statemachine.Command {
	commands := d.owner.Step(now, event)
	d.term.Store(d.owner.Term())
	return commands
}

// execute carries out a command of the state machine; on the owner's goroutine.
func (d *coreDaemon) execute(cmd statemachine.Command) {
	switch c := cmd.(type) {
	case statemachine.Sync:
		d.disk.queue <- c.Batch
	case statemachine.Publish:
		d.hub.Put(d.term.Load(), c)
	default:
		d.Do(cmd)
	}
}

// handler is the daemon's HTTP API: for operators, and for targets' heartbeats.
func (d *coreDaemon) handler() http.Handler {
	mux := d.Admin(func() (ready bool, role any) {
		d.Loop.Look(func(now time.Duration) { ready, role = d.owner.Ready(), d.owner.Status(now).Role })
		return ready, role
	})
	mux.HandleFunc("GET /v1/stream", d.stream)
	mux.Handle("POST /v1/judge", NewSessions())
	var ids atomic.Uint64
	mux.HandleFunc("/v1/", d.Call(func() uint64 { return ids.Add(1) }))
	return mux
}

// stream serves the stream of target events, or sends the reader to the leader.
func (d *coreDaemon) stream(w http.ResponseWriter, r *http.Request) {
	var leading bool
	var leaderAddr string
	d.Loop.Look(func(now time.Duration) {
		status := d.owner.Status(now)
		leading = d.owner.Leading()
		d.term.Store(status.Term)
		leaderAddr = d.owner.Http(status.Leader)
	})
	d.hub.Serve(w, r, leading, leaderAddr)
}
