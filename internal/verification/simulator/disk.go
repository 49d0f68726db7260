package simulator

import (
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// disk is a control daemon's disk.
type disk struct {
	image    consensus.PersistentState // what is synced
	unsynced []*wire.Batch             // what was written and is not synced, the oldest first
	stalled  bool
	slowdown int  // how many times longer a sync takes, 0: as usual
	syncing  bool // a slow sync is under way
	full     bool // it takes no more bytes
	// rejecting: a write was rejected and is tried again.
	rejecting bool
}

// syncTime is the longest that a sync takes on an undisturbed disk, in milliseconds.
const syncTime = 4

// errDiskFull is why a full disk rejects a write.
var errDiskFull = errors.New("no space left on device")

// randomDiskID draws a number for a new disk, never 0.
func (w *World) randomDiskID() uint64 { return w.random.Uint64() | 1 }

// WipeDisk loses a dead member's disk.
func (w *World) WipeDisk(p *Process) {
	w.logf("wipe disk of %s", p.name)
	w.recordDiskLoss(p)
	p.disk = &disk{image: consensus.PersistentState{Disk: w.randomDiskID()}}
}

// tearDisk leaves a part of what was not synced, and loses the rest.
func (w *World) tearDisk(d *disk) {
	for len(d.unsynced) > 0 && w.random.IntN(3) > 0 {
		d.image.ApplyBatch(d.unsynced[0])
		d.unsynced = d.unsynced[1:]
	}
	d.unsynced, d.stalled = nil, false
}

// StallDisk keeps a disk from syncing for a while.
func (w *World) StallDisk(p *Process, span time.Duration) {
	w.logf("stall disk of %s for %v", p.name, span)
	d, incarnation := p.disk, p.incarnation
	d.stalled = true
	w.schedule(span, func() {
		d.stalled = false
		w.flushDisk(p, incarnation, d)
	})
}

// slowDisk has a disk take so many times as long for each sync, one at a time, for a while.
func (w *World) slowDisk(p *Process, times int, span time.Duration) {
	w.logf("disk of %s is %d times slower for %v", p.name, times, span)
	d := p.disk
	d.slowdown = times
	w.schedule(span, func() { d.slowdown = 0 })
}

// fillDisk has a disk reject all writes for a while.
func (w *World) fillDisk(p *Process, span time.Duration) {
	w.logf("disk of %s is full for %v", p.name, span)
	d := p.disk
	d.full = true
	w.schedule(span, func() { d.full = false })
}

// write carries out a command to write a batch to disk and sync it.
func (w *World) write(p *Process, c statemachine.Sync) {
	p.disk.unsynced = append(p.disk.unsynced, c.Batch)
	if w.disabledGuard == guardSync {
		w.schedule(0, func() { w.deliver(p, statemachine.Synced{Seq: c.Batch.Seq}) })
		return
	}
	w.syncDisk(p, p.incarnation, p.disk)
}

// syncDisk syncs what was written, after the time that it takes. What comes while a write is rejected
// waits behind it.
func (w *World) syncDisk(p *Process, incarnation int, d *disk) {
	switch {
	case d.rejecting:
	case d.slowdown > 0 || d.syncing:
		w.syncDiskSlowly(p, incarnation, d)
	default:
		w.schedule(w.randomMilliseconds(0, syncTime), func() { w.flushDisk(p, incarnation, d) })
	}
}

// canFlush says whether a start of a process still runs on a disk, and there is something to sync and
// nothing in the way.
func (d *disk) canFlush(p *Process, incarnation int) bool {
	return p.incarnation == incarnation && p.alive && d == p.disk && !d.stalled && !d.rejecting && len(d.unsynced) > 0
}

// flushDisk syncs all that was written, and tells the process.
func (w *World) flushDisk(p *Process, incarnation int, d *disk) {
	if !d.canFlush(p, incarnation) {
		return
	}
	if d.full {
		w.rejectWrite(p, incarnation, d)
		return
	}
	var sequence uint64
	for _, batch := range d.unsynced {
		d.image.ApplyBatch(batch)
		sequence = batch.Seq
	}
	d.unsynced = nil
	w.deliver(p, statemachine.Synced{Seq: sequence})
}

// syncDiskSlowly syncs what is there now, and then what has come meanwhile.
func (w *World) syncDiskSlowly(process *Process, incarnation int, slow *disk) {
	if slow.syncing {
		return
	}
	slow.syncing = true
	started := len(slow.unsynced)
	w.schedule(w.randomMilliseconds(0, syncTime*max(1, slow.slowdown)), func() {
		slow.syncing = false
		if !slow.canFlush(process, incarnation) {
			return
		}
		if slow.full {
			w.rejectWrite(process, incarnation, slow)
			return
		}
		rest := slow.unsynced[min(started, len(slow.unsynced)):]
		slow.unsynced = slow.unsynced[:min(started, len(slow.unsynced))]
		w.flushDisk(process, incarnation, slow)
		if slow.unsynced = append(rest, slow.unsynced...); len(slow.unsynced) > 0 && process.incarnation == incarnation {
			w.syncDiskSlowly(process, incarnation, slow)
		}
	})
}

// rejectWrite rejects what waits for a disk. As in daemon.Disk, the process learns why,
// acknowledges nothing meanwhile and tries again every tuning.DiskRetry.
func (w *World) rejectWrite(p *Process, incarnation int, d *disk) {
	w.Stats.RejectedWrites++
	w.schedule(tuning.DiskRetry, func() { w.retryWrite(p, incarnation, d) })
	if !d.rejecting {
		d.rejecting = true
		w.logf("disk of %s refuses writes", p.name)
		w.deliver(p, statemachine.DiskHealth{Err: errDiskFull})
	}
}

// retryWrite tries a rejected write again; a process that is frozen tries when it goes on.
func (w *World) retryWrite(p *Process, incarnation int, d *disk) {
	switch {
	case p.incarnation != incarnation || !p.alive || d != p.disk:
	case p.frozen || d.stalled:
		w.schedule(tuning.DiskRetry, func() { w.retryWrite(p, incarnation, d) })
	case d.full:
		w.rejectWrite(p, incarnation, d)
	default:
		w.logf("disk of %s takes writes again", p.name)
		d.rejecting = false
		w.deliver(p, statemachine.DiskHealth{})
		w.syncDisk(p, incarnation, d)
	}
}
