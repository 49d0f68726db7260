package controlplane

import (
	"encoding/json"
	"testing"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// mustEncode returns a value encoded as JSON.
func mustEncode(t *testing.T, value any) []byte {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// helloWithState returns the hello of a proxy that holds a state of the given epoch.
func helloWithState(t *testing.T, proxy string, epoch uint64) statemachine.Receive {
	t.Helper()
	stored := mustEncode(t, state.State{Members: []wire.Member{{Name: "c1", Disk: 7}, {Name: "c2", Disk: 8}}})
	recovered := mustEncode(t, state.RecoveredState{Epoch: epoch, Term: 1, Index: 5, State: stored})
	return statemachine.Receive{Message: &wire.Message{Kind: wire.KindHello, From: proxy, Hello: &wire.Hello{
		Self:           wire.Daemon{Name: proxy, Kind: wire.ProxyDaemon, Addr: proxy, Incarnation: 1},
		RecoveredState: wire.Compress(recovered),
	}}}
}

// A leader must not decode the states in proxies' hellos: all proxies send theirs at the same time when they lose their
// leases, and decoding all of them would delay the leader.
func TestLeaderDecodesNoProxyStates(t *testing.T) {
	fleet := newIdleFleet(3, 3)
	fleet.step(helloWithState(t, "g1", 1))
	fleet.runSecond()
	c := fleet.controller
	if len(c.proxyRecoveredStates) != 0 || len(c.unreadRecoveredStates) != 1 {
		t.Errorf("%d states decoded and %d kept undecoded, want 0 and 1", len(c.proxyRecoveredStates), len(c.unreadRecoveredStates))
	}
}

// A control daemon without a leader decodes the states in proxies' hellos, since it needs them for a bootstrap or
// recovery.
func TestProxyStatesAreDecodedWithoutALeader(t *testing.T) {
	for _, c := range []struct {
		name string
		self string
		disk consensus.PersistentState
		wait time.Duration // time between the hello and the check
	}{
		{"empty", "c9", consensus.PersistentState{Disk: 9}, 0},
		{"member of two", "c1", consensus.PersistentState{Disk: 7, Epoch: 1,
			Snapshot: wire.Snapshot{Members: []wire.Member{{Name: "c1", Disk: 7}, {Name: "c2", Disk: 8}}}}, 3 * tuning.HelloEvery},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Second
			self := wire.Daemon{Name: c.self, Kind: wire.ControlDaemon, Addr: c.self, Incarnation: 1}
			controller := New(now, Settings{Self: self}, c.disk)
			controller.Step(now, helloWithState(t, "g1", 1))
			for range c.wait / tuning.TickEvery {
				now += tuning.TickEvery
				controller.Step(now, statemachine.Tick{})
			}
			if n := len(controller.proxyRecoveredStates); n != 1 {
				t.Errorf("%d states decoded, want 1", n)
			}
		})
	}
}

// recoveringMember is the only member of a control plane at the beginning of epoch 2. Proxies send it states of epoch 1.
type recoveringMember struct {
	idleFleet
	proxyStates []state.RecoveredState
}

func newRecoveringMember(proxyStates ...state.RecoveredState) *recoveringMember {
	self := wire.Daemon{Name: "c1", Kind: wire.ControlDaemon, Addr: "c1", Incarnation: 1}
	disk := consensus.PersistentState{Disk: 7, Epoch: 2, Snapshot: wire.Snapshot{Index: 1, Members: []wire.Member{{Name: "c1", Disk: 7}}}}
	controller := New(time.Second, Settings{Self: self, BootstrapSize: 1}, disk)
	return &recoveringMember{idleFleet{now: time.Second, controller: controller}, proxyStates}
}

// runSeconds runs the member for some seconds, in each of which it receives every state in a hello of a proxy.
func (m *recoveringMember) runSeconds(t *testing.T, seconds int) {
	t.Helper()
	for range seconds {
		for _, recovered := range m.proxyStates {
			// States that begin with the same character come from the same proxy.
			proxy := wire.Daemon{Name: "g" + string(recovered.State[:1]), Kind: wire.ProxyDaemon, Addr: "g"}
			m.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindHello, From: proxy.Name,
				Hello: &wire.Hello{Self: proxy, RecoveredState: mustEncode(t, recovered)}}})
		}
		m.runSecond()
	}
}

// recoveredAt returns a state of epoch 1 with the given log index and configuration revision.
func recoveredAt(t *testing.T, index, revision uint64) state.RecoveredState {
	t.Helper()
	stored := state.New()
	stored.Recovered, stored.Revision, stored.Index = true, revision, index
	return state.RecoveredState{Epoch: 1, Term: 3, Index: index, State: mustEncode(t, stored)}
}

// unreadableStates are valid JSON, but either no valid states, or states with a configuration that can't be activated.
var unreadableStates = []struct{ name, text string }{
	{"field of a wrong type", `{"seq":"ninety"}`},
	{"not an object", `[1,2]`},
	{"truncated state in a string", `"{\"seq\":9"`},
	{"invalid configuration", `{"adopted":true,"seq":90,"revision":7,"doc":[]}`},
}

