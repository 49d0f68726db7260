// This file moves a member from one epoch to a later one.

package controlplane

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/discovery"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// batchesPerNode is the size of the range of batch numbers that is reserved for each consensus node of this process.
const batchesPerNode = 1 << 32

// isNonVoter reports whether this process is not a voting member of an epoch: it has no epoch or is only a learner.
func (c *Controller) isNonVoter() bool {
	return c.node == nil || !slices.Contains(c.node.Members(), wire.Member{Name: c.settings.Self.Name, Disk: c.persistentState.Disk})
}

// beginEpoch starts the epoch that this member has locked as one of its founders.
func (c *Controller) beginEpoch(now time.Duration) {
	locked := &c.persistentState
	persistentState := consensus.PersistentState{
		Epoch:          locked.BootstrapEpoch,
		Disk:           locked.Disk,
		BootstrapLock:  locked.BootstrapLock,
		Founders:       locked.Founders,
		BootstrapEpoch: locked.BootstrapEpoch,
		// The member list is stored as a snapshot at entry 1, so that a member that is not a founder gets it from the leader.
		Snapshot:       wire.Snapshot{Index: 1, Members: locked.Founders},
		RecoveredState: c.recoveredStateFromDisk(),
	}
	c.recoveryConsent = discovery.RecoveryConsent{}
	c.startEpoch(now, persistentState)
	present := 0
	for _, founder := range persistentState.Founders {
		if founder.Disk != 0 {
			present++
		}
	}
	c.emit(statemachine.StateChange{Subject: statemachine.SubjectEpoch, From: "", To: fmt.Sprint(persistentState.Epoch),
		Reason: fmt.Sprintf("%d of %d members agreed to bootstrap", present, len(persistentState.Founders))})
}

// recoveredStateFromDisk returns the state that this member carries from its epoch into the next one, as an encoded
// state.RecoveredState. It is the state built from the snapshot and log on its disk or, if this member was not a voting
// member of an epoch with a committed state, the one that it carried over from an earlier epoch. If the disk
// is damaged, it is the state before the damage; its epoch, term and index show how old it is.
func (c *Controller) recoveredStateFromDisk() []byte {
	stored, term, err := stateFromDisk(&c.persistentState)
	if err != nil {
		c.ReportDamage("state on this disk", err)
	}
	if !stored.Recovered || c.isNonVoter() {
		return c.persistentState.RecoveredState
	}
	text, _ := json.Marshal(stored)
	recovered, _ := json.Marshal(state.RecoveredState{Epoch: c.node.Epoch(), Term: term, Index: stored.Index, State: text})
	return recovered
}

// joinEpoch enters an epoch with an empty log, to receive the state from the leader.
func (c *Controller) joinEpoch(now time.Duration, epoch uint64) {
	c.emit(statemachine.StateChange{Subject: statemachine.SubjectEpoch, From: fmt.Sprint(c.persistentState.Epoch), To: fmt.Sprint(epoch), Reason: "joined with an empty log"})
	c.startEpoch(now, consensus.PersistentState{Epoch: epoch, Disk: c.persistentState.Disk})
}

// startEpoch replaces the persistent state and the consensus node by those of another epoch.
func (c *Controller) startEpoch(now time.Duration, persistentState consensus.PersistentState) {
	c.node, c.currentOffer = nil, 0
	c.persistentState = persistentState
	c.batchOffset += batchesPerNode
	c.syncCheckpoint()
	c.startNode(now)
}
