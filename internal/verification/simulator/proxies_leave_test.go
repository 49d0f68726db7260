package simulator

import (
	"fmt"
	"testing"
	"time"

	"myrtlefold/internal/dataplane"
	"myrtlefold/internal/shared/wire"
)

// acknowledgedWithin is the bound for the acknowledgement of a change while the control plane is settled.
const acknowledgedWithin = 4 * time.Second

// startFleetOfEight starts a fleet with eight proxies that serves.
func startFleetOfEight(seed uint64) *World {
	plan := Small
	plan.Proxies = 8
	w := Start(seed, plan)
	w.Run(w.now + 2*time.Second)
	return w
}

// leave stops proxies for good, each some time after the one before, and waits until their processes have ended.
func (w *World) leave(t *testing.T, proxies []*Process, gap time.Duration) {
	t.Helper()
	for _, p := range proxies {
		p.removed = true
		w.stopProcess(p)
		w.Run(w.now + gap)
	}
	w.awaitEnds(t, proxies)
}

// awaitEnds waits until processes have ended.
func (w *World) awaitEnds(t *testing.T, processes []*Process) {
	t.Helper()
	for _, p := range processes {
		if !w.runUntil(8*time.Second, func() bool { return !p.alive }) {
			t.Fatalf("seed %d: %s has not ended", w.Seed, p.name)
		}
	}
}

// requireChanges requires that a configuration and the emptying of a domain are acknowledged in time.
func (w *World) requireChanges(t *testing.T) {
	t.Helper()
	if !w.runUntil(acknowledgedWithin, w.hasLeader) {
		t.Fatalf("seed %d: no leader", w.Seed)
	}
	base, emptied := w.Revision(), w.Stats.EmptiedDomains
	w.PutConfig(w.Leader(), base, 50)
	w.SendChange(w.Leader(), "POST", "/v1/domains/d1/empty", "", nil, emptyChange("d1"))
	acknowledged := func() bool { return w.checks.acknowledged > base && w.Stats.EmptiedDomains > emptied }
	if !w.runUntil(acknowledgedWithin, acknowledged) {
		t.Fatalf("seed %d: acknowledged revision %d after %d, domains emptied %v; want both changes acknowledged within %v", w.Seed, w.checks.acknowledged, base, w.Stats.EmptiedDomains > emptied, acknowledgedWithin)
	}
}

// requireNewProxiesServe requires that proxies which start now serve in time.
func (w *World) requireNewProxiesServe(t *testing.T) {
	t.Helper()
	for i := range 4 {
		w.addAndStart(wire.ProxyDaemon, fmt.Sprintf("g%d", 90+i), i%w.Plan.Domains)
	}
	if !w.AwaitServing(5 * time.Second) {
		t.Fatalf("seed %d: new proxies don't serve within 5 s: %s", w.Seed, w.describeDaemons())
	}
}

// requirePeerServing requires that the running proxies serve without any control daemon.
func (w *World) requirePeerServing(t *testing.T) {
	t.Helper()
	for _, p := range w.daemons(wire.ControlDaemon) {
		w.Kill(p)
	}
	w.Run(w.now + 2*time.Second)
	for _, p := range w.daemons(wire.ProxyDaemon) {
		if p.alive && p.proxy.State() != dataplane.PeerServing {
			t.Errorf("seed %d: %s is %v after the loss of the control plane, want it to serve on peer leases", w.Seed, p.name, p.proxy.State())
		}
	}
}

