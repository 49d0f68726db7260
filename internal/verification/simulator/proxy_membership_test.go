package simulator

import (
	"fmt"
	"testing"
	"time"

	"myrtlefold/internal/shared/wire"
)

// A majority of the old proxies is partitioned from the control plane but not from its callers, and serves on peer
// leases. Many new proxies join meanwhile. A majority of the new set alone must not put a change in force, as the old
// majority can't have received it.
func TestChangeNeedsOldAndNewMajorityOfProxies(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		p := Small
		p.Rate, p.Proxies = 300, 5
		w := Start(seed, p)
		w.Run(w.now + time.Second)
		var links []link
		for _, g := range []string{"g1", "g2", "g3"} {
			for _, o := range w.processes.names {
				if o != "g1" && o != "g2" && o != "g3" {
					links = append(links, bothDirections(g, o)...)
				}
			}
		}
		partitionEnd := w.now + 12*time.Second
		w.partition(links, 12*time.Second)
		for i := range 8 {
			name := fmt.Sprintf("g%d", 60+i)
			w.addAndStart(wire.ProxyDaemon, name, i%3)
			for _, g := range []string{"g1", "g2", "g3"} {
				w.partition(bothDirections(g, name), 12*time.Second)
			}
		}
		w.Run(w.now + w.randomMilliseconds(500, 2500))
		if seed%2 == 1 {
			w.Kill(w.Leader())
			w.schedule(2*time.Second, func() {
				for _, p := range w.daemons(wire.ControlDaemon) {
					w.Restart(p)
				}
			})
			w.runUntil(5*time.Second, w.hasLeader)
		}
		w.SendChange(w.Leader(), "POST", "/v1/domains/d1/empty", "", nil, emptyChange("d1"))
		w.PutConfig(w.Leader(), 1, 2)
		w.Run(min(w.now+9*time.Second, partitionEnd)) // afterwards an acknowledgement is right
		requireNoFailure(t, w)
		if w.checks.acknowledged == 2 {
			t.Fatalf("seed %d: revision 2 was acknowledged without a majority of the old proxies", seed)
		}
		w.Run(w.now + 3*time.Second)
		w.Heal()
		w.AwaitRecovery(15 * time.Second)
		requireNoFailure(t, w)
	}
}

// Runs of random faults in which many proxies crash and many new ones join, with partitions, violate no rule.
func TestRandomProxyCrashesAndJoins(t *testing.T) {
	t.Parallel()
	kinds := append(faultsNamed(t, "most proxies killed", "proxy isolated", "domain isolated", "leader killed", "config", "control plane partitioned from proxies"),
		Fault{"four new proxies join", func(w *World) {
			if len(w.daemonNames(wire.ProxyDaemon)) > w.Plan.Proxies+8 {
				return
			}
			for range 4 {
				w.addAndStart(wire.ProxyDaemon, fmt.Sprintf("g%d", 100+len(w.processes.names)), w.random.IntN(w.Plan.Domains))
			}
		}})
	for seed := uint64(1); seed <= 24; seed++ {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			requireNoFailure(t, RunRandomFaults(seed, Small, kinds, 14, 25*time.Second))
		})
	}
}

// All 40 proxies of a new fleet serve within 4 s of the first configuration, so they must not be admitted one by one.
func TestManyProxiesServeWithinSeconds(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		p := bootstrapPlan(7, 3)
		p.Proxies, p.Rate = 40, 60
		w := New(seed, p)
		if !w.runUntil(10*time.Second, w.hasLeader) {
			t.Fatalf("seed %d: no leader within 10 s\n%s", seed, w.Trace(20))
		}
		from := w.now
		w.PutConfig(w.Leader(), 0, 1)
		if !w.AwaitServing(4 * time.Second) {
			t.Fatalf("seed %d: not all proxies serve after %v, want all within 4s: %s", seed, w.now-from, w.describeDaemons())
		}
		requireNoFailure(t, w)
	}
}
