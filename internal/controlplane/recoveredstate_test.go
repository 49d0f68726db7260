package controlplane

import (
	"encoding/json"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/statemachine"
	"testing"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// remembering is the hello of a proxy that tells what it remembers of an epoch.
func remembering(t *testing.T, proxy string, epoch uint64) statemachine.Receive {
	t.Helper()
	agreed, err := json.Marshal(state.State{Members: []wire.Member{{Name: "c1", Disk: 7}, {Name: "c2", Disk: 8}}})
	if err != nil {
		t.Fatal(err)
	}
	b, err := json.Marshal(state.RecoveredState{Epoch: epoch, Term: 1, Index: 5, State: agreed})
	if err != nil {
		t.Fatal(err)
	}
	return statemachine.Receive{Message: &wire.Message{Kind: wire.KindHello, From: proxy, Hello: &wire.Hello{Self: wire.Daemon{Name: proxy, Kind: wire.ProxyDaemon, Addr: proxy, Incarnation: 1}, RecoveredState: wire.Compress(b)}}}
}

// Where a leader is heard nobody reads what proxies remember, which all of them tell at once when
// they lose their leases; one who has no leader to hear reads it before a core is founded.
func TestMemoriesAreReadOnlyWithoutALeader(t *testing.T) {
	r := newIdleFleet(3, 3)
	r.step(remembering(t, "g1", 1))
	r.runSecond()
	if len(r.controller.proxyRecoveredStates) != 0 || len(r.controller.unreadRecoveredStates) != 1 {
		t.Errorf("a leader has read %d memories, %d lie unread", len(r.controller.proxyRecoveredStates), len(r.controller.unreadRecoveredStates))
	}

	now := time.Second
	empty := New(now, Settings{Self: wire.Daemon{Name: "c9", Kind: wire.ControlDaemon, Addr: "c9", Incarnation: 1}}, consensus.PersistentState{Disk: 9})
	empty.Step(now, remembering(t, "g1", 1))
	if len(empty.proxyRecoveredStates) != 1 {
		t.Error("an empty member has not read what a proxy remembers")
	}

	member := New(now, Settings{Self: wire.Daemon{Name: "c1", Kind: wire.ControlDaemon, Addr: "c1", Incarnation: 1}}, consensus.PersistentState{Disk: 7, Epoch: 1,
		Snapshot: wire.Snapshot{Members: []wire.Member{{Name: "c1", Disk: 7}, {Name: "c2", Disk: 8}}}})
	member.Step(now, remembering(t, "g1", 1))
	for range 3 * tuning.HelloEvery / tuning.TickEvery {
		now += tuning.TickEvery
		member.Step(now, statemachine.Tick{})
	}
	if len(member.proxyRecoveredStates) != 1 {
		t.Error("a member that hears no leader has not read what a proxy remembers")
	}
}
