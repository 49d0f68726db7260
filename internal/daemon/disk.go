// This file is a member's disk: batches in, syncs out, on a goroutine of its own. A disk
// that refuses writes is tried again until it takes them, and nothing is acknowledged
// meanwhile; one whose contents can't be read whole counts as lost.

package daemon

import (
	"math/rand/v2"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/statemachine"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/controlplane"
	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/controlplane/wal"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// store is where a disk's records go: a *wal.Ring, or a stand-in that fails in tests.
type store interface {
	Append(recs ...[]byte) (room bool, err error)
	Rotate(whole []byte) error
}

// Disk owns the ring: batches in, numbers of synced ones out.
type Disk struct {
	h      *Process
	ring   store
	img    consensus.PersistentState
	queue  chan *wire.Batch
	retry  time.Duration // how long after a refused write the next is tried
	failed error         // why writes are refused now
}

// OpenDisk reads what the folder holds; an empty one gets a number of its own. An error that
// is marked wal.ErrDamaged or core.ErrDamaged says that it can't be read whole.
func (h *Process) OpenDisk() (*Disk, consensus.PersistentState, error) {
	r, recs, err := wal.Open(h.Settings.Data, tuning.WALFiles, tuning.WALFileSize)
	if err != nil {
		return nil, consensus.PersistentState{}, err
	}
	d := h.newDisk(r)
	if err := d.load(recs); err != nil {
		r.Close()
		return nil, consensus.PersistentState{}, err
	}
	return d, d.image(), nil
}

func (h *Process) newDisk(s store) *Disk {
	return &Disk{h: h, ring: s, queue: make(chan *wire.Batch, tuning.EventQueue), retry: tuning.DiskRetry}
}

func (d *Disk) load(recs [][]byte) error {
	for _, rec := range recs {
		b, err := wire.DecodeBatch(rec)
		if err != nil {
			return errors.Mark(errors.Wrap(err, "ring record"), wal.ErrDamaged)
		}
		d.img.ApplyBatch(b)
	}
	if err := controlplane.CheckImage(&d.img); err != nil {
		return err
	}
	if d.img.Disk != 0 {
		return nil
	}
	d.img.Disk = newDiskNumber()
	return d.rotate()
}

// newDiskNumber is drawn so that no two disks have the same; 0 is none.
func newDiskNumber() uint64 { return rand.Uint64() | 1 }

func (d *Disk) image() consensus.PersistentState {
	img := d.img
	img.Log = slices.Clone(img.Log)
	return img
}

// recreateDisk begins a damaged disk anew under another number: to the core this member's
// disk is lost, so it learns all again and votes once it has been added again.
func (h *Process) recreateDisk() (*Disk, consensus.PersistentState, error) {
	img := consensus.PersistentState{Disk: newDiskNumber()}
	whole, err := wire.EncodeBatch(img.Checkpoint())
	if err != nil {
		return nil, img, err
	}
	r, err := wal.Recreate(h.Settings.Data, tuning.WALFiles, tuning.WALFileSize, whole)
	if err != nil {
		return nil, img, err
	}
	d := h.newDisk(r)
	d.img = img
	return d, d.image(), nil
}

// openDiskInTime opens the disk, however often that has to be tried; damage is what was
// found if it had to be begun anew. A process that ended instead would be started again to
// meet the same.
func (h *Process) openDiskInTime() (d *Disk, img consensus.PersistentState, damage error) {
	said := ""
	for {
		d, img, err := h.OpenDisk()
		if errors.IsAny(err, wal.ErrDamaged, state.ErrDamaged) {
			h.Log.WithError(err).Error("state on disk can't be read whole; it counts as lost, and this member learns all again")
			damage = err
			d, img, err = h.recreateDisk()
		}
		if err == nil {
			return d, img, damage
		}
		if said != err.Error() {
			said = err.Error()
			h.Log.WithError(err).Error("disk can't be opened; tried again")
		}
		select {
		case <-time.After(tuning.DiskRetry):
		case <-h.stops:
			h.Log.Info("stopped; its disk was never opened")
			os.Exit(0)
		}
	}
}

func (d *Disk) rotate() error {
	b, err := wire.EncodeBatch(d.img.Checkpoint())
	if err != nil {
		return err
	}
	return d.ring.Rotate(b)
}

// Run syncs batches as they come, those that wait together in one piece.
func (d *Disk) Run() {
	for b := range d.queue {
		batches := []*wire.Batch{b}
		for len(d.queue) > 0 && len(batches) < tuning.SyncBatches {
			batches = append(batches, <-d.queue)
		}
		d.sync(batches)
	}
}

// sync writes batches until the disk has taken them, and only then says so.
func (d *Disk) sync(batches []*wire.Batch) {
	var recs [][]byte
	for _, b := range batches {
		d.img.ApplyBatch(b)
		rec, err := wire.EncodeBatch(b)
		if err != nil {
			d.h.Fatal(err, "batch not encoded")
		}
		recs = append(recs, rec)
	}
	for {
		err := d.write(recs)
		d.report(err)
		if err == nil {
			break
		}
		time.Sleep(d.retry)
	}
	d.h.Loop.Post(statemachine.Synced{Seq: batches[len(batches)-1].Seq})
}

func (d *Disk) write(recs [][]byte) error {
	room, err := d.ring.Append(recs...)
	if err == nil && !room {
		err = d.rotate()
	}
	return err
}

// report says when writes begin to be refused, for another reason, or taken again.
func (d *Disk) report(err error) {
	was := d.failed
	d.failed = err
	switch {
	case err == nil && was == nil, err != nil && was != nil && err.Error() == was.Error():
		return
	case err == nil:
		d.h.Log.Info("disk takes writes again")
	default:
		d.h.Log.WithError(err).Error("disk refuses writes; nothing is acknowledged until it takes them")
	}
	d.h.Loop.Post(statemachine.DiskHealth{Err: err})
}
