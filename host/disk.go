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

// Disk owns the ring: batches in, numbers of synced ones out.
type Disk struct {
	h    *Host
	ring *ring.Ring
	img  quorum.Image
	in   chan *wire.Batch
}

// OpenDisk reads what the folder holds; an empty one gets a number of its own.
func (h *Host) OpenDisk() (*Disk, quorum.Image, error) {
	r, recs, err := ring.Open(h.Set.Data, limit.RingFiles, limit.RingFileSize)
	if err != nil {
		return nil, quorum.Image{}, err
	}
	d := &Disk{h: h, ring: r, in: make(chan *wire.Batch, limit.EventQueue)}
	for _, rec := range recs {
		b, err := wire.DecodeBatch(rec)
		if err != nil {
			return nil, quorum.Image{}, errors.Mark(errors.Wrap(err, "ring record"), ring.ErrDamaged)
		}
		d.img.Fold(b)
	}
	if d.img.Disk == 0 {
		d.img.Disk = rand.Uint64() | 1
		if err := d.rotate(); err != nil {
			return nil, quorum.Image{}, err
		}
	}
	img := d.img
	img.Log = slices.Clone(img.Log)
	return d, img, nil
}

func (d *Disk) rotate() error {
	b, err := wire.EncodeBatch(d.img.Whole())
	if err != nil {
		return err
	}
	return d.ring.Rotate(b)
}

func (d *Disk) Run() {
	for b := range d.in {
		bs := []*wire.Batch{b}
		for len(d.in) > 0 && len(bs) < 64 {
			bs = append(bs, <-d.in)
		}
		var recs [][]byte
		for _, b := range bs {
			d.img.Fold(b)
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
		d.h.Loop.Tell(core.Synced{Seq: bs[len(bs)-1].Seq})
	}
}
