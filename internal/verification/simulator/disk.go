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
	image    consensus.PersistentState // synced state
	unsynced []*wire.Batch             // batches written but not synced, oldest first
	stalled  bool                      // syncs don't complete
	slowdown int                       // factor by which syncs take longer; 0: normal speed
	syncing  bool                      // a slow sync is in progress
	full     bool                      // writes are rejected
	// rejecting means that a write was rejected and is being retried.
	rejecting bool
}

// syncTime is the maximum duration of a sync without faults, in milliseconds.
const syncTime = 4

// errDiskFull is the error of a write to a full disk.
var errDiskFull = errors.New("no space left on device")

// randomDiskID returns a random id for a new disk, never 0.
func (w *World) randomDiskID() uint64 { return w.random.Uint64() | 1 }

// WipeDisk replaces the disk of a stopped process with an empty one.
func (w *World) WipeDisk(p *Process) {
	w.logf("wipe disk of %s", p.name)
	w.recordDiskLoss(p)
	p.disk = &disk{image: consensus.PersistentState{Disk: w.randomDiskID()}}
}

// loseUnsynced applies a random prefix of the unsynced batches to a disk and drops the rest, as a crash does.
func (w *World) loseUnsynced(d *disk) {
	for len(d.unsynced) > 0 && w.random.IntN(3) > 0 {
		d.image.ApplyBatch(d.unsynced[0])
		d.unsynced = d.unsynced[1:]
	}
	d.unsynced, d.stalled = nil, false
}

// StallDisk prevents a disk from completing syncs for a while.
func (w *World) StallDisk(p *Process, span time.Duration) {
	w.logf("disk of %s stalls for %v", p.name, span)
	d, incarnation := p.disk, p.incarnation
	d.stalled = true
	w.schedule(span, func() {
		d.stalled = false
		w.flushDisk(p, incarnation, d)
	})
}

// slowDisk makes each sync of a disk take factor times as long for a while. Syncs then run one at a time.
func (w *World) slowDisk(p *Process, factor int, span time.Duration) {
	w.logf("disk of %s is %d times slower for %v", p.name, factor, span)
	d := p.disk
	d.slowdown = factor
	w.schedule(span, func() { d.slowdown = 0 })
}

// fillDisk makes a disk reject all writes for a while.
func (w *World) fillDisk(p *Process, span time.Duration) {
	w.logf("disk of %s is full for %v", p.name, span)
	d := p.disk
	d.full = true
	w.schedule(span, func() { d.full = false })
}

// write executes a command to write a batch to disk and sync it.
func (w *World) write(p *Process, c statemachine.Sync) {
	p.disk.unsynced = append(p.disk.unsynced, c.Batch)
	if w.disabledGuard == guardSync {
		w.schedule(0, func() { w.deliver(p, statemachine.Synced{Seq: c.Batch.Seq}) })
		return
	}
	w.syncDisk(p, p.incarnation, p.disk)
}

// syncDisk syncs the written batches after a random sync time. While a rejected write is retried, further batches wait for it.
func (w *World) syncDisk(p *Process, incarnation int, d *disk) {
	switch {
	case d.rejecting:
	case d.slowdown > 0 || d.syncing:
		w.syncDiskSlowly(p, incarnation, d)
	default:
		w.schedule(w.randomMilliseconds(0, syncTime), func() { w.flushDisk(p, incarnation, d) })
	}
}

// canFlush reports whether an incarnation of a process still runs with this disk, and the disk has batches to sync and is able to
// sync them.
func (d *disk) canFlush(p *Process, incarnation int) bool {
	return p.incarnation == incarnation && p.alive && d == p.disk && !d.stalled && !d.rejecting && len(d.unsynced) > 0
}

// flushDisk syncs all written batches and notifies the process.
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

// syncDiskSlowly syncs the batches written so far, and then those written in the meantime.
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

// rejectWrite rejects the unsynced batches. As with daemon.Disk, the process is notified of the error, and the write is retried
// every tuning.DiskRetry until it succeeds; nothing is acknowledged in the meantime.
func (w *World) rejectWrite(p *Process, incarnation int, d *disk) {
	w.Stats.RejectedWrites++
	w.schedule(tuning.DiskRetry, func() { w.retryWrite(p, incarnation, d) })
	if !d.rejecting {
		d.rejecting = true
		w.logf("disk of %s rejects writes", p.name)
		w.deliver(p, statemachine.DiskHealth{Err: errDiskFull})
	}
}

// retryWrite retries a rejected write. It waits while the process is frozen.
func (w *World) retryWrite(p *Process, incarnation int, d *disk) {
	switch {
	case p.incarnation != incarnation || !p.alive || d != p.disk:
	case p.frozen || d.stalled:
		w.schedule(tuning.DiskRetry, func() { w.retryWrite(p, incarnation, d) })
	case d.full:
		w.rejectWrite(p, incarnation, d)
	default:
		w.logf("disk of %s accepts writes again", p.name)
		d.rejecting = false
		w.deliver(p, statemachine.DiskHealth{})
		w.syncDisk(p, incarnation, d)
	}
}
