// This file restores the control plane's state from a member's disk.

package controlplane

import (
	"github.com/cockroachdb/errors"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/wire"
)

// CheckPersistentState checks whether all of the state on a member's disk can be used. The error, marked
// state.ErrDamaged, names the first part that can't be. In that case the member must not use any of it, but start as a
// member that lost its disk.
func CheckPersistentState(persistentState *consensus.PersistentState) error {
	if err := persistentState.Validate(); err != nil {
		return errors.Mark(err, state.ErrDamaged)
	}
	_, _, err := stateFromDisk(persistentState)
	return err
}

// stateFromDisk returns the state after all entries on a disk, and the term of the last one. Without a majority it is
// unknown which entries were committed. Any of them may have been acknowledged, so all of them are applied. With an
// error it returns the state before the damaged part.
func stateFromDisk(persistentState *consensus.PersistentState) (stored state.State, term uint64, err error) {
	stored, err = state.Decode(persistentState.Snapshot.Data)
	if err != nil {
		return stored, 0, errors.Wrapf(err, "snapshot %d", persistentState.Snapshot.Index)
	}
	term = persistentState.Snapshot.Term
	for i := range persistentState.Log {
		if err := applyStored(&stored, &persistentState.Log[i]); err != nil {
			return stored, term, errors.Wrapf(err, "entry %d", persistentState.Log[i].Index)
		}
		term = persistentState.Log[i].Term
	}
	return stored, term, nil
}

// applyStored applies an entry of a stored log to a state. The error is marked state.ErrDamaged.
func applyStored(stored *state.State, entry *wire.Entry) error {
	if entry.Kind != consensus.EntryData {
		return nil
	}
	command, err := state.DecodeCommand(entry.Data)
	if err != nil {
		return err
	}
	beginsEpoch := command.Operation == state.OpRecover && !stored.Recovered
	stored.Apply(entry.Index, command)
	if beginsEpoch && !stored.Recovered {
		return errors.Mark(errors.New("the initial state of the epoch cannot be decoded"), state.ErrDamaged)
	}
	return nil
}
