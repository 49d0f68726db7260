// This file is what makes single processes and disks of the simulator slow, full or stuck.

package simulator

import (
	"myrtlefold/internal/shared/statemachine"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/tuning"
)

// slowShare is the part of a processor that a machine has in the users' deployments: what a
// slowed process takes for an event is costEvent over it, times its slowness.
const slowShare = 0.32

// errDiskFull is why a full disk refuses a write.
var errDiskFull = errors.New("no space left on device")

// slowDown has a process take x times as long for everything, for a while.
func (w *World) slowDown(p *Process, x float64, d time.Duration) {
	w.log("%s is %v times slower for %v", p.name, x, d)
	p.slow = x
	gen := p.gen
	w.at(d, func() {
		if p.gen == gen {
			p.slow = 0
		}
	})
}

// queued says whether a process still has to do what came before; the event then waits its
// turn. Where processors are scarce for all, work counts a process's slowness instead.
func (w *World) queued(p *Process, ev statemachine.Event) bool {
	if w.Plan.Resources != nil || p.slow == 0 && p.doneAt <= w.now {
		return false
	}
	p.doneAt = max(p.doneAt, w.now) + time.Duration(float64(costEvent)/slowShare*max(1, p.slow))
	gen := p.gen
	w.at(p.doneAt-w.now, func() {
		if p.gen == gen {
			w.step(p, ev)
		}
	})
	return true
}

// slowDisk has a disk take x times as long for each sync, one at a time, for a while.
func (w *World) slowDisk(p *Process, x int, d time.Duration) {
	w.log("disk of %s is %d times slower for %v", p.name, x, d)
	dk := p.disk
	dk.slow = x
	w.at(d, func() { dk.slow = 0 })
}

// fillDisk has a disk refuse all writes for a while.
func (w *World) fillDisk(p *Process, d time.Duration) {
	w.log("disk of %s is full for %v", p.name, d)
	dk := p.disk
	dk.full = true
	w.at(d, func() { dk.full = false })
}

// sync carries out what a process wants on its disk. What comes while a write is refused
// waits behind it.
func (w *World) sync(p *Process, gen int, d *disk) {
	switch {
	case d.refusing:
	case d.slow > 0 || d.syncing:
		w.syncSlowly(p, gen, d)
	default:
		w.at(w.ms(0, 4), func() { w.flush(p, gen, d) })
	}
}

// syncSlowly syncs what is there now, and then what has come meanwhile.
func (w *World) syncSlowly(p *Process, gen int, d *disk) {
	if d.syncing {
		return
	}
	d.syncing = true
	n := len(d.open)
	w.at(w.ms(0, 4*max(1, d.slow)), func() {
		d.syncing = false
		if p.gen != gen || !p.alive || d != p.disk || d.stalled || d.refusing || len(d.open) == 0 {
			return
		}
		if d.full {
			w.refuseWrite(p, gen, d)
			return
		}
		rest := d.open[min(n, len(d.open)):]
		d.open = d.open[:min(n, len(d.open))]
		w.flush(p, gen, d)
		if d.open = append(rest, d.open...); len(d.open) > 0 && p.gen == gen {
			w.syncSlowly(p, gen, d)
		}
	})
}

// refuseWrite refuses what waits for a disk. As daemon.Disk does, the process learns why,
// acknowledges nothing meanwhile and tries again every tuning.DiskRetry.
func (w *World) refuseWrite(p *Process, gen int, d *disk) {
	w.Stats.RejectedWrites++
	w.at(tuning.DiskRetry, func() { w.retryWrite(p, gen, d) })
	if !d.refusing {
		d.refusing = true
		w.log("disk of %s refuses writes", p.name)
		w.deliver(p, statemachine.DiskHealth{Err: errDiskFull})
	}
}

// retryWrite tries a refused write again; a process that stands still tries when it goes on.
func (w *World) retryWrite(p *Process, gen int, d *disk) {
	switch {
	case p.gen != gen || !p.alive || d != p.disk:
	case p.frozen || d.stalled:
		w.at(tuning.DiskRetry, func() { w.retryWrite(p, gen, d) })
	case d.full:
		w.refuseWrite(p, gen, d)
	default:
		w.log("disk of %s takes writes again", p.name)
		d.refusing = false
		w.deliver(p, statemachine.DiskHealth{})
		w.sync(p, gen, d)
	}
}

// step has a process handle one event.
func (w *World) step(p *Process, ev statemachine.Event) { w.stepAt(p, ev, p.local()) }

// stepAt is the same by a time of the process's own clock.
func (w *World) stepAt(p *Process, ev statemachine.Event, now time.Duration) {
	if !p.alive {
		return
	}
	if p.frozen {
		p.held = append(p.held, ev)
		return
	}
	var cmds []statemachine.Command
	if p.core != nil {
		cmds = p.core.Step(now, ev)
	} else {
		cmds = p.gate.Step(now, ev)
	}
	if w.digest != nil {
		w.digest.step(p.name, now, ev, cmds)
	}
	if p.pauseAfterStep > 0 && slices.ContainsFunc(cmds, tellsOthers) {
		w.pauseBeforeCommands(p, cmds)
		return
	}
	for _, c := range cmds {
		w.exec(p, c)
	}
	if p.core != nil {
		w.checkCores(p)
	} else {
		w.checkGate(p)
	}
}
