// This file is what a member's disk holds.

package consensus

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/wire"
)

// PersistentState is what a disk holds: all its batches applied in order. To Raft's term, vote, log and snapshot it adds
// what the control plane needs to bootstrap and to recover a cluster.
type PersistentState struct {
	// Epoch counts the cluster's bootstraps.
	Epoch uint64
	// Disk is the disk's own number, 0 if it has none yet.
	Disk uint64
	// Term is the latest term that the member has been in, and Vote the candidate that got its vote there, "" for none.
	Term uint64
	Vote string
	// Snapshot replaces the log's entries up to Snapshot.Index; Log holds those after it.
	Snapshot wire.Snapshot
	Log      []wire.Entry
	// BootstrapLock is the bootstrap offer that the disk is bound to, 0 for none. Founders and BootstrapEpoch are
	// the members and the epoch that it stands for.
	BootstrapLock uint64
	// RecoveredState is state that is remembered for recovery from a disaster.
	RecoveredState []byte
	Founders       []wire.Member
	BootstrapEpoch uint64
}

// ApplyBatch applies the next batch. Entries and lists that were handed out before are not changed.
func (s *PersistentState) ApplyBatch(batch *wire.Batch) {
	if batch.Reset {
		*s = PersistentState{Disk: s.Disk}
	}
	if batch.Disk != 0 {
		s.Disk = batch.Disk
	}
	if batch.Epoch != 0 {
		s.Epoch = batch.Epoch
	}
	if batch.BootstrapLock != 0 {
		s.BootstrapLock, s.Founders, s.BootstrapEpoch = batch.BootstrapLock, batch.Founders, batch.BootstrapEpoch
	}
	if len(batch.RecoveredState) > 0 {
		s.RecoveredState = batch.RecoveredState
	}
	if batch.HasHardState {
		s.Term, s.Vote = batch.Term, batch.Vote
	}
	if batch.Snapshot != nil {
		s.Snapshot = *batch.Snapshot
		s.removeEntries(func(index uint64) bool { return index <= batch.Snapshot.Index })
	}
	if batch.TruncateFrom != 0 {
		s.removeEntries(func(index uint64) bool { return index >= batch.TruncateFrom })
	}
	s.Log = append(s.Log, batch.Entries...)
}

func (s *PersistentState) removeEntries(remove func(index uint64) bool) {
	s.Log = slices.DeleteFunc(slices.Clone(s.Log), func(e wire.Entry) bool { return remove(e.Index) })
}

// Checkpoint returns the state as one batch that replaces all before it, with which a file of the write-ahead log begins.
func (s *PersistentState) Checkpoint() *wire.Batch {
	return &wire.Batch{
		Reset:          true,
		Epoch:          s.Epoch,
		Disk:           s.Disk,
		HasHardState:   true,
		Term:           s.Term,
		Vote:           s.Vote,
		Snapshot:       &s.Snapshot,
		Entries:        s.Log,
		BootstrapLock:  s.BootstrapLock,
		RecoveredState: s.RecoveredState,
		Founders:       s.Founders,
		BootstrapEpoch: s.BootstrapEpoch,
	}
}

// Validate checks that a node can start from a state: its log has no gap, follows the snapshot, and its member lists can be
// decoded.
func (s *PersistentState) Validate() error {
	next := s.Snapshot.Index + 1
	for _, e := range s.Log {
		if e.Index != next {
			return errors.Newf("log entry %d where %d is due", e.Index, next)
		}
		next++
		if e.Kind != EntryMembers {
			continue
		}
		var members []wire.Member
		if err := json.Unmarshal(e.Data, &members); err != nil {
			return errors.Wrapf(err, "members entry %d", e.Index)
		}
	}
	return nil
}
