// This file is a member's disk: batches in, syncs out, on a goroutine of its own. A write that the disk rejects is
// retried until it succeeds, and nothing is acknowledged meanwhile.

package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"myrtlefold/internal/controlplane"
	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/controlplane/wal"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// recordLog is where a disk's records go: a *wal.Log, or one that fails in tests.
type recordLog interface {
	// Append writes and syncs records. It returns false if there was no room, and then has written none.
	Append(records ...[]byte) (room bool, err error)
	// Rotate begins a new file with a record that stands for all before it.
	Rotate(complete []byte) error
}

// Disk owns a member's write-ahead log: batches in, numbers of synced ones out.
type Disk struct {
	log       *logrus.Logger
	loop      *Loop
	wal       recordLog
	persisted consensus.PersistentState // what the log's records amount to
	queue     chan *wire.Batch
	retryGap  time.Duration // how long after a rejected write it is retried
	failure   error         // why writes are rejected now, nil: they are not
}

func newDisk(log *logrus.Logger, loop *Loop, records recordLog) *Disk {
	return &Disk{log: log, loop: loop, wal: records, queue: make(chan *wire.Batch, tuning.EventQueue), retryGap: tuning.DiskRetry}
}

// Write queues a batch, which Run writes and acknowledges by a statemachine.Synced; it waits while the queue is full.
func (d *Disk) Write(ctx context.Context, batch *wire.Batch) {
	select {
	case d.queue <- batch:
	case <-ctx.Done():
	}
}

// Run writes and syncs batches as they come until the context ends, those that wait together in one write.
func (d *Disk) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case batch := <-d.queue:
			batches := []*wire.Batch{batch}
			for len(d.queue) > 0 && len(batches) < tuning.SyncBatches {
				batches = append(batches, <-d.queue)
			}
			d.sync(ctx, batches)
		}
	}
}

// sync writes batches until the disk has taken them or the context ends, and acknowledges them if it has.
func (d *Disk) sync(ctx context.Context, batches []*wire.Batch) {
	var records [][]byte
	for _, batch := range batches {
		d.persisted.ApplyBatch(batch)
		record, err := wire.EncodeBatch(batch)
		if err != nil {
			d.log.WithError(err).WithField("batch", batch.Seq).Fatal("batch can't be encoded")
		}
		records = append(records, record)
	}
	for {
		err := d.write(records)
		d.reportHealth(err)
		if err == nil {
			break
		}
		select {
		case <-time.After(d.retryGap):
		case <-ctx.Done():
			return
		}
	}
	d.loop.Post(statemachine.Synced{Seq: batches[len(batches)-1].Seq})
}

func (d *Disk) write(records [][]byte) error {
	room, err := d.wal.Append(records...)
	if err == nil && !room {
		err = d.rotate()
	}
	return err
}

// rotate puts one record of the complete persisted state in place of all others.
func (d *Disk) rotate() error {
	record, err := wire.EncodeBatch(d.persisted.Checkpoint())
	if err != nil {
		return err
	}
	return d.wal.Rotate(record)
}

// reportHealth logs and posts when writes begin to be rejected, for another reason, or accepted again.
func (d *Disk) reportHealth(err error) {
	before := d.failure
	d.failure = err
	switch {
	case err == nil && before == nil, err != nil && before != nil && err.Error() == before.Error():
		return
	case err == nil:
		d.log.Info("disk accepts writes again")
	default:
		d.log.WithError(err).Error("disk rejects writes; nothing is acknowledged until it accepts them")
	}
	d.loop.Post(statemachine.DiskHealth{Err: err})
}

// load reads the records of the log; an empty log gets a disk number of its own.
func (d *Disk) load(records [][]byte) error {
	for _, record := range records {
		batch, err := wire.DecodeBatch(record)
		if err != nil { // its text is in the API's status of a member, and so stays as it is
			return errors.Mark(errors.Wrap(err, "ring record"), wal.ErrDamaged)
		}
		d.persisted.ApplyBatch(batch)
	}
	if err := controlplane.CheckImage(&d.persisted); err != nil {
		return err
	}
	if d.persisted.Disk != 0 {
		return nil
	}
	d.persisted.Disk = newDiskNumber()
	return d.rotate()
}

// persistedCopy returns the persisted state as it is now; the disk's own changes with each batch.
func (d *Disk) persistedCopy() consensus.PersistentState {
	persisted := d.persisted
	persisted.Log = slices.Clone(persisted.Log)
	return persisted
}
