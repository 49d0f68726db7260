// This file takes a member from one epoch into a later one.

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

// batchesPerNode is how many batches a node may write before the numbers of the next node's begin.
const batchesPerNode = 1 << 32

// isNonVoter says that this process is no voting member of its epoch: it is empty, or only learns.
func (c *Controller) isNonVoter() bool {
	return c.node == nil || !slices.Contains(c.node.Members(), wire.Member{Name: c.settings.Self.Name, Disk: c.persistentState.Disk})
}

// beginEpoch begins the epoch that this member has locked, as one of its founders.
func (c *Controller) beginEpoch(now time.Duration) {
	locked := &c.persistentState
	image := consensus.PersistentState{
		Epoch:          locked.BootstrapEpoch,
		Disk:           locked.Disk,
		BootstrapLock:  locked.BootstrapLock,
		Founders:       locked.Founders,
		BootstrapEpoch: locked.BootstrapEpoch,
		// The members are a snapshot at entry 1, so that a member that is no founder gets them from the leader.
		Snapshot:       wire.Snapshot{Index: 1, Members: locked.Founders},
		RecoveredState: c.recoveredStateOfDisk(),
	}
	c.recoveryConsent = discovery.RecoveryConsent{}
	c.startEpoch(now, image)
	present := 0
	for _, founder := range image.Founders {
		if founder.Disk != 0 {
			present++
		}
	}
	c.emit(statemachine.StateChange{Subject: statemachine.SubjectEpoch, From: "", To: fmt.Sprint(image.Epoch),
		Reason: fmt.Sprintf("%d of %d members agreed to bootstrap", present, len(image.Founders))})
}

// recoveredStateOfDisk is the state that this member takes from its epoch into the next one, as an encoded
// state.RecoveredState: what its disk leads to, or, if it was no voting member of an epoch that had a state,
// what it had taken from an earlier one. Of a damaged disk it is what comes before the damage, which says
// of itself how old it is.
func (c *Controller) recoveredStateOfDisk() []byte {
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

// joinEpoch enters an epoch with nothing, to learn its state from the leader.
func (c *Controller) joinEpoch(now time.Duration, epoch uint64) {
	c.emit(statemachine.StateChange{Subject: statemachine.SubjectEpoch, From: fmt.Sprint(c.persistentState.Epoch), To: fmt.Sprint(epoch), Reason: "joined"})
	c.startEpoch(now, consensus.PersistentState{Epoch: epoch, Disk: c.persistentState.Disk})
}

// startEpoch replaces what is on disk, and the node, by those of another epoch.
func (c *Controller) startEpoch(now time.Duration, image consensus.PersistentState) {
	c.node, c.currentOffer = nil, 0
	c.persistentState = image
	c.batchOffset += batchesPerNode
	c.syncImage()
	c.startNode(now)
}
