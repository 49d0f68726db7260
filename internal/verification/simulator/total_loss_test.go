package simulator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"myrtlefold/internal/shared/wire"
)

// The failures of one control machine in a total loss.
const (
	diskKept        = 'w' // it restarts with its disk
	diskLost        = 'l' // it restarts with an empty disk
	machineGone     = 'g' // it never restarts, and its disk is lost
	machineIsolated = 'c' // it runs on with its disk but is isolated until the test reconnects it
)

// failControlMachines has all control machines fail at once, each as its character in failures says. If forget is set, the
// proxies restart too and lose their state; otherwise they run on.
func (w *World) failControlMachines(failures string, forget bool) {
	w.logf("failures %s, proxies forget %v", failures, forget)
	var isolated []string
	for i, f := range failures {
		p := w.daemons(wire.ControlDaemon)[i]
		switch f {
		case machineIsolated:
			isolated = append(isolated, p.name)
			continue
		case diskLost, machineGone:
			w.Kill(p)
			w.WipeDisk(p)
		default:
			w.Kill(p)
		}
		if f != machineGone {
			w.schedule(w.randomMilliseconds(200, 2000), func() { w.Restart(p) })
		}
	}
	if len(isolated) > 0 { // from all others; the isolated machines reach one another
		w.isolate(isolated, time.Hour, true, true)
	}
	for _, p := range w.daemons(wire.ProxyDaemon) {
		if forget {
			w.Kill(p)
			w.schedule(w.randomMilliseconds(200, 2000), func() { w.Restart(p) })
		}
	}
}

// An operator starts a recovery of the control plane at one survivor while an isolated member returns. These two are a
// majority of the old control plane. Either the old or the new control plane may continue, never both.
func TestOperatorRecoveryDuringReturnOfMember(t *testing.T) {
	t.Parallel()
	for seed := range uint64(60) {
		p := Small
		p.Rate = 20
		w := Start(seed, p)
		w.failControlMachines("wlc", seed%2 == 0)
		w.Run(w.now + 8*time.Second)
		if w.Leader() != nil {
			t.Fatalf("seed %d: a minority elected a leader, want none", seed)
		}
		r, _ := w.callAndWait(t, w.process("c1"), "POST", "/v1/core/refound", "", "", "")
		if r.Status != 202 {
			t.Fatalf("seed %d: POST /v1/core/refound: %d %s, want 202", seed, r.Status, r.Body)
		}
		w.Run(w.now + time.Duration(seed)*25*time.Millisecond)
		clear(w.network.blocked)
		w.AwaitRecovery(15 * time.Second)
		w.Run(w.now + 3*time.Second)
		requireNoFailure(t, w)
		if l := w.Leader(); l == nil || l.controller.Revision() < w.checks.acknowledged {
			t.Fatalf("seed %d: no leader, or acknowledged revision %d is lost", seed, w.checks.acknowledged)
		}
	}
}

