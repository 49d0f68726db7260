// This file is what a member's disk holds: every synced batch folded in order.

package consensus

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/wire"
)

// PersistentState is what a disk holds: every batch folded in order.
type PersistentState struct {
	Epoch          uint64
	Disk           uint64
	Term           uint64
	Vote           string
	Snapshot       wire.Snapshot
	Log            []wire.Entry
	BootstrapLock  uint64
	RecoveredState []byte
	// what Lock stands for
	Founders       []wire.Member
	BootstrapEpoch uint64
}

// ApplyBatch applies one batch.
func (im *PersistentState) ApplyBatch(b *wire.Batch) {
	if b.Reset {
		*im = PersistentState{Disk: im.Disk}
	}
	if b.Disk != 0 {
		im.Disk = b.Disk
	}
	if b.Epoch != 0 {
		im.Epoch = b.Epoch
	}
	if b.BootstrapLock != 0 {
		im.BootstrapLock, im.Founders, im.BootstrapEpoch = b.BootstrapLock, b.Founders, b.BootstrapEpoch
	}
	if len(b.RecoveredState) > 0 {
		im.RecoveredState = b.RecoveredState
	}
	if b.HasHardState {
		im.Term, im.Vote = b.Term, b.Vote
	}
	if b.Snapshot != nil {
		im.Snapshot = *b.Snapshot
		im.Log = slices.DeleteFunc(slices.Clone(im.Log), func(e wire.Entry) bool { return e.Index <= b.Snapshot.Index })
	}
	if b.TruncateFrom != 0 {
		im.Log = slices.DeleteFunc(slices.Clone(im.Log), func(e wire.Entry) bool { return e.Index >= b.TruncateFrom })
	}
	im.Log = append(im.Log, b.Entries...)
}

// Checkpoint is the image as one batch, for the head of a ring file.
func (im *PersistentState) Checkpoint() *wire.Batch {
	return &wire.Batch{Reset: true, Epoch: im.Epoch, Disk: im.Disk, HasHardState: true, Term: im.Term, Vote: im.Vote,
		Snapshot: &im.Snapshot, Entries: im.Log, BootstrapLock: im.BootstrapLock, RecoveredState: im.RecoveredState,
		Founders: im.Founders, BootstrapEpoch: im.BootstrapEpoch}
}

// Validate says what in a state from disk can't be used: a gap in the log, entries that
// do not follow the snapshot, or a list of members that does not decode.
func (im *PersistentState) Validate() error {
	next := im.Snapshot.Index + 1
	for _, e := range im.Log {
		if e.Index != next {
			return errors.Newf("log entry %d where %d is due", e.Index, next)
		}
		next++
		if e.Kind != EntryMembers {
			continue
		}
		var ms []wire.Member
		if err := json.Unmarshal(e.Data, &ms); err != nil {
			return errors.Wrapf(err, "members entry %d", e.Index)
		}
	}
	return nil
}
