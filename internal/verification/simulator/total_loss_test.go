package simulator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"myrtlefold/internal/shared/wire"
)

// The fates of one control machine in a total loss.
const (
	diskKept        = 'w' // its disk survives
	diskLost        = 'l' // it comes back with an empty disk
	machineGone     = 'g' // it never comes back; its disk is lost with it
	machineIsolated = 'c' // it runs on with its disk, reached by nobody, and is back later
)

// loseMachinesByFate has all control machines meet their fates at once; the proxies live on, or
// restart too.
func (w *World) loseMachinesByFate(fates string, forget bool) {
	w.logf("fates %s, proxies forget %v", fates, forget)
	var cut []string
	for i, f := range fates {
		p := w.daemons(wire.ControlDaemon)[i]
		switch f {
		case machineIsolated:
			cut = append(cut, p.name)
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
	if len(cut) > 0 { // alone or together
		w.isolate(cut, time.Hour, true, true)
	}
	for _, p := range w.daemons(wire.ProxyDaemon) {
		if forget {
			w.Kill(p)
			w.schedule(w.randomMilliseconds(200, 2000), func() { w.Restart(p) })
		}
	}
}

// An operator recovers a survivor just when the member comes back with which
// it is a majority of the old control plane: one of the two control planes goes on, never both.
func TestOperatorRecoveryMeetsReturningMember(t *testing.T) {
	t.Parallel()
	for seed := range uint64(60) {
		p := Small
		p.Rate = 20
		w := Start(seed, p)
		w.loseMachinesByFate("wlc", seed%2 == 0)
		w.Run(w.now + 8*time.Second)
		if w.Leader() != nil {
			t.Fatal("leads")
		}
		r, _ := w.callAndWait(t, w.process("c1"), "POST", "/v1/core/refound", "", "", "")
		if r.Status != 202 {
			t.Fatalf("%s", r.Body)
		}
		w.Run(w.now + time.Duration(seed)*25*time.Millisecond)
		clear(w.network.blocked)
		w.AwaitRecovery(15 * time.Second)
		w.Run(w.now + 3*time.Second)
		requireNoFailure(t, w)
		if l := w.Leader(); l == nil || l.controller.Revision() < w.checks.acknowledged {
			t.Fatalf("seed %d: forgotten or no leader", seed)
		}
	}
}

// Every mix of disks lost, machines gone, members isolated and members intact, for 3
// and 5 members, with proxies that remember and that forget. There are never two
// control planes (checked at each step). If the last one can't decide whatever the unreachable
// members have, and a majority of machines is there, a new one leads within 15 s; where
// it might, nobody bootstraps until an operator consents for those who are gone, and not even
// then while a majority may be isolated. Unreachable members join when they are back.
func TestTotalLossLeavesOneControlPlane(t *testing.T) {
	t.Parallel()
	mixes := map[string]bool{}
	var gen func(prefix string, n int)
	gen = func(prefix string, n int) {
		if n == 0 {
			mixes[prefix] = true
			return
		}
		for _, f := range "wlgc" {
			if prefix == "" || strings.IndexRune("wlgc", f) >= strings.IndexByte("wlgc", prefix[len(prefix)-1]) {
				gen(prefix+string(f), n-1)
			}
		}
	}
	gen("", 3)
	gen("", 5)
	for fates := range mixes {
		for _, forget := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s-%v", fates, forget), func(t *testing.T) {
				t.Parallel()
				n := len(fates)
				p := Small
				p.ControlDaemons, p.Rate = n, 10
				seed := uint64(len(fates)*100 + strings.Count(fates, "l")*7 + strings.Count(fates, "c"))
				w := Start(seed, p)
				w.PutConfig(w.Leader(), 1, 2)
				w.Run(w.now + 2*time.Second)
				count := func(f string) int { return strings.Count(fates, f) }
				there, cut := count("w")+count("l"), count("c")
				elects := 2*count("w") > n
				founds := 2*there > n && 2*(n-count("l")) <= n
				vouched := 2*there > n-count("g") && !elects
				w.loseMachinesByFate(fates, forget)
				w.Run(w.now + 15*time.Second)
				requireNoFailure(t, w)
				leader := func() *Process {
					if l := w.Leader(); l != nil && !w.network.blocked[link{l.name, "g1"}] {
						return l
					}
					return nil // nobody, or among the isolated only
				}
				l := leader()
				if (l != nil) != (elects || founds) {
					t.Fatalf("leads %v after 15 s, wanted %v\n%s", l != nil, elects || founds, w.Trace(40))
				}
				if l == nil && there > 0 {
					var gone []string
					for i, f := range fates {
						if f == 'g' {
							gone = append(gone, w.daemonNames(wire.ControlDaemon)[i])
						}
					}
					at := w.daemons(wire.ControlDaemon)[strings.IndexAny(fates, "wl")]
					r, _ := w.callAndWait(t, at, "POST", "/v1/core/refound", "gone="+strings.Join(gone, ","), "", "")
					w.Run(w.now + 10*time.Second)
					requireNoFailure(t, w)
					if l = leader(); (r.Status == 202) != vouched || (l != nil) != vouched {
						t.Fatalf("vouched for: %d %s, leads %v, wanted %v\n%s", r.Status, r.Body, l != nil, vouched, w.Trace(40))
					}
				}
				if l != nil {
					if r := l.controller.Revision(); r != 2 && (count("w") > 0 || !forget) {
						t.Errorf("revision %d\n%s", r, w.Trace(40))
					}
					if r, _ := w.callAndWait(t, l, "POST", "/v1/core/refound", "", "", ""); r.Status != 409 {
						t.Errorf("a living core is founded anew: %d", r.Status)
					}
				}
				if l != nil && l.controller.Revision() == 0 {
					w.forgetAcknowledgements() // all who knew of them are lost
					w.PutConfig(l, 0, 3)
				}
				clear(w.network.blocked)
				w.Run(w.now + 8*time.Second)
				requireNoFailure(t, w)
				leads := elects || vouched || 2*(count("w")+cut) > n || 2*(there+cut) > n && 2*(n-count("l")) <= n
				if l := w.Leader(); leads != (l != nil) {
					t.Fatalf("after healing: leader %v\n%s", l != nil, w.Trace(40))
				} else if l != nil {
					epoch := l.controller.Status(0).Epoch
					for i, f := range fates {
						if s := w.daemons(wire.ControlDaemon)[i].controller.Status(0); f != machineGone && (s.Epoch != epoch || s.Leader == "") {
							t.Errorf("c%d: epoch %d, leader %q, the leader's epoch %d\n%s", i+1, s.Epoch, s.Leader, epoch, w.Trace(30))
						}
					}
					if w.checks.acknowledged >= 2 && l.controller.Revision() < 2 {
						t.Errorf("forgotten")
					}
				}
			})
		}
	}
}

// Every disk of the control plane is lost at once while the proxies live: it begins a new
// epoch and recovers configuration and emptied domains from the proxies.
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
		if s := w.Leader().controller.Status(0); s.Epoch != 2 || s.Revision != 2 || len(s.Emptied) != 1 {
			t.Fatalf("seed %d: %+v", seed, s)
		}
	}
}

// Two of three disks are lost: the new epoch starts from the survivor's state,
// even when no proxy remembers.
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
			t.Fatalf("seed %d: %+v", seed, s)
		}
	}
}

// Everything is wiped: an empty control plane bootstraps and takes a configuration anew.
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
		w.network.loss, w.network.delay = 0.2, 100*time.Millisecond // seeds learn of one another at different times
		w.schedule(5*time.Second, func() { w.network.loss, w.network.delay = 0, time.Millisecond })
		end := w.now + 15*time.Second
		for w.Leader() == nil && w.now < end {
			w.Run(w.now + 100*time.Millisecond)
		}
		if w.Leader() == nil {
			t.Fatalf("seed %d: no leader\n%s", seed, w.Trace(40))
		}
		w.PutConfig(w.Leader(), 0, 3)
		w.AwaitRecovery(end - w.now)
		w.Finish()
		requireNoFailure(t, w)
	}
}
