// The control daemon's process: it opens the disk, runs the controller and executes the controller's commands.

package daemon

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"myrtlefold/internal/controlplane"
	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// controlDaemon holds the parts of a running control daemon.
type controlDaemon struct {
	*Process
	controller *controlplane.Controller
	disk       *Disk
	stream     *EventStream
	term       atomic.Uint64 // the controller's current term, which each record of the stream carries
}

// RunControl is the entry point of mfcontrol: it runs a control daemon until it is stopped and returns the exit code.
func RunControl(args []string, platform Platform) int {
	process, code := Start(wire.ControlDaemon, args, platform)
	if process == nil {
		return code
	}
	disk, persisted, damage, err := process.openDiskWithRetry(process.stopSignals)
	if err != nil {
		process.Log.WithError(err).Info("stopped")
		return exitOK
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := newControlDaemon(ctx, process, disk, persisted)
	if damage != nil {
		d.controller.ReportDamage("state on this disk", damage)
	}
	server, err := d.listen(ctx)
	if err != nil {
		process.Log.WithError(err).Error("start failed")
		return exitFailed
	}
	go d.disk.Run(ctx)
	go d.Loop.Run(ctx, d.step, d.execute)
	code = d.Wait(ctx, d.controller.SetSeeds)
	deadline := d.Now() + tuning.ShutdownWriteTimeout
	d.shutDownAPI(server)
	d.awaitClosed(deadline)
	d.Log.WithField("closing_connections", d.closing.Closing()).Info("stopped")
	return code
}

// listen opens the daemon's listeners: one for other daemons and one for the HTTP API.
func (d *controlDaemon) listen(ctx context.Context) (api *http.Server, err error) {
	if err := d.listenForDaemons(ctx); err != nil {
		return nil, err
	}
	d.RegisterCounters("core", d.counts)
	return d.serveAPI(d.handler(ctx))
}

func newControlDaemon(ctx context.Context, p *Process, disk *Disk, persisted consensus.PersistentState) *controlDaemon {
	s := p.Settings
	controller := controlplane.New(p.Now(), controlplane.Settings{
		Self:          p.Daemon(),
		BootstrapSize: s.Size,
		Seeds:         s.Seeds,
		Bootstrap:     s.Bootstrap,
		Domains:       s.Domains,
		CatchUpTime:   milliseconds(s.CatchUpMs),
		MachineLosses: s.ToleratedLosses,
		StopGrace:     milliseconds(s.GraceMs),
	}, persisted)
	return &controlDaemon{Process: p, controller: controller, disk: disk, stream: NewEventStream(ctx)}
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// counts returns the controller's counters as a controlplane.Counts.
func (d *controlDaemon) counts() any {
	var counts controlplane.Counts
	d.Loop.Inspect(func(now time.Duration) { counts = d.controller.Status(now).Counts })
	return counts
}

// step passes an event to the controller and returns its commands. It must be called on the loop's goroutine.
func (d *controlDaemon) step(now time.Duration, event statemachine.Event) []statemachine.Command {
	commands := d.controller.Step(now, event)
	d.term.Store(d.controller.Term())
	return commands
}

// execute executes one of the controller's commands. It must be called on the loop's goroutine.
func (d *controlDaemon) execute(ctx context.Context, command statemachine.Command) {
	switch c := command.(type) {
	case statemachine.Sync:
		d.disk.Write(ctx, c.Batch)
	case statemachine.Publish:
		d.stream.Publish(d.term.Load(), c)
	default:
		d.Execute(ctx, command)
	}
}

// handler returns the handler of the HTTP API, which serves operators and the heartbeats of targets.
func (d *controlDaemon) handler(ctx context.Context) http.Handler {
	mux := d.AdminMux(func() (ready bool, role any) {
		d.Loop.Inspect(func(now time.Duration) { ready, role = d.controller.Ready(), d.controller.Status(now).Role })
		return ready, role
	})
	mux.HandleFunc("GET /v1/stream", d.serveStream)
	mux.Handle("POST /v1/judge", NewSessions(ctx))
	mux.HandleFunc("/v1/", d.CallHandler(firstCallID))
	return mux
}

// serveStream serves the stream of target events if this member leads, and otherwise redirects the client to the
// leader.
func (d *controlDaemon) serveStream(w http.ResponseWriter, r *http.Request) {
	var leading bool
	var leaderAddr string
	d.Loop.Inspect(func(now time.Duration) {
		status := d.controller.Status(now)
		leading = d.controller.Leading()
		d.term.Store(status.Term)
		leaderAddr = d.controller.HTTPAddr(status.Leader)
	})
	if leading {
		d.stream.Serve(w, r)
	} else {
		redirectToLeader(w, r, leaderAddr)
	}
}