// unreadableAt returns a recovered state of epoch 1 with an unreadable text and a later index than all readable ones.
func unreadableAt(text string) state.RecoveredState {
	return state.RecoveredState{Epoch: 1, Term: 3, Index: 90, State: json.RawMessage(text)}
}

// The epoch begins with the latest state that can be decoded completely, and later states that can't be are reported as
// damage.
func TestLatestReadableStateIsRecovered(t *testing.T) {
	for _, unreadable := range unreadableStates {
		t.Run(unreadable.name, func(t *testing.T) {
			member := newRecoveringMember(recoveredAt(t, 40, 4), unreadableAt(unreadable.text), recoveredAt(t, 50, 5))
			member.runSeconds(t, 6)
			c := member.controller
			if !c.Leading() || c.state.Revision != 5 {
				t.Errorf("leading: %v, revision %d; want the leader with revision 5", c.Leading(), c.state.Revision)
			}
			if damage := c.Status(member.now).Damage; len(damage) == 0 || len(damage) > tuning.DamageReportsKept {
				t.Errorf("%d damage reports, want 1 to %d", len(damage), tuning.DamageReportsKept)
			}
		})
	}
}

// If the only recovered state can't be decoded, the epoch must not begin empty until an operator allows it: an
// acknowledged configuration could be lost.
func TestEpochDoesNotBeginEmptyWhileAStateIsUnreadable(t *testing.T) {
	for _, unreadable := range unreadableStates {
		t.Run(unreadable.name, func(t *testing.T) {
			member := newRecoveringMember(unreadableAt(unreadable.text))
			member.runSeconds(t, 20)
			c := member.controller
			if c.Leading() || c.state.Recovered || len(c.Status(member.now).Damage) == 0 {
				t.Errorf("before an operator's consent: leading: %v, recovered: %v, damage %v; want neither, and a damage report", c.Leading(), c.state.Recovered, c.damage)
			}
			member.step(statemachine.Call{ID: 1, Method: "POST", Path: recoveryPath, CallerKnownAt: member.now})
			member.runSeconds(t, 3)
			if !c.Leading() || c.state.Revision != 0 {
				t.Errorf("after an operator's consent: leading: %v, revision %d; want the leader with revision 0", c.Leading(), c.state.Revision)
			}
		})
	}
}

// If the committed entry with the epoch's first state can't be decoded, the leader discards it and proposes another.
func TestUndecodableInitialStateIsDiscarded(t *testing.T) {
	undecodable := state.Command{Operation: state.OpRecover, State: json.RawMessage(`{"seq":"ninety"}`)}
	applied := state.New()
	applied.Apply(9, undecodable)
	if applied.Recovered {
		t.Error("a state was recovered from an undecodable entry")
	}
	member := newRecoveringMember(recoveredAt(t, 50, 5))
	c := member.controller
	for c.leadership != Recovering {
		member.runSeconds(t, 1)
	}
	c.propose(member.now, undecodable)
	member.runSeconds(t, 6)
	if !c.Leading() || c.state.Revision != 5 || len(c.damage) == 0 {
		t.Errorf("leading: %v, revision %d, damage %v; want the leader with revision 5 and a damage report", c.Leading(), c.state.Revision, c.damage)
	}
}

// TestLateConsentIsIgnored guards against an operator's consent that the network has held while the control plane was
// recovered: it must not make the next epoch begin empty.
func TestLateConsentIsIgnored(t *testing.T) {
	member := newRecoveringMember(unreadableAt(unreadableStates[0].text))
	beforeTheEpoch := member.now - time.Millisecond
	member.runSeconds(t, 20)
	member.step(statemachine.Call{ID: 1, Method: "POST", Path: recoveryPath, CallerKnownAt: beforeTheEpoch})
	member.runSeconds(t, 3)
	if c := member.controller; c.Leading() || c.counts.Overtaken != 1 {
		t.Errorf("leading: %v, %d overtaken; want no leader, since nobody consented in this epoch", c.Leading(), c.counts.Overtaken)
	}
}

// TestConsentDoesNotReplaceALaterOne guards against a late consent that replaces a later one given to the same daemon.
func TestConsentDoesNotReplaceALaterOne(t *testing.T) {
	fleet := newIdleFleet(1, 1)
	c := fleet.controller
	c.recoveryConsent.Granted, c.recoveryConsent.GrantedAt = true, fleet.now
	for _, call := range []struct {
		knownAt   time.Duration
		overtaken bool
	}{{fleet.now - 1, true}, {fleet.now, false}} {
		if overtaken := c.isConsentOvertaken(statemachine.Call{CallerKnownAt: call.knownAt}); overtaken != call.overtaken {
			t.Errorf("the caller waited at %v, the consent was given at %v: overtaken %v, want %v", call.knownAt, fleet.now, overtaken, call.overtaken)
		}
	}
}
