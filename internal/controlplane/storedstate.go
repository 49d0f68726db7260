// This file reads the state of the control plane from what a member has on disk.

package controlplane

import (
	"github.com/cockroachdb/errors"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/wire"
)

// CheckImage checks what a member has on disk. An error, which is marked state.ErrDamaged, says what of it
// can't be used; then the member must not take part with it, but as one that lost its disk.
func CheckImage(image *consensus.PersistentState) error {
	if err := image.Validate(); err != nil {
		return errors.Mark(err, state.ErrDamaged)
	}
	_, _, err := stateFromDisk(image)
	return err
}

// stateFromDisk is the state after all entries on a disk, and the term of the last one. Where no majority
// is left, nobody can say which entries were committed; any of them may have been acknowledged, so all
// count. With an error it is the state before the damage.
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

// applyStored applies an entry of a stored log. An error is marked state.ErrDamaged.
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
