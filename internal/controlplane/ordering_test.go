package controlplane

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// changeDomain sends a change of a domain to the member and runs it until the change is in force.
func (f *idleFleet) changeDomain(id uint64, domain, action string) {
	f.changeDomainLate(id, domain, action, "", f.now)
}

// changeDomainLate is like changeDomain for a caller that was last known to wait at the given time.
func (f *idleFleet) changeDomainLate(id uint64, domain, action, query string, knownAt time.Duration) {
	f.step(statemachine.Call{ID: id, Token: fmt.Sprint("change-", id), Method: methodPost, Path: "/v1/domains/" + domain + "/" + action,
		Query: query, CallerKnownAt: knownAt})
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

// TestLateChangeIsOvertaken guards against a change that is read late, from a caller that still seems to be connected, and
// undoes a later one: an earlier position counts, also if the call brings another one.
func TestLateChangeIsOvertaken(t *testing.T) {
	for name, query := range map[string]string{
		"plain":                           "",
		"the caller sets a position":      "applied=1.999999.1.999999",
		"the caller sets several":         "applied=1.999999.1.999999&applied=1.999999.1.999999",
		"the caller sets an invalid one":  "applied=%zz",
		"the caller marks it as rejected": "overtaken=1&position=1.9.1.9",
	} {
		t.Run(name, func(t *testing.T) {
			fleet := newIdleFleet(3, 3)
			waitedAt := fleet.now
			fleet.changeDomain(1, "d1", "restore")
			fleet.changeDomain(2, "d1", "empty")
			fleet.changeDomainLate(3, "d1", "restore", query, waitedAt)
			if c := fleet.controller; c.counts.Overtaken != 1 || !slices.Equal(c.state.EmptiedDomains, []string{"d1"}) {
				t.Errorf("%d overtaken, emptied domains %v; want 1, and d1", c.counts.Overtaken, c.state.EmptiedDomains)
			}
			fleet.changeDomainLate(4, "d2", "empty", query, waitedAt)
			fleet.changeDomain(5, "d1", "restore")
			if c := fleet.controller; c.counts.Overtaken != 1 || !slices.Equal(c.state.EmptiedDomains, []string{"d2"}) {
				t.Errorf("%d overtaken, emptied domains %v; want still 1, and d2: other domains and later calls are not concerned", c.counts.Overtaken, c.state.EmptiedDomains)
			}
		})
	}
}

// TestChangeOfAnUnknownCallerIsOvertaken checks that a change counts as overtaken if it is not known when its caller waited.
func TestChangeOfAnUnknownCallerIsOvertaken(t *testing.T) {
	fleet := newIdleFleet(3, 3)
	fleet.changeDomain(1, "d1", "empty")
	fleet.changeDomainLate(2, "d1", "restore", "", 0)
	if c := fleet.controller; c.counts.Overtaken != 1 || !slices.Equal(c.state.EmptiedDomains, []string{"d1"}) {
		t.Errorf("%d overtaken, emptied domains %v; want 1, and d1", c.counts.Overtaken, c.state.EmptiedDomains)
	}
}

// TestForgottenSubjectsCountAsChanged checks that a leader remembers a bounded number of changed subjects, and that those which
// it has forgotten count as changed when the latest of them was.
func TestForgottenSubjectsCountAsChanged(t *testing.T) {
	const changes, startIndex = tuning.ChangedSubjectsKept + 10, 5
	order := newChangeOrder(startIndex)
	subject := func(i uint64) apiPath { return apiPath{resource: "gates", name: fmt.Sprint("g", i)} }
	for i := range uint64(changes) {
		order.record(subject(i), startIndex+1+i)
	}
	if n := len(order.changedAt); n != tuning.ChangedSubjectsKept {
		t.Errorf("%d subjects are remembered, want %d", n, tuning.ChangedSubjectsKept)
	}
	for _, i := range []uint64{0, 9, 10, changes - 1} {
		if latest, changed := order.latest(subject(i)), startIndex+1+i; latest < changed {
			t.Errorf("subject %d: latest change at %d, want at least %d", i, latest, changed)
		}
	}
	if latest := order.latest(subject(changes - 1)); latest != startIndex+changes {
		t.Errorf("the last subject: latest change at %d, want %d", latest, startIndex+changes)
	}
}

// TestEntriesOfAnotherLogAreNotCovered guards against a change that counts as made after entries which its daemon never had: the
// last entry of that daemon's log was replaced by others, which may hold a later change.
func TestEntriesOfAnotherLogAreNotCovered(t *testing.T) {
	fleet := newIdleFleet(3, 3)
	c := fleet.controller
	committed := c.node.Commit()
	fleet.changeDomain(1, "d1", "empty")
	after := c.node.Position()
	term, last := after.Term, after.Last
	position := func(epoch, committed, term, last uint64) consensus.Position {
		return consensus.Position{Epoch: epoch, Committed: committed, Term: term, Last: last}
	}
	epoch := c.node.Epoch()
	for position, overtaken := range map[consensus.Position]bool{
		position(epoch, committed, term, last):         false,
		position(epoch, committed, term+1, last):       true,
		position(epoch, committed, term, last+1):       true,
		position(epoch, committed, 0, 0):               true,
		position(epoch+1, committed, term, last):       true,
		position(epoch, c.node.Commit(), term+1, 99):   false,
		position(epoch+1, c.node.Commit(), term, last): true,
	} {
		request := &wire.Call{Method: methodPost, Path: "/v1/domains/d1/restore", Query: withPosition("", position)}
		if got := c.isOvertaken(request); got != overtaken {
			t.Errorf("position %v, the domain was changed at %d of term %d: overtaken %v, want %v", position, last, term, got, overtaken)
		}
	}
}
