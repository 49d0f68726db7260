package simulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"myrtlefold/internal/controlplane"
	"myrtlefold/internal/dataplane"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// processes are the daemons of the fleet.
type processes struct {
	byName    map[string]*Process // also those whose machines were removed
	byAddress map[string]*Process
	names     []string // of those whose machines are there, in the order of their addition
	seeds     []string // names of the daemons that a process learns of at its start
	replaced  int      // control machines that were replaced for good
	replacing int      // of these, whose successor has not started, or who has not stopped
	swapping  bool     // an operator swaps a member, one at a time
}

func newProcesses() processes {
	return processes{byName: map[string]*Process{}, byAddress: map[string]*Process{}}
}

// Process is a daemon's process, and its machine. Exactly one of controller and proxy is set once it has started.
type Process struct {
	world   *World
	name    string
	kind    wire.DaemonKind
	domain  string
	address string

	controller  *controlplane.Controller
	proxy       *dataplane.Proxy
	incarnation int // its starts so far
	alive       bool
	removed     bool // its machine was replaced and never comes back
	// startedOrKilledAt is when it last was started or killed.
	startedOrKilledAt time.Duration
	startedAt         time.Duration
	clockOffset       time.Duration // what its own clock showed at its start
	clockRate         float64       // seconds of its own clock in a second of virtual time

	frozen     bool
	heldEvents []statemachine.Event // what came while it was frozen
	afterThaw  []func()             // what its shell does before its state machine goes on
	frozenAt   time.Duration        // its own time when it was last frozen
	stopping   bool                 // it was sent the stop signal
	// rejectsConnections: no connection to it opens any more, and those without a request are closed.
	rejectsConnections bool
	// pauseAfterStep is for how long the process is to stand still between the next step that reveals
	// its state to others and the commands of that step; 0: not.
	pauseAfterStep time.Duration

	disk       *disk
	diskLostAt time.Duration // when its disk was last lost, 0: never

	slowdown     float64       // how many times longer it takes for everything, 0: as usual
	backlogUntil time.Duration // when a slow process has handled all that came
	usage        usage         // of its processor and link, where these are limited

	// Of a proxy.
	idle            map[wire.TargetID][]*connection // connections to targets without a request, the last used at the end
	targets         map[wire.TargetID]string        // addresses of the targets that it may forward to
	attempts        []*attempt                      // requests at targets
	highestRevision uint64
}

func (w *World) addProcess(kind wire.DaemonKind, name string, domain int) {
	p := &Process{world: w, name: name, kind: kind, domain: fmt.Sprintf("d%d", domain+1), address: fmt.Sprintf("10.0.0.%d:1", len(w.processes.byAddress)+1), disk: &disk{}}
	if kind == wire.ControlDaemon {
		p.disk.image.Disk = w.randomDiskID()
	}
	w.processes.byName[name] = p
	w.processes.byAddress[p.address] = p
	w.processes.names = append(w.processes.names, name)
}

// process is the daemon of a name, nil if there never was one.
func (w *World) process(name string) *Process { return w.processes.byName[name] }

// isControlDaemon says whether a machine runs a control daemon, or did.
func (w *World) isControlDaemon(name string) bool {
	p := w.process(name)
	return p != nil && p.controller != nil
}

// localTime is the time of the process's own clock.
func (p *Process) localTime() time.Duration {
	return p.clockOffset + time.Duration(float64(p.world.now-p.startedAt)*p.clockRate)
}

// startProcess starts a process that does not run, with what its disk holds.
func (w *World) startProcess(p *Process) {
	w.resetProcess(p)
	var seeds []string
	for _, name := range w.processes.seeds {
		seeds = append(seeds, w.process(name).address)
	}
	self := wire.Daemon{Name: p.name, Kind: p.kind, Domain: p.domain, Addr: p.address, HTTP: p.address, Incarnation: w.random.Uint64() | 1}
	if p.kind == wire.ControlDaemon {
		w.startController(p, self, seeds)
	} else {
		p.proxy = dataplane.New(dataplane.Settings{Self: self, Seeds: seeds, GracePeriod: w.Plan.Grace})
	}
	w.startTicks(p)
}

// resetProcess forgets what an earlier start left, and draws the clock of the new one.
func (w *World) resetProcess(p *Process) {
	p.incarnation++
	p.alive, p.frozen, p.heldEvents, p.afterThaw, p.usage.tickWaiting = true, false, nil, nil, false
	p.stopping, p.rejectsConnections = false, false
	p.startedAt, p.startedOrKilledAt = w.now, w.now
	p.clockOffset = time.Duration(1 + w.random.Int64N(int64(time.Hour)))
	p.clockRate = w.randomClockRate()
	p.idle, p.targets, p.attempts, p.highestRevision = map[wire.TargetID][]*connection{}, nil, nil, 0
	p.slowdown, p.backlogUntil = 0, 0
	p.disk.syncing, p.disk.rejecting = false, false
}