// Runs every combination of kept disks, lost disks, machines gone and isolated machines for 3 and 5 members, each with
// proxies that keep and that lose their state. There must never be two control planes, which is checked at each step:
//   - If so many disks are lost that the old control plane can't elect a leader, even with all unreachable members, and a
//     majority of the machines is reachable, a new control plane leads within 15 s.
//   - If the old one might still elect a leader, no new one bootstraps until an operator confirms that the missing machines are gone, and
//     not even then while a majority may merely be isolated.
//   - Unreachable members join again once they are reachable.
func TestTotalLossLeavesOneControlPlane(t *testing.T) {
	t.Parallel()
	combinations := map[string]bool{}
	var generate func(prefix string, n int)
	generate = func(prefix string, n int) {
		if n == 0 {
			combinations[prefix] = true
			return
		}
		for _, f := range "wlgc" {
			if prefix == "" || strings.IndexRune("wlgc", f) >= strings.IndexByte("wlgc", prefix[len(prefix)-1]) {
				generate(prefix+string(f), n-1)
			}
		}
	}
	generate("", 3)
	generate("", 5)
	for failures := range combinations {
		for _, forget := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s-%v", failures, forget), func(t *testing.T) {
				t.Parallel()
				n := len(failures)
				p := Small
				p.ControlDaemons, p.Rate = n, 10
				seed := uint64(len(failures)*100 + strings.Count(failures, "l")*7 + strings.Count(failures, "c"))
				w := Start(seed, p)
				w.PutConfig(w.Leader(), 1, 2)
				w.Run(w.now + 2*time.Second)
				count := func(f string) int { return strings.Count(failures, f) }
				restarted, isolated := count("w")+count("l"), count("c")
				elects := 2*count("w") > n                                   // the old control plane elects a leader
				bootstraps := 2*restarted > n && 2*(n-count("l")) <= n       // so many disks are lost that the old control plane can't elect a leader
				bootstrapsOnConsent := 2*restarted > n-count("g") && !elects // an operator confirms which machines are gone
				w.failControlMachines(failures, forget)
				w.Run(w.now + 15*time.Second)
				requireNoFailure(t, w)
				leader := func() *Process {
					if l := w.Leader(); l != nil && !w.network.blocked[link{l.name, "g1"}] {
						return l
					}
					return nil // there is none, or it is isolated
				}
				l := leader()
				if (l != nil) != (elects || bootstraps) {
					t.Fatalf("leader after 15 s: %v, want %v\n%s", l != nil, elects || bootstraps, w.Trace(40))
				}
				if l == nil && restarted > 0 {
					var gone []string
					for i, f := range failures {
						if f == machineGone {
							gone = append(gone, w.daemonNames(wire.ControlDaemon)[i])
						}
					}
					at := w.daemons(wire.ControlDaemon)[strings.IndexAny(failures, "wl")]
					r, _ := w.callAndWait(t, at, "POST", "/v1/core/refound", "gone="+strings.Join(gone, ","), "", "")
					w.Run(w.now + 10*time.Second)
					requireNoFailure(t, w)
					if l = leader(); (r.Status == 202) != bootstrapsOnConsent || (l != nil) != bootstrapsOnConsent {
						t.Fatalf("POST /v1/core/refound: %d %s, leader 10 s later: %v, want %v\n%s", r.Status, r.Body, l != nil, bootstrapsOnConsent, w.Trace(40))
					}
				}
				if l != nil {
					if r := l.controller.Revision(); r != 2 && (count("w") > 0 || !forget) {
						t.Errorf("revision %d, want 2\n%s", r, w.Trace(40))
					}
					if r, _ := w.callAndWait(t, l, "POST", "/v1/core/refound", "", "", ""); r.Status != 409 {
						t.Errorf("POST /v1/core/refound at a control plane with a leader: %d, want 409", r.Status)
					}
				}
				if l != nil && l.controller.Revision() == 0 {
					w.forgetAcknowledgements() // every disk and proxy that knew of them is lost
					w.PutConfig(l, 0, 3)
				}
				clear(w.network.blocked)
				w.Run(w.now + 8*time.Second)
				requireNoFailure(t, w)
				wantLeader := elects || bootstrapsOnConsent || 2*(count("w")+isolated) > n || 2*(restarted+isolated) > n && 2*(n-count("l")) <= n
				if l := w.Leader(); wantLeader != (l != nil) {
					t.Fatalf("leader 8 s after the isolated machines were reconnected: %v, want %v\n%s", l != nil, wantLeader, w.Trace(40))
				} else if l != nil {
					epoch := l.controller.Status(0).Epoch
					for i, f := range failures {
						if s := w.daemons(wire.ControlDaemon)[i].controller.Status(0); f != machineGone && (s.Epoch != epoch || s.Leader == "") {
							t.Errorf("c%d: epoch %d, leader %q, want a leader and its epoch %d\n%s", i+1, s.Epoch, s.Leader, epoch, w.Trace(30))
						}
					}
					if w.checks.acknowledged >= 2 && l.controller.Revision() < 2 {
						t.Errorf("revision %d, but %d was acknowledged", l.controller.Revision(), w.checks.acknowledged)
					}
				}
			})
		}
	}
}

