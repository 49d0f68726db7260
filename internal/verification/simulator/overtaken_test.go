package simulator

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// Times of an operator and of a fault in the tests of overtaken changes.
const (
	freezeSpan  = 5 * time.Second // a daemon stands still, or the network holds a call
	lateRunTime = 8 * time.Second // a call that is late may still arrive or be relayed
)

// lateLink holds a call on an open connection, and the end of the connection for a round trip longer.
var lateLink = networkHold{call: freezeSpan, end: 60 * time.Millisecond}

// overtakenCase says which daemon stands still while an operator's change is on its way, and when, or for how long the network
// holds the change.
type overtakenCase struct {
	name   string
	frozen func(w *World) *Process // daemon that stands still, nil: none
	sentTo func(w *World) *Process // daemon that gets the change from the operator
	freeze func(w *World, p *Process)
	hold   networkHold
}

// overtakenCases are the ways in which a change may be late.
var overtakenCases = []overtakenCase{
	{name: "a follower has not read it", frozen: firstFollower, sentTo: firstFollower, freeze: freezeNow},
	{name: "a follower has checked the caller", frozen: firstFollower, sentTo: firstFollower, freeze: freezeAfterCheck},
	{name: "the leader has not read it", frozen: (*World).Leader, sentTo: (*World).Leader, freeze: freezeNow},
	{name: "the leader has checked the caller", frozen: (*World).Leader, sentTo: (*World).Leader, freeze: freezeAfterCheck},
	{name: "the leader has not read the relayed one", frozen: (*World).Leader, sentTo: firstFollower, freeze: freezeNow},
	{name: "the network holds it ahead of a follower", sentTo: firstFollower, hold: lateLink},
	{name: "the network holds it ahead of the leader", sentTo: (*World).Leader, hold: lateLink},
}

// freezeNow freezes a daemon before the change is sent.
func freezeNow(w *World, p *Process) { w.Freeze(p, freezeSpan) }

// freezeAfterCheck freezes a daemon once it has checked the caller of the change, before it executes or relays it.
func freezeAfterCheck(_ *World, p *Process) { p.pauseAfterCheck = freezeSpan }

// firstFollower returns the first control daemon that does not lead.
func firstFollower(w *World) *Process { return w.followers()[0] }

// changeDomainUntilAccepted sends a change of a domain to the running control daemons one after the other, until one
// acknowledges it.
func (w *World) changeDomainUntilAccepted(t *testing.T, domain, action string) {
	t.Helper()
	for end := w.now + 10*time.Second; w.now < end; {
		for _, p := range w.daemons(wire.ControlDaemon) {
			if p.frozen {
				continue
			}
			r, _ := w.callAndWait(t, p, http.MethodPost, "/v1/domains/"+domain+"/"+action, "", "", "")
			if r.Status == http.StatusOK {
				return
			}
		}
		w.Run(w.now + 100*time.Millisecond)
	}
	t.Fatalf("no control daemon acknowledged %s of %s\n%s", action, domain, w.Trace(40))
}

// emptiedDomains returns the domains that the leader reports as emptied.
func (w *World) emptiedDomains(t *testing.T) (names []string) {
	t.Helper()
	_, fields := w.callAndWait(t, w.Leader(), http.MethodGet, "/v1/domains", "", "", "")
	emptied, _ := fields["emptied"].([]any)
	for _, name := range emptied {
		names = append(names, name.(string))
	}
	return names
}

// overtake empties a domain, sends a restore that is given up while it is late, repeats it elsewhere, and empties the domain
// again. It returns the emptied domains after the first restore has arrived.
func (c overtakenCase) overtake(t *testing.T, w *World) []string {
	t.Helper()
	w.changeDomainUntilAccepted(t, "d1", "empty")
	sentTo := c.sentTo(w)
	if c.frozen != nil {
		c.freeze(w, c.frozen(w))
	}
	lateUntil := w.now + freezeSpan
	late := w.callHeld(c.hold, sentTo, http.MethodPost, "/v1/domains/d1/restore", "", nil, "", func(statemachine.Reply) {})
	w.Run(w.now + callerPatience)
	late.abandon(w.now)
	w.changeDomainUntilAccepted(t, "d1", "restore")
	w.changeDomainUntilAccepted(t, "d1", "empty")
	if w.now >= lateUntil {
		t.Fatal("the second change was acknowledged only after the first could be executed")
	}
	w.Run(w.now + lateRunTime)
	return w.emptiedDomains(t)
}

