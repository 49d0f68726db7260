// This file is one daemon's process in the simulator: its starts, kills, freezes
// and disk.

package simulator

import (
	"fmt"
	"maps"
	"myrtlefold/internal/shared/statemachine"
	"slices"
	"time"

	"myrtlefold/internal/controlplane"
	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/dataplane"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

type disk struct {
	img      consensus.PersistentState
	open     []*wire.Batch
	stalled  bool
	slow     int  // how many times longer a sync takes, 0: as usual
	syncing  bool // a slow sync is under way
	full     bool // it takes no more bytes
	refusing bool // a write was refused and is tried again
}

// Process is one daemon's process; gen counts its starts.
type Process struct {
	w        *World
	name     string
	kind     wire.DaemonKind
	domain   string
	addr     string
	alive    bool
	gone     bool // its machine was replaced and never comes back
	frozen   bool
	held     []statemachine.Event
	thawed   []func()
	gen      int
	boot     time.Duration
	base     time.Duration
	rate     float64
	core     *controlplane.Controller
	gate     *dataplane.Proxy
	disk     *disk
	pool     map[wire.TargetID][]*connection
	live     map[wire.TargetID]string
	rev      uint64
	ticks    bool          // a tick waits for its processor
	busy     time.Duration // until when its processor is taken, its link out, and its link in
	out      time.Duration
	in       time.Duration
	since    time.Duration            // when it last was stopped or started
	slow     float64                  // how many times longer it takes for everything, 0: as usual
	doneAt   time.Duration            // when a slow process has done all that came
	probed   map[wire.TargetID]bool   // targets to which it has a connection for probes
	spent    map[string]time.Duration // processor time where that is scarce, by what it was spent on
	attempts []*attempt
	asked    bool // it was asked to stop
	// intakeClosed: no connection to it opens any more, and those without a request are closed.
	intakeClosed bool
	// pauseAfterStep is for how long the process is to stand still between the next step
	// that tells others something and the telling, 0: not.
	pauseAfterStep time.Duration
	stoodAt        time.Duration // its own time when it was last frozen
	wipedAt        time.Duration // when its disk was last lost, 0: never
}

func (w *World) addProc(kind wire.DaemonKind, name string, domain int) {
	p := &Process{w: w, name: name, kind: kind, domain: fmt.Sprintf("d%d", domain+1), addr: fmt.Sprintf("10.0.0.%d:1", len(w.byAddr)+1), disk: &disk{}}
	if kind == wire.ControlDaemon {
		p.disk.img.Disk = w.rnd.Uint64() | 1
	}
	w.procs[name] = p
	w.byAddr[p.addr] = p
	w.names = append(w.names, name)
}

func (p *Process) local() time.Duration {
	return p.base + time.Duration(float64(p.w.now-p.boot)*p.rate)
}

func (w *World) start(p *Process) {
	p.gen++
	p.alive, p.frozen, p.held, p.thawed, p.ticks = true, false, nil, nil, false
	p.asked, p.intakeClosed = false, false
	p.boot, p.since = w.now, w.now
	p.base = time.Duration(1 + w.rnd.Int64N(int64(time.Hour)))
	p.rate = w.rate()
	p.pool, p.live, p.rev = map[wire.TargetID][]*connection{}, nil, 0
	p.slow, p.doneAt, p.attempts, p.disk.syncing = 0, 0, nil, false
	p.disk.refusing = false
	var seeds []string
	set := controlplane.Settings{BootstrapSize: w.Plan.ControlDaemons, CatchUpTime: w.Plan.CatchUp, MachineLosses: w.Plan.Losses, StopGrace: stopGrace}
	if w.Plan.Seeds > 0 {
		set.BootstrapSize, set.Bootstrap = 0, w.now < foundingTime
	}
	for _, n := range w.seeds {
		seeds = append(seeds, w.procs[n].addr)
	}
	self := wire.Daemon{Name: p.name, Kind: p.kind, Domain: p.domain, Addr: p.addr, HTTP: p.addr, Incarnation: w.rnd.Uint64() | 1}
	if p.kind == wire.ControlDaemon {
		p.disk.open = nil
		img := p.disk.img
		img.Log = slices.Clone(img.Log)
		set.Self, set.Seeds, set.Domains = self, seeds, w.Plan.KnownDomains
		p.core = controlplane.New(p.local(), set, img)
	} else {
		p.gate = dataplane.New(dataplane.Settings{Self: self, Seeds: seeds, GracePeriod: w.Plan.Grace})
	}
	gen := p.gen
	var beat func()
	beat = func() {
		if p.gen != gen || !p.alive {
			return
		}
		switch {
		case p.frozen:
		case w.Plan.Resources == nil:
			w.deliver(p, statemachine.Tick{})
		case !p.ticks: // else the one before still waits
			p.ticks = true
			w.at(w.work(p, "tick", costEvent)-w.now, func() {
				if p.gen == gen {
					p.ticks = false
					w.deliver(p, statemachine.Tick{})
				}
			})
		}
		w.at(tuning.TickEvery, beat)
	}
	w.at(w.ms(0, 20), beat)
}

// Kill ends a process at once; what its disk had not synced may be there in part.
func (w *World) Kill(p *Process) {
	if !p.alive {
		return
	}
	w.log("kill %s", p.name)
	p.alive, p.since = false, w.now
	for len(p.disk.open) > 0 && w.rnd.IntN(3) > 0 {
		p.disk.img.ApplyBatch(p.disk.open[0])
		p.disk.open = p.disk.open[1:]
	}
	p.disk.open, p.disk.stalled = nil, false
	for _, id := range slices.Sorted(maps.Keys(w.open)) {
		if x := w.open[id]; x.gate == p && x.gen == p.gen {
			delete(w.open, id)
			w.Stats.Abandoned++
			if w.planned {
				w.broken("in flight", "exchange %d was left behind by %s", x.id, p.name)
			}
		}
	}
}

// WipeDisk loses a dead member's disk.
func (w *World) WipeDisk(p *Process) {
	w.log("wipe disk of %s", p.name)
	w.loseMajority(p)
	p.disk = &disk{img: consensus.PersistentState{Disk: w.rnd.Uint64() | 1}}
}

// Restart starts a dead process again, unless its machine is gone.
func (w *World) Restart(p *Process) {
	if !p.alive && !p.gone {
		w.log("start %s", p.name)
		w.start(p)
	}
}

// Freeze stops a process where it is for a while.
func (w *World) Freeze(p *Process, d time.Duration) {
	if !p.alive || p.frozen {
		return
	}
	w.log("freeze %s for %v", p.name, d)
	p.frozen, p.stoodAt = true, p.local()
	gen := p.gen
	w.at(d, func() {
		if p.gen == gen && p.alive {
			w.Thaw(p)
		}
	})
}

// Thaw has a frozen process go on with all that came meanwhile.
func (w *World) Thaw(p *Process) {
	if !p.frozen {
		return
	}
	w.log("thaw %s", p.name)
	p.frozen = false
	held := p.held
	p.held = nil
	for _, fn := range p.thawed { // traffic goes on at once, before the owner is told anything
		fn()
	}
	p.thawed = nil
	for _, ev := range held {
		if w.sabotage == clockOfTheCall {
			w.stepAt(p, ev, p.stoodAt)
			continue
		}
		w.deliver(p, ev)
	}
}

func (w *World) deliver(p *Process, ev statemachine.Event) {
	if !p.alive {
		return
	}
	if !w.queued(p, ev) {
		w.step(p, ev)
	}
}

// tellsOthers says whether a command tells anybody what was decided: an operator's answer,
// or a table or lease for a proxy.
func tellsOthers(cmd statemachine.Command) bool {
	switch c := cmd.(type) {
	case statemachine.Reply:
		return true
	case statemachine.Send:
		return c.Message.Push != nil
	}
	return false
}

// pauseBeforeCommands stops a process between a step and what the step says: all of it is
// carried out when the process goes on, however late.
func (w *World) pauseBeforeCommands(p *Process, cmds []statemachine.Command) {
	d := p.pauseAfterStep
	p.pauseAfterStep = 0
	w.Freeze(p, d)
	w.Stats.DelayedSteps++
	p.thawed = append(p.thawed, func() {
		for _, c := range cmds {
			w.exec(p, c)
		}
	})
}

func (w *World) exec(p *Process, cmd statemachine.Command) {
	gen := p.gen
	switch c := cmd.(type) {
	case statemachine.Send:
		to := w.byAddr[c.Addr]
		if to == nil || !w.reach(p.name, to.name) || w.rnd.Float64() < w.loss {
			return
		}
		d := w.delay/5 + time.Duration(w.rnd.Int64N(int64(w.delay)))
		k := [2]string{p.name, to.name}
		sent, reset := w.now, w.resets[k]
		at := max(w.now+d, w.link[k]+1, reset.until) // a connection keeps its order
		m, tg := w.spoil(p, to, c.Message), to.gen
		if m == nil {
			return
		}
		if l := w.thin[to.name]; l != nil {
			passes, ok := l.pass(w.now, weigh(m))
			if !ok {
				return
			}
			d += passes
			at = max(w.now+d, w.link[k]+1)
		}
		if w.Plan.Resources != nil {
			w.scarce(p, to, m, d)
			return
		}
		if w.rnd.Float64() < w.late {
			at = w.now + w.ms(200, 4000) // left over in an earlier connection
			w.Stats.LateMessages++
			m = w.spoilLate(p, m)
		} else {
			w.link[k] = at
		}
		w.at(at-w.now, func() {
			if to.gen == tg && w.reach(p.name, to.name) && sent >= w.resets[k].at {
				w.deliver(to, statemachine.Receive{Message: m})
			}
		})
	case statemachine.Sync:
		p.disk.open = append(p.disk.open, c.Batch)
		d := p.disk
		if w.sabotage == "sync" {
			w.at(0, func() { w.deliver(p, statemachine.Synced{Seq: c.Batch.Seq}) })
			return
		}
		w.sync(p, gen, d)
	case statemachine.Probe:
		if p.kind == wire.ProxyDaemon {
			w.Stats.ProxyHealthChecks++
		}
		if w.Plan.Resources != nil { // the question, and the answer
			w.work(p, "probe", w.probeCost(p, c))
		}
		w.probe(p, c)
	case statemachine.Reply:
		if a := w.asks[c.ID]; a != nil {
			delete(w.asks, c.ID)
			w.at(w.ms(0, 2), func() { a.fn(c) })
		}
	case statemachine.StateChange:
		w.log("%s %s %s -> %s (%s)", p.name, c.Subject, c.From, c.To, c.Reason)
		if w.sabotage == "early answer" && c.Subject == "revision" && p.core != nil {
			w.acked = max(w.acked, p.core.Revision())
		}
		if c.Subject == "lead" && c.To == "idle" || c.To == "cut" || c.To == "orphan" {
			w.lostLead = w.now
		}
		if c.To == "orphan" {
			w.Stats.PeerServing++
		}
	case statemachine.Publish:
		if c.Decision != nil && c.Decision.Kind != "lapse" {
			w.log("%s %s %s %s/%s", p.name, c.Decision.Policy, c.Decision.Kind, c.Decision.Service, c.Decision.Name)
		}
	case statemachine.Exit:
		if p.alive {
			w.log("exit %s", p.name)
			if p.gate != nil && p.gate.InFlight() > 0 {
				w.broken("in flight", "%s left %d exchanges behind at a planned stop", p.name, p.gate.InFlight())
			}
			w.checkNoCallIsLeft(p)
			w.Kill(p)
		}
	case statemachine.TargetsChanged:
		p.live = c.Addresses
		maps.DeleteFunc(p.pool, func(id wire.TargetID, _ []*connection) bool { _, ok := c.Addresses[id]; return !ok })
	case statemachine.UnreachableTargets: // requests here wait for their deadlines
	case statemachine.CloseAfterResponse:
	case statemachine.StopAccepting:
		p.intakeClosed = true
	case statemachine.Forward:
		w.give(p, c)
	case statemachine.Reject:
		w.refused(c)
	default:
		panic(fmt.Sprintf("%T", cmd))
	}
}

func (w *World) flush(p *Process, gen int, d *disk) {
	if p.gen != gen || !p.alive || d != p.disk || d.stalled || d.refusing || len(d.open) == 0 {
		return
	}
	if d.full {
		w.refuseWrite(p, gen, d)
		return
	}
	var seq uint64
	for _, b := range d.open {
		d.img.ApplyBatch(b)
		seq = b.Seq
	}
	d.open = nil
	w.deliver(p, statemachine.Synced{Seq: seq})
}

// StallDisk keeps a disk from syncing for a while.
func (w *World) StallDisk(p *Process, d time.Duration) {
	w.log("stall disk of %s for %v", p.name, d)
	dk, gen := p.disk, p.gen
	dk.stalled = true
	w.at(d, func() {
		dk.stalled = false
		w.flush(p, gen, dk)
	})
}

// Leader is the member that decides, if one does.
func (w *World) Leader() *Process {
	for _, n := range w.names {
		if p := w.procs[n]; p.core != nil && p.alive && !p.frozen && p.core.Leading() {
			return p
		}
	}
	return nil
}

func (w *World) pick(kind wire.DaemonKind, alive bool) *Process {
	var l []*Process
	for _, n := range w.names {
		if p := w.procs[n]; p.kind == kind && p.alive == alive {
			l = append(l, p)
		}
	}
	if len(l) == 0 {
		return nil
	}
	return l[w.rnd.IntN(len(l))]
}