// TestProxiesThatLeaveHoldUpNothing guards against proxies that have ended as planned and count in the majority that has to confirm
// each table: changes were never acknowledged again, new proxies never served, and the others did not serve without a leader.
func TestProxiesThatLeaveHoldUpNothing(t *testing.T) {
	t.Parallel()
	for name, gap := range map[string]time.Duration{"in turn": time.Second, "together": 0} {
		for _, leaving := range []int{4, 7} {
			t.Run(fmt.Sprintf("%d of 8 %s", leaving, name), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(4) {
					w := startFleetOfEight(seed)
					w.leave(t, w.daemons(wire.ProxyDaemon)[8-leaving:], gap)
					switch seed % 4 {
					case 0:
						w.requireChanges(t)
						w.requireNewProxiesServe(t)
					case 1:
						w.requirePeerServing(t)
					case 2:
						w.requireNewProxiesServe(t)
						w.requireChanges(t)
						w.requirePeerServing(t)
					case 3:
						w.restartGracefully(w.Leader(), 7*time.Second)
						w.requireChanges(t)
					}
					requireNoFailure(t, w)
				}
			})
		}
	}
}

// TestProxiesThatLeaveDuringAnElection guards against proxies that end as planned while there is no leader: they must sign off with
// the next one.
func TestProxiesThatLeaveDuringAnElection(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		w := startFleetOfEight(seed)
		leaving := w.daemons(wire.ProxyDaemon)[8-[]int{4, 5, 7}[seed%3]:]
		for _, p := range leaving {
			p.removed = true
			w.stopProcess(p)
		}
		w.Run(w.now + w.randomMilliseconds(1000, 2500))
		leader := w.Leader()
		w.Kill(leader)
		w.restartLater(leader, time.Second)
		w.awaitEnds(t, leaving)
		w.requireChanges(t)
		w.requireNewProxiesServe(t)
		requireNoFailure(t, w)
	}
}

// TestProxiesThatCrashInHalfHoldUpChangesOnlyForTheirLeases guards against the half of the proxies that crashes and stays away: the
// others are no majority, but so are those that crashed, so changes need not wait for them once their leases have expired.
func TestProxiesThatCrashInHalfHoldUpChangesOnlyForTheirLeases(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := startFleetOfEight(seed)
		for _, p := range w.daemons(wire.ProxyDaemon)[4:] {
			p.removed = true
			w.Kill(p)
		}
		w.requireChanges(t)
		w.requireNewProxiesServe(t)
		requireNoFailure(t, w)
	}
}

// TestLeavingProxiesReturn restarts proxies that signed off, at every time around their removal: each must serve again, and none by
// an earlier table than is in force.
func TestLeavingProxiesReturn(t *testing.T) {
	t.Parallel()
	for seed := range uint64(24) {
		w := startFleetOfEight(seed)
		for range 6 {
			for _, p := range w.daemons(wire.ProxyDaemon)[:1+w.random.IntN(7)] {
				if p.alive && !p.stopping {
					w.restartGracefully(p, w.randomMilliseconds(1400, 2400))
				}
			}
			if leader := w.Leader(); leader != nil && w.random.IntN(3) == 0 {
				w.restartGracefully(leader, 7*time.Second)
			}
			w.Run(w.now + w.randomMilliseconds(0, 3000))
			if leader := w.Leader(); leader != nil {
				w.PutConfig(leader, w.Revision(), w.random.IntN(1000))
			}
		}
		w.Heal()
		w.AwaitRecovery(15 * time.Second)
		w.Finish()
		requireNoFailure(t, w)
	}
}

// TestForgottenProxiesHoldUpNothing guards against an operator's word that more than half of the proxies are off, which was accepted
// and changed nothing: the removal waited for a majority of those that it removed.
func TestForgottenProxiesHoldUpNothing(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := startFleetOfEight(seed)
		crashed := w.daemons(wire.ProxyDaemon)[3:]
		for _, p := range crashed {
			p.removed = true
			w.Kill(p)
		}
		w.Run(w.now + 3*time.Second)
		for _, p := range crashed {
			w.call(w.Leader(), "POST", "/v1/gates/"+p.name+"/forget", "", nil, "", w.ignoreReply)
		}
		w.requireChanges(t)
		w.requireNewProxiesServe(t)
		w.requirePeerServing(t)
		requireNoFailure(t, w)
	}
}
