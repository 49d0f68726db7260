package controlplane

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// undecodableSnapshot is valid JSON, but its data is not a state.
var undecodableSnapshot = &wire.Snapshot{Index: 900, Data: []byte(`{"seq":"x"}`)}

// undecodableCases are ways to have the leader of a fleet commit data that it can't decode.
var undecodableCases = []struct {
	name   string
	commit func(*idleFleet)
}{
	{"entry that is not JSON", func(f *idleFleet) { f.controller.node.Propose(f.now, []byte("{")) }},
	{"entry of a wrong type", func(f *idleFleet) { f.controller.node.Propose(f.now, []byte(`{"op":7}`)) }},
	{"corrupt compressed entry", func(f *idleFleet) { f.controller.node.Propose(f.now, []byte("\x28\xb5\x2f\xfd broken off")) }},
	{"snapshot", func(f *idleFleet) { f.controller.restoreSnapshot(undecodableSnapshot) }},
	{"configuration", func(f *idleFleet) {
		f.controller.propose(f.now, state.Command{Operation: state.OpConfigure, Base: f.controller.state.Revision, Document: json.RawMessage(`[]`)})
	}},
}

// A leader that can't decode committed data reports the damage, and neither leads again nor makes decisions in the
// epoch. Its process doesn't exit, and its state stays what it was before.
func TestUndecodableDataEndsLeadership(t *testing.T) {
	for _, undecodable := range undecodableCases {
		t.Run(undecodable.name, func(t *testing.T) {
			fleet := newIdleFleet(1, 1)
			c := fleet.controller
			revision := c.Table().Revision
			undecodable.commit(fleet)
			for range 30 {
				fleet.runSecond()
			}
			status := c.Status(fleet.now)
			if c.Leading() || c.HoldsLease(fleet.now) || status.Current || len(status.Damage) != 1 || c.counts.DamageReports != 1 {
				t.Fatalf("leading: %v, holds the lease: %v, status is current: %v, damage %v, %d damage reports counted; want false for the first three and one damage report",
					c.Leading(), c.HoldsLease(fleet.now), status.Current, status.Damage, c.counts.DamageReports)
			}
			if !errors.Is(c.undecodable, state.ErrDamaged) {
				t.Errorf("undecodable is %v, want an error marked ErrDamaged", c.undecodable)
			}
			checkCallsAreUnavailable(t, fleet)
			if got := c.Table().Revision; got != revision {
				t.Errorf("a table of revision %d was made, want none after revision %d", got, revision)
			}
			checkNothingIsApplied(t, fleet)
		})
	}
}

// checkCallsAreUnavailable checks that reads and changes, if answered at once, are answered with 503.
func checkCallsAreUnavailable(t *testing.T, fleet *idleFleet) {
	t.Helper()
	for i, call := range []statemachine.Call{
		{Method: "GET", Path: "/v1/config"},
		{Method: "PUT", Path: "/v1/config", Body: []byte(`{}`)},
	} {
		call.ID, call.Token = uint64(i+1), fmt.Sprint("t", i)
		for _, command := range fleet.controller.Step(fleet.now, call) {
			if answer, ok := command.(statemachine.Reply); ok && answer.Status != 503 {
				t.Errorf("%s %s: answered %d %s, want 503", call.Method, call.Path, answer.Status, answer.Body)
			}
		}
	}
}

// checkNothingIsApplied checks that further committed entries neither change the state nor cause a snapshot of it.
func checkNothingIsApplied(t *testing.T, fleet *idleFleet) {
	t.Helper()
	c := fleet.controller
	snapshot := c.node.Snapshot().Index
	for i := range 10 {
		command := state.EncodeCommand(state.Command{Operation: state.OpEmptyDomain, Name: "d"})
		c.apply(fleet.now, wire.Entry{Index: 1000 + uint64(i), Kind: consensus.EntryData, Data: command})
	}
	if len(c.state.EmptiedDomains) > 0 || c.node.Snapshot().Index != snapshot {
		t.Errorf("after further entries: emptied domains %v, snapshot at entry %d; want none, and the snapshot still at entry %d", c.state.EmptiedDomains, c.node.Snapshot().Index, snapshot)
	}
}

