// This file checks what a member's disk holds.

package controlplane

import (
	"myrtlefold/internal/shared/state"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/controlplane/consensus"
)

// CheckImage says what of an image from disk can't be used. A member whose image is damaged
// must not take part with it: it is one that lost its disk.
func CheckImage(im *consensus.PersistentState) error {
	if err := im.Validate(); err != nil {
		return errors.Mark(err, state.ErrDamaged)
	}
	_, _, err := stateFromDisk(im)
	return err
}