// TestOvertakenChangeIsNotExecuted guards against a change that is executed late: the operator has given it up, repeated it
// at another daemon, and made a later change that is acknowledged. A restore that is executed then would undo the emptying.
func TestOvertakenChangeIsNotExecuted(t *testing.T) {
	t.Parallel()
	for _, c := range overtakenCases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(8) {
				w := Start(seed, Small)
				w.Run(w.now + time.Second)
				if emptied := c.overtake(t, w); !slices.Equal(emptied, []string{"d1"}) {
					t.Errorf("seed %d: emptied domains %v, want d1\n%s", seed, emptied, w.Trace(30))
				}
				requireNoFailure(t, w)
			}
		})
	}
}

// changeMemberUntilAccepted sends a change of a member to the leader until it is acknowledged.
func (w *World) changeMemberUntilAccepted(t *testing.T, change memberChange, name string) {
	t.Helper()
	w.requireWithin(t, 20*time.Second, fmt.Sprintf("%s %s", change, name), func() bool {
		if w.Leader() == nil {
			return false
		}
		reply, _ := w.callAndWait(t, w.Leader(), http.MethodPost, memberPath(name, change), "", "", "")
		return reply.Status == http.StatusOK
	})
}

// memberPath returns the path of a change of a member.
func memberPath(name string, change memberChange) string {
	return "/v1/core/" + name + "/" + string(change)
}

// removeMemberLate has an operator remove a member, give that up, repeat it elsewhere and add the member again, while the network
// holds the first call. It returns the members after that has arrived.
func (w *World) removeMemberLate(t *testing.T) (members []string, removed string) {
	t.Helper()
	sentTo, member := w.followers()[0], w.followers()[1]
	hold := networkHold{call: 40 * time.Second, end: lateLink.end}
	arrival := w.now + hold.call
	late := w.callHeld(hold, sentTo, http.MethodPost, memberPath(member.name, removeMember), "", nil, "", w.ignoreReply)
	w.Run(w.now + callerPatience)
	late.abandon(w.now)
	w.changeMemberUntilAccepted(t, removeMember, member.name)
	w.changeMemberUntilAccepted(t, addMember, member.name)
	w.requireWithin(t, 15*time.Second, "the member is back", func() bool { return slices.Contains(w.memberNames(), member.name) })
	if w.now >= arrival {
		t.Fatal("the member was back only after the late call had arrived")
	}
	w.Run(arrival + lateRunTime)
	return w.memberNames(), member.name
}

// TestOvertakenMemberChangeIsNotExecuted guards against the removal of a member that is executed late, after the member was
// removed and added again. Without the time at which the caller was known to wait it is executed.
func TestOvertakenMemberChangeIsNotExecuted(t *testing.T) {
	t.Parallel()
	for _, guard := range []Guard{guardNone, guardCallerKnown} {
		for seed := range uint64(3) {
			w := Start(seed, Small)
			w.disabledGuard = guard
			w.Run(w.now + time.Second)
			members, name := w.removeMemberLate(t)
			if isMember := slices.Contains(members, name); isMember != (guard == guardNone) {
				t.Errorf("seed %d, guard %q disabled: members %v, with %s: %v\n%s", seed, guard, members, name, isMember, w.Trace(30))
			}
			requireNoFailure(t, w)
		}
	}
}

// TestWaitingCallersAreNotOvertaken guards against changes that are rejected as overtaken although their caller waits: an
// operator that makes each change as soon as the one before is acknowledged, at any daemon.
func TestWaitingCallersAreNotOvertaken(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		w := Start(seed, Small)
		w.Run(w.now + time.Second)
		for i := range 40 {
			process := w.daemons(wire.ControlDaemon)[w.random.IntN(w.Plan.ControlDaemons)]
			action := []changeKind{changeEmpty, changeRestore}[i%2]
			reply, _ := w.callAndWait(t, process, http.MethodPost, domainsPath+"/d1/"+string(action), "", "", "")
			if reply.Status != http.StatusOK {
				t.Errorf("seed %d: change %d at %s: %d %s, want 200", seed, i, process.name, reply.Status, reply.Body)
			}
		}
		requireNoFailure(t, w)
	}
}

