// The state that a member stores on disk.

package consensus

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/wire"
)

// PersistentState is the state on a disk: the result of applying all its batches in order. Besides Raft's term, vote, log
// and snapshot it holds what the control plane needs to bootstrap and to recover a cluster.
type PersistentState struct {
	// Epoch is the number of times the cluster has been bootstrapped.
	Epoch uint64
	// Disk is the disk's identifying number, 0 if none has been assigned yet.
	Disk uint64
	// Term is the latest term of the member, and Vote the candidate that it voted for in that term, "" for none.
	Term uint64
	Vote string
	// Snapshot replaces the log's entries up to Snapshot.Index; Log holds the entries after it.
	Snapshot wire.Snapshot
	Log      []wire.Entry
	// BootstrapLock is the bootstrap offer that the disk is committed to, 0 for none. Founders and BootstrapEpoch,
	// further down, are the members and the epoch of that offer.
	BootstrapLock uint64
	// RecoveredState is a copy of the replicated state, from which a bootstrap or a disaster recovery may begin, encoded
	// by Compress. It is empty if there is none.
	RecoveredState []byte
	Founders       []wire.Member
	BootstrapEpoch uint64
}

// ApplyBatch applies the next batch. It doesn't modify entries or lists in place, so copies of the state made earlier stay
// valid.
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

// Checkpoint returns the whole state as one batch that replaces all earlier ones. Each segment of the write-ahead log begins
// with such a batch.
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

// Validate checks that a node can start from the state: the log directly follows the snapshot, has no gaps, and its member
// lists can be decoded. The API's status of a member shows the error's text.
func (s *PersistentState) Validate() error {
	next := s.Snapshot.Index + 1
	for _, e := range s.Log {
		if e.Index != next {
			return errors.Newf("log has entry %d where entry %d is expected", e.Index, next)
		}
		next++
		if e.Kind != EntryMembers {
			continue
		}
		var members []wire.Member
		if err := json.Unmarshal(e.Data, &members); err != nil {
			return errors.Wrapf(err, "decode membership change entry %d", e.Index)
		}
	}
	return nil
}
