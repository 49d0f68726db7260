package simulator

import (
	"fmt"
	"testing"
	"time"

	"myrtlefold/internal/shared/wire"
)

// For any number of seed nodes and control daemons, one control plane is bootstrapped and grows to the size at which it
// survives the loss of a machine or a domain. A seed node may restart meanwhile, also with an empty disk; from bootstrapWindow
// on it starts without the bootstrap setting.
func TestSeedNodesBootstrapOneControlPlane(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ controlDaemons, seedDaemons, wantMembers int }{{1, 1, 1}, {3, 1, 3}, {5, 1, 5}, {2, 2, 2}, {3, 3, 3}, {4, 3, 3}, {5, 3, 5}, {6, 3, 5}, {7, 3, 7}, {11, 3, 7}} {
		for seed := range uint64(12) {
			t.Run(fmt.Sprintf("%d of %d", c.seedDaemons, c.controlDaemons), func(t *testing.T) {
				t.Parallel()
				w := New(seed, bootstrapPlan(c.controlDaemons, c.seedDaemons))
				if seed%3 > 0 { // a restarted seed node continues the bootstrap whose lock is on its disk
					w.schedule(w.randomMilliseconds(100, 2500), func() {
						p := w.process(w.processes.names[w.random.IntN(c.seedDaemons)])
						w.Kill(p)
						if seed%3 == 2 && c.seedDaemons == 3 {
							w.WipeDisk(p)
						}
						w.schedule(w.randomMilliseconds(50, 1200), func() { w.Restart(p) })
					})
				}
				w.runUntil(25*time.Second, w.hasMembers(c.wantMembers))
				w.Run(w.now + 4*time.Second)
				requireNoFailure(t, w)
				w.checkMembership(t, c.wantMembers)
				if e := w.Leader().controller.Status(0).Epoch; e != 1 && seed%3 == 0 {
					t.Errorf("seed %d: the control plane was bootstrapped more than once: epoch %d, want 1", seed, e)
				}
				w.PutConfig(w.Leader(), 0, 1)
				w.AwaitRecovery(10 * time.Second)
				requireNoFailure(t, w)
				for _, n := range w.daemonNames(wire.ControlDaemon) { // a standby forwards calls too
					if !w.process(n).controller.Ready() {
						t.Errorf("seed %d: control daemon %s is not ready", seed, n)
					}
				}
			})
		}
	}
}

// Control daemons that aren't seed nodes, and seed nodes that start with empty disks and without the bootstrap setting, must not
// bootstrap a control plane.
func TestDaemonsWithoutBootstrapSettingDoNotBootstrap(t *testing.T) {
	t.Parallel()
	w := New(1, bootstrapPlan(5, 3))
	for _, n := range w.processes.names[:3] {
		p := w.process(n)
		w.schedule(1001*time.Millisecond, func() { w.Kill(p); w.WipeDisk(p) })
		w.schedule(1100*time.Millisecond, func() { w.Restart(p) })
	}
	w.Run(1001 * time.Millisecond)
	w.Run(60 * time.Second)
	requireNoFailure(t, w)
	if w.Leader() != nil {
		t.Fatalf("%s leads, want no leader: no control daemon may bootstrap a control plane\n%s", w.Leader().name, w.Trace(20))
	}
}