// TestGuardsOfOvertakenChanges checks that without the guards TestOvertakenChangeIsNotExecuted fails, and the check of the
// history of domains with it.
func TestGuardsOfOvertakenChanges(t *testing.T) {
	t.Parallel()
	for guard, c := range map[Guard]overtakenCase{
		guardCallerKnown:    overtakenCases[5],
		guardChangePosition: overtakenCases[1],
	} {
		t.Run(string(guard), func(t *testing.T) {
			executed := 0
			for seed := range uint64(8) {
				w := Start(seed, Small)
				w.disabledGuard = guard
				w.Run(w.now + time.Second)
				if len(c.overtake(t, w)) > 0 {
					continue
				}
				executed++
				if w.checks.domains.Check() == nil {
					t.Errorf("seed %d: the history of domains is accepted although an overtaken change was executed", seed)
				}
			}
			if executed == 0 {
				t.Error("no overtaken change was executed")
			}
		})
	}
}

// changeDomainWhileDaemonsFreeze has an impatient operator empty and restore a domain in turn, and reads the domains, while
// control daemons stand still: before they read a change, after the check of its caller, or for other reasons.
func (w *World) changeDomainWhileDaemonsFreeze(changes int) {
	w.schedule(0, func() { w.StartDomainReaders(40 * time.Millisecond) })
	for i := range changes {
		for !w.hasLeader() {
			w.Run(w.now + 50*time.Millisecond)
		}
		process := w.daemons(wire.ControlDaemon)[w.random.IntN(w.Plan.ControlDaemons)]
		switch w.random.IntN(4) {
		case 0:
			w.Freeze(process, w.randomMilliseconds(1000, 4000))
		case 1:
			process.pauseAfterCheck = w.randomMilliseconds(1000, 4000)
		}
		action := []changeKind{changeEmpty, changeRestore}[i%2]
		change := &operatorChange{method: http.MethodPost, path: domainsPath + "/d1/" + string(action), token: fmt.Sprint("turn", i)}
		done := false
		w.sendImpatiently(process, change, func(statemachine.Reply) { done = true })
		for end := w.now + (maxResends+1)*callerPatience; !done && w.now < end; {
			w.Run(w.now + 10*time.Millisecond)
		}
	}
	w.Run(w.now + lateRunTime)
}

// TestDomainChangesAreLinearizable checks that changes of domains which are given up take effect before later ones are
// acknowledged, or never.
func TestDomainChangesAreLinearizable(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := Start(seed, Small)
		w.changeDomainWhileDaemonsFreeze(20)
		w.CheckHistory()
		requireNoFailure(t, w)
		if n := w.checks.domains.Len(); n < 300 {
			t.Errorf("seed %d: the history has %d calls, want at least 300", seed, n)
		}
	}
}

// TestRandomFaultsFindLateChanges checks that random runs execute late changes of domains if they are judged by the position of
// their read, and that the check of the history finds that. Without that change none is found.
func TestRandomFaultsFindLateChanges(t *testing.T) {
	t.Parallel()
	const runs, span = 6, 60 * time.Second
	kinds := append(faultsNamed(t, "leader killed", "leader frozen", "control daemon killed"), lateCalls, lateCalls, lateCalls)
	broken := map[Guard]int{}
	for _, guard := range []Guard{guardNone, guardCallerKnown} {
		for seed := range uint64(runs) {
			w := runRandomFaults(seed, Small, kinds, 12, span, func(w *World) { w.disabledGuard = guard })
			if w.Stats.HeldCalls == 0 {
				t.Errorf("seed %d: no call was held", seed)
			}
			if strings.HasPrefix(w.Failure, string(ruleLinearizable)+":") || strings.HasPrefix(w.Failure, string(ruleEmptiedDomain)+":") {
				broken[guard]++
			} else {
				requireNoFailure(t, w)
			}
		}
	}
	if broken[guardNone] > 0 || broken[guardCallerKnown] == 0 {
		t.Errorf("late changes found in %d of %d runs, and in %d with the position of the read; want none, and some", broken[guardNone], runs, broken[guardCallerKnown])
	}
}
