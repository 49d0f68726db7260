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

// processes holds the daemons of the fleet.
type processes struct {
	byName      map[string]*Process // including daemons whose machines were removed
	byAddress   map[string]*Process
	names       []string // names of daemons whose machines weren't removed, in the order of addition
	seedDaemons []string // names of the seed nodes, whose addresses a starting process gets
	replaced    int      // number of permanent replacements of control machines
	replacing   int      // number of these replacements in progress
	swapping    bool     // an operator is replacing a member; only one at a time does
}

func newProcesses() processes {
	return processes{byName: map[string]*Process{}, byAddress: map[string]*Process{}}
}

// Process is a daemon's process and its machine. Exactly one of controller and proxy is set once it has started.
type Process struct {
	world   *World
	name    string
	kind    wire.DaemonKind
	domain  string
	address string

	controller  *controlplane.Controller
	proxy       *dataplane.Proxy
	incarnation int // number of starts so far
	alive       bool
	removed     bool // its machine was removed permanently
	// startedOrKilledAt is the time of its last start or kill.
	startedOrKilledAt time.Duration
	startedAt         time.Duration
	clockOffset       time.Duration // time on its own clock at its start
	clockRate         float64       // seconds of its own clock per second of virtual time

	frozen     bool
	heldEvents []statemachine.Event // events that arrived while it was frozen
	afterThaw  []func()             // I/O operations to run at the thaw, before the held events
	frozenAt   time.Duration        // time on its own clock when it was last frozen
	stopping   bool                 // it has received the stop signal
	// rejectsConnections means that it accepts no new connections and has closed those without a request.
	rejectsConnections bool
	// pauseAfterStep is how long to freeze the process between the next step that discloses a decision to others and the
	// commands of that step; 0: no pause.
	pauseAfterStep  time.Duration
	pauseAfterCheck time.Duration // freezes the process after it has checked the next caller, 0: never

	disk       *disk
	diskLostAt time.Duration // time of the last loss of its disk; 0: never

	slowdown     float64       // factor by which everything takes longer; 0: normal speed
	backlogUntil time.Duration // when a slow process will have handled all events so far
	usage        usage         // use of its processor and link, where these are limited

	// Used for proxies only.
	idle            map[wire.TargetID][]*connection // idle connections to each target, most recently used last
	targets         map[wire.TargetID]string        // addresses of the targets to which it may forward
	attempts        []*attempt                      // attempts in progress at targets
	highestRevision uint64                          // highest revision so far of this incarnation
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

// process returns the daemon with the given name, or nil if there never was one.
func (w *World) process(name string) *Process { return w.processes.byName[name] }

// isControlDaemon reports whether a machine runs or ran a control daemon.
func (w *World) isControlDaemon(name string) bool {
	p := w.process(name)
	return p != nil && p.controller != nil
}

// localTime returns the time on the process's own clock.
func (p *Process) localTime() time.Duration {
	return p.clockOffset + time.Duration(float64(p.world.now-p.startedAt)*p.clockRate)
}

// startProcess starts a stopped process from the state on its disk.
func (w *World) startProcess(p *Process) {
	w.resetProcess(p)
	var seeds []string
	for _, name := range w.processes.seedDaemons {
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

// resetProcess discards the state of an earlier incarnation and sets a random clock for the new one.
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

// startController creates the state machine of a control daemon from its disk.
func (w *World) startController(p *Process, self wire.Daemon, seeds []string) {
	p.disk.unsynced = nil
	image := p.disk.image
	image.Log = slices.Clone(image.Log)
	settings := controlplane.Settings{Self: self, Seeds: seeds, Domains: w.Plan.ConfiguredDomains,
		BootstrapSize: w.Plan.ControlDaemons, CatchUpTime: w.Plan.CatchUp, MachineLosses: w.Plan.Losses, StopGrace: controlStopGrace}
	if w.Plan.SeedNodes > 0 {
		settings.BootstrapSize, settings.Bootstrap = 0, w.now < bootstrapWindow
	}
	p.controller = controlplane.New(p.localTime(), settings, image)
}

// startTicks delivers a tick to a process every tuning.TickEvery until it ends.
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

// Kill ends a process at once. A random part of its unsynced writes survives on its disk.
func (w *World) Kill(process *Process) {
	if !process.alive {
		return
	}
	w.logf("kill %s", process.name)
	process.alive, process.startedOrKilledAt = false, w.now
	w.loseUnsynced(process.disk)
	for _, id := range slices.Sorted(maps.Keys(w.callers.open)) {
		if r := w.callers.open[id]; r.isAt(process) {
			delete(w.callers.open, id)
			w.Stats.Abandoned++
			if w.checks.plannedOnly {
				w.violated(ruleGracefulStop, "request %d was abandoned by %s", r.id, process.name)
			}
		}
	}
}

// Restart starts a stopped process again, unless its machine was removed.
func (w *World) Restart(p *Process) {
	if !p.alive && !p.removed {
		w.logf("start %s", p.name)
		w.startProcess(p)
	}
}

// restartLater calls Restart after a delay.
func (w *World) restartLater(p *Process, delay time.Duration) {
	w.schedule(delay, func() { w.Restart(p) })
}

// stopProcess sends the stop signal to a process.
func (w *World) stopProcess(p *Process) {
	w.Stats.GracefulStops++
	if w.disabledGuard == guardGracefulStop && p.proxy != nil {
		w.execute(p, statemachine.Exit{})
		return
	}
	p.stopping = true
	w.deliver(p, statemachine.Stop{})
}

// restartGracefully sends the stop signal to a process. After the given time it kills the process, if it is still running, and
// restarts it.
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

// Freeze suspends a process for a while, like a paused virtual machine.
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

// Thaw resumes a frozen process, which then handles the held events.
func (w *World) Thaw(process *Process) {
	if !process.frozen {
		return
	}
	w.logf("thaw %s", process.name)
	process.frozen = false
	held := process.heldEvents
	process.heldEvents = nil
	for _, resume := range process.afterThaw { // the I/O goroutines resume before the state machine handles an event
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

// Leader returns the running control daemon that leads and holds the lease, or nil if there is none.
func (w *World) Leader() *Process {
	for _, p := range w.fleet() {
		if p.controller != nil && p.alive && !p.frozen && p.controller.Leading() {
			return p
		}
	}
	return nil
}

// daemonNames returns the names of all daemons of a kind, in the order of their addition.
func (w *World) daemonNames(kind wire.DaemonKind) []string {
	return slices.DeleteFunc(slices.Clone(w.processes.names), func(name string) bool { return w.process(name).kind != kind })
}

// daemons returns all daemons of a kind, in the order of their addition.
func (w *World) daemons(kind wire.DaemonKind) (daemons []*Process) {
	for _, name := range w.daemonNames(kind) {
		daemons = append(daemons, w.process(name))
	}
	return daemons
}

// pickProcess returns a random daemon of a kind that is running, or stopped if alive is false. It returns nil if there is none.
func (w *World) pickProcess(kind wire.DaemonKind, alive bool) *Process {
	candidates := slices.DeleteFunc(w.daemons(kind), func(p *Process) bool { return p.alive != alive })
	if len(candidates) == 0 {
		return nil
	}
	return candidates[w.random.IntN(len(candidates))]
}
