package simulator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// busyLargeControlPlane is the same fleet under so much traffic that requests show the health of every target.
func busyLargeControlPlane() Plan {
	p := largeControlPlane()
	p.Rate = 1200
	return p
}

// startLeased starts such a fleet and waits until its control plane has all members and each proxy a lease.
func startLeased(t *testing.T, seed uint64, p Plan) *World {
	t.Helper()
	w := Start(seed, p)
	if !w.runUntil(10*time.Second, func() bool { return len(w.memberNames()) == 7 && leasedProxies(w) == 64 }) {
		t.Fatalf("members %v, %d proxies leased", w.memberNames(), leasedProxies(w))
	}
	return w
}

// spentOn lists what a process's processor time since an earlier moment was spent on, the most first.
func (p *Process) spentOn(before map[task]time.Duration) string {
	spent := func(on task) time.Duration { return p.usage.processorTime[on] - before[on] }
	tasks := slices.SortedFunc(maps.Keys(p.usage.processorTime), func(a, b task) int { return cmp.Compare(spent(b), spent(a)) })
	var lines []string
	for _, on := range tasks {
		lines = append(lines, fmt.Sprintf("%s %v", on, spent(on).Round(time.Millisecond)))
	}
	return strings.Join(lines, ", ")
}

// busyShare is the part of its processor that a process used since an earlier moment.
func (w *World) busyShare(p *Process, before map[task]time.Duration, since time.Duration) float64 {
	total := time.Duration(0)
	for on, spent := range p.usage.processorTime {
		total += spent - before[on]
	}
	return float64(total) / float64(w.now-since) / w.Plan.Resources.share(p)
}

// busyInRelease is the most of its processor that a leader may use while targets are released.
const busyInRelease = 0.85

// A release of three fifths of a large fleet's targets, six at a time, costs the leader no lease: what
// it has to send the proxies grows with time and not with the number of changes.
func TestReleaseKeepsTheLeader(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := startLeased(t, seed, busyLargeControlPlane())
			leader, lost, since := w.Leader(), w.lostLeases(), w.now
			before := maps.Clone(leader.usage.processorTime)
			w.releaseTargets(0.6, 6, 600*time.Millisecond)
			w.Run(w.now + 9*time.Second)
			if n := w.lostLeases() - lost; n > 0 {
				t.Errorf("the lead was lost %d times in a release; the leader's time went to: %s", n, leader.spentOn(before))
			}
			if busy := w.busyShare(leader, before, since); busy > busyInRelease {
				t.Errorf("the leader used %.2f of its processor: %s", busy, leader.spentOn(before))
			} else {
				t.Logf("the leader used %.2f of its processor: %s", busy, leader.spentOn(before))
			}
			if n := leasedProxies(w); n < 64 {
				t.Errorf("%d of 64 proxies hold a lease after the release", n)
			}
			requireNoFailure(t, w)
		})
	}
}

// A leader whose machine is three times slower loses its lease again and again, and hands leadership to a
// member that is not: three seconds later all proxies hold leases, while the machine is as slow as before.
func TestSlowLeaderHandsLeadershipOver(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := startLeased(t, seed, largeControlPlane())
			leader, lost := w.Leader(), w.lostLeases()
			before := maps.Clone(leader.usage.processorTime)
			w.releaseTargets(0.3, 4, 900*time.Millisecond)
			w.Run(w.now + time.Second)
			w.slowProcess(leader, 3, 4*time.Second)
			w.Run(w.now + 3*time.Second)
			if n := leasedProxies(w); n < 64 {
				t.Errorf("%d of 64 proxies hold a lease 3 s after the leader's machine became slow; the lead was lost %d times\n%s", n, w.lostLeases()-lost, w.Trace(30))
			}
			w.Run(w.now + time.Second)
			slowed := w.lostLeases()
			w.Run(w.now + 3*time.Second)
			if n := w.lostLeases() - slowed; n > 0 {
				t.Errorf("the lead was lost %d times more; the leader's time went to: %s", n, leader.spentOn(before))
			}
			requireNoFailure(t, w)
		})
	}
}

// Without a leader a fleet gets quieter: its proxies together check each target's health nine times a second at the
// most, whatever their number, and less often where requests show it; and they go on serving.
func TestProxiesWithoutLeaderShareHealthChecks(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := startLeased(t, seed, busyLargeControlPlane())
			for _, p := range w.daemons(wire.ControlDaemon) {
				w.Kill(p)
			}
			w.Run(w.now + 2*time.Second)
			probes, exchanges, served := w.Stats.ProxyHealthChecks, w.Stats.Requests, w.Stats.Served
			const span = 3
			w.Run(w.now + span*time.Second)
			perTarget := float64(w.Stats.ProxyHealthChecks-probes) / span / 307
			if most := tuning.ProbersPerTarget / tuning.ProbeEvery.Seconds(); perTarget > most {
				t.Errorf("each target is probed %.1f times a second, at most %.1f are wanted", perTarget, most)
			}
			if part := float64(w.Stats.Served-served) / float64(w.Stats.Requests-exchanges); part < 0.97 {
				t.Errorf("%.3f of the requests are served without a leader", part)
			}
			t.Logf("%.1f probes a second for each target", perTarget)
		})
	}
}

// Proxies that are cut off from the control plane while a release has its leader make ever new tables don't fill their
// limited links with their peers' tables: requests go over the same links.
func TestIsolatedProxiesKeepTheirLinksFree(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			p := largeFleet()
			p.Rate, p.Slots, p.ReportToControlOnly, p.HeartbeatEvery = 200, 3, true, 1500*time.Millisecond
			w := Start(seed, p)
			w.Run(w.now + 3*time.Second)
			w.SendChange(w.Leader(), "PUT", "/v1/config", fmt.Sprintf("base=%d", w.Revision()), w.documentWithRoutes(3, 1400), configChange(w.Revision()))
			w.Run(w.now + 3*time.Second)
			w.releaseTargets(0.3, 4, 500*time.Millisecond)
			var cut []*Process
			var links []link
			for i, g := range w.daemonNames(wire.ProxyDaemon) {
				if i%4 > 0 {
					continue
				}
				cut = append(cut, w.process(g))
				for _, c := range w.daemonNames(wire.ControlDaemon) {
					links = append(links, bothDirections(g, c)...)
				}
			}
			w.Run(w.now + time.Second)
			w.partition(links, 5500*time.Millisecond)
			full, samples := 0, 0
			for range 25 {
				w.Run(w.now + 200*time.Millisecond)
				for _, g := range cut {
					if samples++; g.usage.inboundUntil-w.now > 100*time.Millisecond {
						full++
					}
				}
			}
			if part := float64(full) / float64(samples); part > 1.0/tuning.PeerTableParts {
				t.Errorf("links of proxies that are cut off were full for %.2f of the time", part)
			} else {
				t.Logf("full for %.2f of the time", part)
			}
			if !w.runUntil(2500*time.Millisecond, func() bool { return leasedProxies(w) == 69 }) {
				t.Errorf("%d of 69 proxies hold a lease 2 s after the cut", leasedProxies(w))
			}
			requireNoFailure(t, w)
		})
	}
}