// A member that abstains because of undecodable data takes part again in the next epoch.
func TestAbstentionEndsWithTheEpoch(t *testing.T) {
	fleet := newIdleFleet(1, 1)
	c := fleet.controller
	c.restoreSnapshot(undecodableSnapshot)
	if !c.abstains() {
		t.Fatal("a member that can't decode its snapshot does not abstain")
	}
	c.joinEpoch(fleet.now, c.node.Epoch()+1)
	if c.undecodable != nil || c.abstains() {
		t.Errorf("the member still abstains in the next epoch: %v", c.undecodable)
	}
}

// cluster is a control plane of three members whose messages are delivered at once.
type cluster struct {
	now     time.Duration
	members map[string]*Controller
	names   []string
	down    string // name of the member that gets neither ticks nor messages, "" if all run
}

func newCluster() *cluster {
	k := &cluster{now: time.Second, members: map[string]*Controller{}, names: []string{"c1", "c2", "c3"}}
	for i, name := range k.names {
		self := wire.Daemon{Name: name, Kind: wire.ControlDaemon, Addr: name, Incarnation: 1}
		k.members[name] = New(k.now, Settings{Self: self, BootstrapSize: 3, Seeds: k.names}, consensus.PersistentState{Disk: uint64(i + 7)})
	}
	return k
}

// newClusterWithLeader returns a cluster that has elected a leader, and the leader's name.
func newClusterWithLeader(t *testing.T) (*cluster, string) {
	t.Helper()
	k := newCluster()
	k.runSeconds(15)
	leader := k.leader()
	if leader == "" {
		t.Fatal("no leader was elected")
	}
	return k, leader
}

// step gives a member an event and carries out the commands that it returns.
func (k *cluster) step(name string, event statemachine.Event) {
	if name == k.down {
		return
	}
	for _, command := range k.members[name].Step(k.now, event) {
		switch c := command.(type) {
		case statemachine.Sync:
			k.step(name, statemachine.Synced{Seq: c.Batch.Seq})
		case statemachine.Send:
			if k.members[c.Addr] != nil {
				k.step(c.Addr, statemachine.Receive{Message: c.Message})
			}
		}
	}
}

func (k *cluster) runSeconds(seconds int) {
	for range seconds * int(time.Second/tuning.TickEvery) {
		k.now += tuning.TickEvery
		for _, name := range k.names {
			k.step(name, statemachine.Tick{})
		}
	}
}

// leader returns the name of the member that holds the lease, "" if none does.
func (k *cluster) leader() string {
	for _, name := range k.names {
		if name != k.down && k.members[name].HoldsLease(k.now) {
			return name
		}
	}
	return ""
}

// If only the leader can't decode an entry, it transfers leadership to a member that can. That also works while the third
// member is down, so that the old leader's vote is needed.
func TestUndecodableLeaderTransfersLeadership(t *testing.T) {
	for _, c := range []struct {
		name    string
		oneDown bool
	}{{"all members up", false}, {"one member down", true}} {
		t.Run(c.name, func(t *testing.T) {
			k, before := newClusterWithLeader(t)
			if c.oneDown {
				k.down = k.names[0]
				if before == k.down {
					k.down = k.names[1]
				}
				k.runSeconds(1)
			}
			k.members[before].abstainAfterDecodeError("entry 9", errors.New("damaged in memory"))
			k.runSeconds(10)
			if after := k.leader(); after == "" || after == before {
				t.Errorf("leader %q after %s could not decode an entry, want another member", after, before)
			}
		})
	}
}

// If no member can decode an entry, all members keep running without a leader. They must not transfer leadership among
// themselves, which the unchanged term shows.
func TestMembersThatCannotDecodeStayUp(t *testing.T) {
	for _, undecodable := range []struct {
		name string
		data []byte
	}{
		{"entry", []byte("{")},
		{"configuration", state.EncodeCommand(state.Command{Operation: state.OpConfigure, RequestedRevision: 9, Document: json.RawMessage(`[]`)})},
	} {
		t.Run(undecodable.name, func(t *testing.T) {
			k, leader := newClusterWithLeader(t)
			k.members[leader].node.Propose(k.now, undecodable.data)
			k.runSeconds(10)
			term := k.members["c1"].Term()
			k.runSeconds(20)
			for _, name := range k.names {
				c := k.members[name]
				if c.Leading() || len(c.damage) != 1 || c.Term() != term {
					t.Errorf("%s: leading: %v, damage %v, term %d; want no leader, one damage report and term %d", name, c.Leading(), c.damage, c.Term(), term)
				}
			}
		})
	}
}
