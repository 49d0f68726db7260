// The write-ahead log writer of a control plane member. It writes and syncs batches on its own goroutine. A failed
// write is retried until it succeeds, and no batch is acknowledged in the meantime.

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

// recordLog is the log that a Disk writes to: a *wal.Log, or in tests one that returns errors.
type recordLog interface {
	// Append writes and syncs records. If the current file has no room for all of them, it writes none and returns
	// false.
	Append(records ...[]byte) (room bool, err error)
	// Rotate starts a new file with a checkpoint record, which replaces all earlier records.
	Rotate(checkpoint []byte) error
}

// Disk owns a member's write-ahead log. It takes batches and posts the sequence number of the last one synced.
type Disk struct {
	log           *logrus.Logger
	loop          *Loop
	wal           recordLog
	persisted     consensus.PersistentState // the state after all records of the log
	queue         chan *wire.Batch
	retryInterval time.Duration // delay before a failed write is retried
	writeErr      error         // error of the last write, nil if it succeeded
}

func newDisk(log *logrus.Logger, loop *Loop, records recordLog) *Disk {
	return &Disk{log: log, loop: loop, wal: records, queue: make(chan *wire.Batch, tuning.EventQueue), retryInterval: tuning.DiskRetry}
}

// Write queues a batch for Run, which writes it and posts a statemachine.Synced. It blocks while the queue is full.
func (d *Disk) Write(ctx context.Context, batch *wire.Batch) {
	select {
	case d.queue <- batch:
	case <-ctx.Done():
	}
}

// Run writes and syncs queued batches until the context ends. Batches that are queued at the same time share one write.
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

// sync writes batches, with retries until the write succeeds or the context ends, and then acknowledges them.
func (d *Disk) sync(ctx context.Context, batches []*wire.Batch) {
	var records [][]byte
	for _, batch := range batches {
		d.persisted.ApplyBatch(batch)
		record, err := wire.EncodeBatch(batch)
		if err != nil {
			d.log.WithError(err).WithField("batch", batch.Seq).Fatal("batch encoding failed")
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
		case <-time.After(d.retryInterval):
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

// rotate replaces all records of the log by one checkpoint of the persisted state.
func (d *Disk) rotate() error {
	record, err := wire.EncodeBatch(d.persisted.Checkpoint())
	if err != nil {
		return err
	}
	return d.wal.Rotate(record)
}

// reportHealth logs and posts a change of the disk's health: the first failed write, a failure with another error, or
// recovery.
func (d *Disk) reportHealth(err error) {
	before := d.writeErr
	d.writeErr = err
	switch {
	case err == nil && before == nil, err != nil && before != nil && err.Error() == before.Error():
		return
	case err == nil:
		d.log.Info("disk accepts writes again")
	default:
		d.log.WithError(err).Error("disk rejects writes; no batch is acknowledged until it accepts them")
	}
	d.loop.Post(statemachine.DiskHealth{Err: err})
}

// load restores the persisted state from the records of the log. A log without a disk number gets a new one.
func (d *Disk) load(records [][]byte) error {
	for _, record := range records {
		batch, err := wire.DecodeBatch(record)
		if err != nil { // the status API shows this text, so it must not change
			return errors.Mark(errors.Wrap(err, "ring record"), wal.ErrDamaged)
		}
		d.persisted.ApplyBatch(batch)
	}
	if err := controlplane.CheckPersistentState(&d.persisted); err != nil {
		return err
	}
	if d.persisted.Disk != 0 {
		return nil
	}
	d.persisted.Disk = newDiskNumber()
	return d.rotate()
}

// persistedCopy returns a copy of the persisted state that later batches don't change.
func (d *Disk) persistedCopy() consensus.PersistentState {
	persisted := d.persisted
	persisted.Log = slices.Clone(persisted.Log)
	return persisted
}
