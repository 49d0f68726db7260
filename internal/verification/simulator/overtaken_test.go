package simulator

import (
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
	late.abandoned = true
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

// TestGuardsOfOvertakenChanges checks that TestOvertakenChangeIsNotExecuted fails without the guards.
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
				if len(c.overtake(t, w)) == 0 {
					executed++
				}
			}
			if executed == 0 {
				t.Error("no overtaken change was executed")
			}
		})
	}
}