// All disks of the control plane are lost at once while the proxies run on. The control plane bootstraps a new epoch and
// recovers the configuration and the emptied domains from the proxies.
func TestControlPlaneRecoversStateFromProxies(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		w := Start(seed, Small)
		w.PutConfig(w.Leader(), 1, 2)
		w.Run(w.now + 2*time.Second)
		w.SendChange(w.Leader(), "POST", "/v1/domains/d2/empty", "", nil, emptyChange("d2"))
		w.Run(w.now + 3*time.Second)
		for _, p := range w.daemons(wire.ControlDaemon) {
			w.Kill(p)
			w.WipeDisk(p)
		}
		w.Run(w.now + time.Second)
		for _, p := range w.daemons(wire.ControlDaemon) {
			w.Restart(p)
		}
		w.AwaitRecovery(15 * time.Second)
		w.Finish()
		requireNoFailure(t, w)
		if s := w.Leader().controller.Status(0); s.Epoch != 2 || s.Revision != 2 || len(s.EmptiedDomains) != 1 {
			t.Fatalf("seed %d: want epoch 2, revision 2 and one emptied domain: %+v", seed, s)
		}
	}
}

// Two of three disks are lost and all proxies restart without state. The new epoch starts from the state on the
// surviving disk.
func TestNewEpochStartsFromSurvivingDisk(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		w := Start(seed, Small)
		w.PutConfig(w.Leader(), 1, 2)
		w.Run(w.now + 2*time.Second)
		keep := w.Leader()
		for _, p := range w.fleet() {
			w.Kill(p)
			if p.kind == wire.ControlDaemon && p != keep {
				w.WipeDisk(p)
			}
		}
		w.Run(w.now + time.Second)
		for _, p := range w.fleet() {
			w.Restart(p)
		}
		w.AwaitRecovery(15 * time.Second)
		w.Finish()
		requireNoFailure(t, w)
		if s := w.Leader().controller.Status(0); s.Epoch != 2 || s.Revision != 2 {
			t.Fatalf("seed %d: want epoch 2 and revision 2: %+v", seed, s)
		}
	}
}

// All disks are wiped and all daemons restart. The empty control plane bootstraps and accepts a first configuration.
func TestEmptyControlPlaneBootstrapsAnew(t *testing.T) {
	t.Parallel()
	for seed := range uint64(30) {
		p := Small
		p.ControlDaemons = 3 + 2*int(seed%2)
		w := Start(seed, p)
		w.Run(w.now + 2*time.Second)
		for _, p := range w.fleet() {
			w.Kill(p)
			if p.kind == wire.ControlDaemon {
				w.WipeDisk(p)
			}
		}
		w.checks.acknowledged, w.operators.changes = 0, nil
		for _, p := range w.fleet() {
			w.Restart(p)
		}
		w.network.loss, w.network.delay = 0.2, 100*time.Millisecond // so that seed nodes discover one another at different times
		w.schedule(5*time.Second, func() { w.network.loss, w.network.delay = 0, time.Millisecond })
		end := w.now + 15*time.Second
		for w.Leader() == nil && w.now < end {
			w.Run(w.now + 100*time.Millisecond)
		}
		if w.Leader() == nil {
			t.Fatalf("seed %d: no leader within 15 s of the restart\n%s", seed, w.Trace(40))
		}
		w.PutConfig(w.Leader(), 0, 3)
		w.AwaitRecovery(end - w.now)
		w.Finish()
		requireNoFailure(t, w)
	}
}
