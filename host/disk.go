// This file is a member's disk: batches in, syncs out, on a goroutine of its own.

package host

import (
	"math/rand/v2"
	"slices"

	"github.com/cockroachdb/errors"

	"myrtlefold/core"
	"myrtlefold/limit"
	"myrtlefold/quorum"
	"myrtlefold/ring"
	"myrtlefold/wire"
)

// Disk owns the ring of files. It takes batches from a queue and tells the owner which are synced.
type Disk struct {
	h     *Host
	ring  *ring.Ring
	image quorum.Image
	queue chan *wire.Batch
}

// OpenDisk opens the daemon's folder and returns the state that it holds; an empty folder gets a
// number of its own. An error marked ring.ErrDamaged says that the state can't be trusted.
func (h *Host) OpenDisk() (*Disk, quorum.Image, error) {
	r, recs, err := ring.Open(h.Settings.Data, limit.RingFiles, limit.RingFileSize)
	if err != nil {
		return nil, quorum.Image{}, err
	}
	d := &Disk{h: h, ring: r, queue: make(chan *wire.Batch, limit.EventQueue)}
	for _, rec := range recs {
		b, err := wire.DecodeBatch(rec)
		if err != nil {
			return nil, quorum.Image{}, errors.Mark(errors.Wrap(err, "ring record"), ring.ErrDamaged)
		}
		d.image.Fold(b)
	}
	if d.image.Disk == 0 {
		d.image.Disk = rand.Uint64() | 1
		if err := d.rotate(); err != nil {
			return nil, quorum.Image{}, err
		}
	}
	img := d.image
	img.Log = slices.Clone(img.Log)
	return d, img, nil
}

// rotate has the ring start its next file with the whole state.
func (d *Disk) rotate() error {
	b, err := wire.EncodeBatch(d.image.Whole())
	if err != nil {
		return err
	}
	return d.ring.Rotate(b)
}

// Run writes and syncs batches as they come, several at once where they have piled up. An error of
// the disk ends the process: the owner must not go on without what it was told to keep.
func (d *Disk) Run() {
	for first := range d.queue {
		batches := []*wire.Batch{first}
		for len(d.queue) > 0 && len(batches) < limit.SyncBatches {
			batches = append(batches, <-d.queue)
		}
		var recs [][]byte
		for _, b := range batches {
			d.image.Fold(b)
			rec, err := wire.EncodeBatch(b)
			if err != nil {
				d.h.Fatal(err, "batch not encoded")
			}
			recs = append(recs, rec)
		}
		room, err := d.ring.Append(recs...)
		if err == nil && !room {
			err = d.rotate()
		}
		if err != nil {
			d.h.Fatal(err, "disk")
		}
		d.h.Loop.Tell(core.Synced{Seq: batches[len(batches)-1].Seq})
	}
}
