package controlplane

import (
	"fmt"
	"slices"
	"testing"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// changeDomain sends a change of a domain to the member and runs it until the change is in force.
func (f *idleFleet) changeDomain(id uint64, domain, action string) {
	f.step(statemachine.Call{ID: id, Token: fmt.Sprint("change-", id), Method: methodPost, Path: "/v1/domains/" + domain + "/" + action})
	f.runSecond()
}

// beginNextEpoch moves the member to the next epoch with an empty log, without a restart of its process, and runs it until
// it leads there.
func (f *idleFleet) beginNextEpoch() {
	c := f.controller
	members := c.node.Members()
	c.startEpoch(f.now, consensus.PersistentState{Epoch: c.node.Epoch() + 1, Disk: c.persistentState.Disk, Founders: members,
		Snapshot: wire.Snapshot{Index: 1, Members: members}, RecoveredState: c.recoveredStateFromDisk()})
	for range 12 {
		f.runSecond()
	}
}

// TestChangesAreNotOvertakenByAnEarlierEpoch guards against changes that are rejected as overtaken after a recovery: terms
// and indexes begin again in each epoch, so positions of the earlier one must not be compared with those of the next.
func TestChangesAreNotOvertakenByAnEarlierEpoch(t *testing.T) {
	const changes = 40
	fleet := newIdleFleet(3, 3)
	c := fleet.controller
	for i := range uint64(changes) {
		fleet.changeDomain(i+1, "d1", []string{"empty", "restore"}[i%2])
	}
	epoch, term, index := c.node.Epoch(), c.node.Term(), c.state.Index
	fleet.beginNextEpoch()
	if !c.Leading() || c.node.Epoch() != epoch+1 || c.node.Term() != term || c.state.Index >= index {
		t.Fatalf("leading %v in epoch %d, term %d, at index %d; want the leader of epoch %d in term %d before index %d",
			c.Leading(), c.node.Epoch(), c.node.Term(), c.state.Index, epoch+1, term, index)
	}
	for i, action := range []string{"empty", "restore", "empty"} {
		fleet.changeDomain(uint64(changes+i+1), "d1", action)
	}
	if c.counts.Overtaken != 0 || !slices.Equal(c.state.EmptiedDomains, []string{"d1"}) {
		t.Errorf("%d changes are rejected as overtaken, emptied domains %v; want none, and d1", c.counts.Overtaken, c.state.EmptiedDomains)
	}
}
