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
	*Process
	owner *controlplane.Controller
	disk  *Disk
	hub   *EventStream
	term  atomic.Uint64 // the owner's, for the lines of the stream
}

// RunControl is mfcontrol: it runs a control daemon until it is stopped, and returns the exit code.
func RunControl(args []string, dialect Platform) int {
	h := Start(wire.ControlDaemon, args, dialect)
	disk, image, damage := h.openDiskInTime()
	s := h.Settings
	owner := controlplane.New(h.Now(), controlplane.Settings{
		Self:          h.Daemon(),
		BootstrapSize: s.Size,
		Seeds:         s.Seeds,
		Bootstrap:     s.Bootstrap,
		Domains:       s.Domains,
		CatchUpTime:   milliseconds(s.CatchUpMs),
		MachineLosses: s.ToleratedLosses,
		StopGrace:     milliseconds(s.GraceMs),
	}, image)
	if damage != nil {
		owner.ReportDamage("state on this disk", damage)
	}
	d := &coreDaemon{Process: h, owner: owner, disk: disk, hub: NewEventStream()}
	if err := d.ListenForPeers(); err != nil {
		d.Fatal(err, "start")
	}
	d.RegisterCounters("core", func() any {
		var n controlplane.Counts
		d.Loop.Inspect(func(now time.Duration) { n = d.owner.Status(now).Counts })
		return n
	})
	server, err := d.Serve(s.HTTP, d.handler())
	if err != nil {
		d.Fatal(err, "start")
	}
	go d.disk.Run()
	go d.Loop.Run(d.step, d.execute)
	code := d.Wait(d.owner.SetSeeds)
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
		d.hub.Publish(d.term.Load(), c)
	default:
		d.Execute(cmd)
	}
}

// handler is the daemon's HTTP API: for operators, and for targets' heartbeats.
func (d *coreDaemon) handler() http.Handler {
	mux := d.AdminMux(func() (ready bool, role any) {
		d.Loop.Inspect(func(now time.Duration) { ready, role = d.owner.Ready(), d.owner.Status(now).Role })
		return ready, role
	})
	mux.HandleFunc("GET /v1/stream", d.stream)
	mux.Handle("POST /v1/judge", NewSessions())
	var ids atomic.Uint64
	mux.HandleFunc("/v1/", d.CallHandler(func() uint64 { return ids.Add(1) }))
	return mux
}

// stream serves the stream of target events, or sends the reader to the leader.
func (d *coreDaemon) stream(w http.ResponseWriter, r *http.Request) {
	var leading bool
	var leaderAddr string
	d.Loop.Inspect(func(now time.Duration) {
		status := d.owner.Status(now)
		leading = d.owner.Leading()
		d.term.Store(status.Term)
		leaderAddr = d.owner.HTTPAddr(status.Leader)
	})
	d.hub.Serve(w, r, leading, leaderAddr)
}
