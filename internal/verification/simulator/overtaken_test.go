package simulator

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// Times of an operator and of a fault in the tests of overtaken changes.
const (
	freezeSpan  = 5 * time.Second // a daemon stands still
	lateRunTime = 8 * time.Second // a call that is late may still arrive or be relayed
)

// overtakenCase says which daemon stands still while an operator's change is on its way, and when.
type overtakenCase struct {
	name   string
	frozen func(w *World) *Process // daemon that stands still
	sentTo func(w *World) *Process // daemon that gets the change from the operator
	freeze func(w *World, p *Process)
}

// overtakenCases are the daemons at which a change may be late.
var overtakenCases = []overtakenCase{
	{"a follower has not read it", firstFollower, firstFollower, freezeNow},
	{"a follower has checked the caller", firstFollower, firstFollower, freezeAfterCheck},
	{"the leader has not read it", (*World).Leader, (*World).Leader, freezeNow},
	{"the leader has checked the caller", (*World).Leader, (*World).Leader, freezeAfterCheck},
	{"the leader has not read the relayed one", (*World).Leader, firstFollower, freezeNow},
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

// overtake empties a domain, sends a restore that is given up while a daemon stands still, repeats it elsewhere, and empties
// the domain again. It returns the emptied domains after the daemon has continued.
func (c overtakenCase) overtake(t *testing.T, w *World) []string {
	t.Helper()
	w.changeDomainUntilAccepted(t, "d1", "empty")
	frozen, sentTo := c.frozen(w), c.sentTo(w)
	c.freeze(w, frozen)
	late := w.call(sentTo, http.MethodPost, "/v1/domains/d1/restore", "", nil, "", func(statemachine.Reply) {})
	w.Run(w.now + callerPatience)
	late.abandon(w.now)
	w.changeDomainUntilAccepted(t, "d1", "restore")
	w.changeDomainUntilAccepted(t, "d1", "empty")
	if !frozen.frozen {
		t.Fatal("the daemon continued before the second change was acknowledged")
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

// TestGuardsOfOvertakenChanges checks that without the guards TestOvertakenChangeIsNotExecuted fails, and the check of the
// history of domains with it.
func TestGuardsOfOvertakenChanges(t *testing.T) {
	t.Parallel()
	for guard, c := range map[Guard]overtakenCase{
		guardCallerCheck:    overtakenCases[0],
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
	w.schedule(0, func() { w.readDomains(40 * time.Millisecond) })
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

// readDomains reads the domains at random control daemons at each interval.
func (w *World) readDomains(interval time.Duration) {
	if p := w.pickProcess(wire.ControlDaemon, true); p != nil {
		w.call(p, http.MethodGet, domainsPath, "", nil, "", w.ignoreReply)
	}
	w.schedule(interval, func() { w.readDomains(interval) })
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
