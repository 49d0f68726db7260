// This file restores the control plane's state from a member's disk.

package controlplane

import (
	"github.com/cockroachdb/errors"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/wire"
)

// CheckPersistentState checks whether a member's disk image can be used completely. The error, marked state.ErrDamaged, names the
// first part that can't be. In that case the member must not use the image, but start as one that lost its disk.
func CheckPersistentState(image *consensus.PersistentState) error {
	if err := image.Validate(); err != nil {
		return errors.Mark(err, state.ErrDamaged)
	}
	_, _, err := stateFromDisk(image)
	return err
}

// stateFromDisk returns the state after all entries in a disk image, and the term of the last one. Without a majority it
// is unknown which entries were committed. Any of them may have been acknowledged, so all of them are applied. With an
// error it returns the state before the damaged part.
func stateFromDisk(image *consensus.PersistentState) (stored state.State, term uint64, err error) {
	stored, err = state.Decode(image.Snapshot.Data)
	if err != nil {
		return stored, 0, errors.Wrapf(err, "snapshot %d", image.Snapshot.Index)
	}
	term = image.Snapshot.Term
	for i := range image.Log {
		if err := applyStored(&stored, &image.Log[i]); err != nil {
			return stored, term, errors.Wrapf(err, "entry %d", image.Log[i].Index)
		}
		term = image.Log[i].Term
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
		return errors.Mark(errors.New("the epoch's first state does not decode"), state.ErrDamaged)
	}
	return nil
}