// startController makes the state machine of a control daemon from its disk.
func (w *World) startController(p *Process, self wire.Daemon, seeds []string) {
	p.disk.unsynced = nil
	image := p.disk.image
	image.Log = slices.Clone(image.Log)
	settings := controlplane.Settings{Self: self, Seeds: seeds, Domains: w.Plan.ConfiguredDomains,
		BootstrapSize: w.Plan.ControlDaemons, CatchUpTime: w.Plan.CatchUp, MachineLosses: w.Plan.Losses, StopGrace: controlStopGrace}
	if w.Plan.Seeds > 0 {
		settings.BootstrapSize, settings.Bootstrap = 0, w.now < bootstrapWindow
	}
	p.controller = controlplane.New(p.localTime(), settings, image)
}

// startTicks gives a process a tick each tuning.TickEvery until it ends.
func (w *World) startTicks(process *Process) {
	incarnation := process.incarnation
	var tick func()
	tick = func() {
		if process.incarnation != incarnation || !process.alive {
			return
		}
		switch {
		case process.frozen:
		case w.Plan.Resources != nil:
			w.tickOnLimitedProcessor(process)
		default:
			w.deliver(process, statemachine.Tick{})
		}
		w.schedule(tuning.TickEvery, tick)
	}
	w.schedule(w.randomMilliseconds(0, 20), tick)
}

// Kill ends a process at once; what its disk had not synced may be there in part.
func (w *World) Kill(process *Process) {
	if !process.alive {
		return
	}
	w.logf("kill %s", process.name)
	process.alive, process.startedOrKilledAt = false, w.now
	w.tearDisk(process.disk)
	for _, id := range slices.Sorted(maps.Keys(w.callers.open)) {
		if r := w.callers.open[id]; r.isAt(process) {
			delete(w.callers.open, id)
			w.Stats.Abandoned++
			if w.checks.plannedOnly {
				w.violated(ruleGracefulStop, "exchange %d was left behind by %s", r.id, process.name)
			}
		}
	}
}

// Restart starts a dead process again, unless its machine was removed.
func (w *World) Restart(p *Process) {
	if !p.alive && !p.removed {
		w.logf("start %s", p.name)
		w.startProcess(p)
	}
}

// restartLater starts a dead process again after a while.
func (w *World) restartLater(p *Process, delay time.Duration) {
	w.schedule(delay, func() { w.Restart(p) })
}

// stopProcess sends a process the stop signal.
func (w *World) stopProcess(p *Process) {
	w.Stats.GracefulStops++
	if w.disabledGuard == guardGracefulStop && p.proxy != nil {
		w.execute(p, statemachine.Exit{})
		return
	}
	p.stopping = true
	w.deliver(p, statemachine.Stop{})
}

// restartGracefully stops a process, kills it if it is still there after a while, and starts it again.
func (w *World) restartGracefully(p *Process, after time.Duration) {
	incarnation := p.incarnation
	w.stopProcess(p)
	w.schedule(after, func() {
		if p.incarnation == incarnation {
			w.Kill(p)
			w.Restart(p)
		}
	})
}

// Freeze stops a process where it is for a while, as a paused virtual machine does.
func (w *World) Freeze(p *Process, span time.Duration) {
	if !p.alive || p.frozen {
		return
	}
	w.logf("freeze %s for %v", p.name, span)
	p.frozen, p.frozenAt = true, p.localTime()
	incarnation := p.incarnation
	w.schedule(span, func() {
		if p.incarnation == incarnation && p.alive {
			w.Thaw(p)
		}
	})
}

// Thaw has a frozen process go on with all that came meanwhile.
func (w *World) Thaw(process *Process) {
	if !process.frozen {
		return
	}
	w.logf("thaw %s", process.name)
	process.frozen = false
	held := process.heldEvents
	process.heldEvents = nil
	for _, resume := range process.afterThaw { // the shell's threads go on at once, before the state machine has any event
		resume()
	}
	process.afterThaw = nil
	for _, event := range held {
		if w.disabledGuard == guardFreshClock {
			w.stepAt(process, event, process.frozenAt)
			continue
		}
		w.deliver(process, event)
	}
}

// Leader is the member that leads and holds a lease, nil if there is none.
func (w *World) Leader() *Process {
	for _, p := range w.fleet() {
		if p.controller != nil && p.alive && !p.frozen && p.controller.Leading() {
			return p
		}
	}
	return nil
}

// daemonNames are the names of all daemons of a kind, in the order of their addition.
func (w *World) daemonNames(kind wire.DaemonKind) []string {
	return slices.DeleteFunc(slices.Clone(w.processes.names), func(name string) bool { return w.process(name).kind != kind })
}

// daemons are all daemons of a kind, in the order of their addition.
func (w *World) daemons(kind wire.DaemonKind) (daemons []*Process) {
	for _, name := range w.daemonNames(kind) {
		daemons = append(daemons, w.process(name))
	}
	return daemons
}

// pickProcess draws a daemon of a kind that lives, or one that does not; nil: there is none.
func (w *World) pickProcess(kind wire.DaemonKind, alive bool) *Process {
	candidates := slices.DeleteFunc(w.daemons(kind), func(p *Process) bool { return p.alive != alive })
	if len(candidates) == 0 {
		return nil
	}
	return candidates[w.random.IntN(len(candidates))]
}
