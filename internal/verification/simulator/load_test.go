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

// busyLargeControlPlane is largeControlPlane under so much traffic that responses show the health of every target.
func busyLargeControlPlane() Plan {
	p := largeControlPlane()
	p.Rate = 1200
	return p
}

// startLargeControlPlane starts a fleet of the size of largeControlPlane and waits up to 10 s until its control plane has
// all 7 members and each of its 64 proxies holds a lease.
func startLargeControlPlane(t *testing.T, seed uint64, p Plan) *World {
	t.Helper()
	w := Start(seed, p)
	if !w.runUntil(10*time.Second, func() bool { return len(w.memberNames()) == 7 && leasedProxies(w) == 64 }) {
		t.Fatalf("after 10 s: members %v, want 7; %d of 64 proxies hold a lease, want all", w.memberNames(), leasedProxies(w))
	}
	return w
}

// processorTimeByTask lists the processor time that a process has spent on each task in addition to the times in before, in
// descending order.
func (p *Process) processorTimeByTask(before map[task]time.Duration) string {
	spent := func(t task) time.Duration { return p.usage.processorTime[t] - before[t] }
	tasks := slices.SortedFunc(maps.Keys(p.usage.processorTime), func(a, b task) int { return cmp.Compare(spent(b), spent(a)) })
	var lines []string
	for _, t := range tasks {
		lines = append(lines, fmt.Sprintf("%s %v", t, spent(t).Round(time.Millisecond)))
	}
	return strings.Join(lines, ", ")
}

// processorUtilization returns the fraction of its processor that a process has used since the given time, at which the
// processor times in before were recorded.
func (w *World) processorUtilization(p *Process, before map[task]time.Duration, since time.Duration) float64 {
	total := time.Duration(0)
	for t, spent := range p.usage.processorTime {
		total += spent - before[t]
	}
	return float64(total) / float64(w.now-since) / w.Plan.Resources.share(p)
}

// maxUtilizationInRelease is the maximum fraction of its processor that the leader may use during a rolling release.
const maxUtilizationInRelease = 0.85

// The leader keeps its lease during a rolling release of three fifths of a large fleet's targets, six at a time: what it
// sends the proxies must grow with time and not with the number of changed targets.
func TestLeaderKeepsItsLeaseInRelease(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := startLargeControlPlane(t, seed, busyLargeControlPlane())
			leader, lost, since := w.Leader(), w.lostLeases(), w.now
			before := maps.Clone(leader.usage.processorTime)
			w.releaseTargets(0.6, 6, 600*time.Millisecond)
			w.Run(w.now + 9*time.Second)
			if n := w.lostLeases() - lost; n > 0 {
				t.Errorf("leases were lost %d times in a release, want none; the leader spent its processor time on: %s", n, leader.processorTimeByTask(before))
			}
			if utilization := w.processorUtilization(leader, before, since); utilization > maxUtilizationInRelease {
				t.Errorf("the leader used %.2f of its processor, want at most %.2f: %s", utilization, maxUtilizationInRelease, leader.processorTimeByTask(before))
			} else {
				t.Logf("the leader used %.2f of its processor: %s", utilization, leader.processorTimeByTask(before))
			}
			if n := leasedProxies(w); n < 64 {
				t.Errorf("%d of 64 proxies hold a lease after the release, want all", n)
			}
			requireNoFailure(t, w)
		})
	}
}

// A leader whose machine becomes three times slower loses its lease repeatedly. It must transfer leadership to
// another member: 3 s later all proxies hold leases, although that machine is still slow.
func TestSlowLeaderHandsLeadershipOver(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := startLargeControlPlane(t, seed, largeControlPlane())
			leader, lost := w.Leader(), w.lostLeases()
			before := maps.Clone(leader.usage.processorTime)
			w.releaseTargets(0.3, 4, 900*time.Millisecond)
			w.Run(w.now + time.Second)
			w.slowProcess(leader, 3, 4*time.Second)
			w.Run(w.now + 3*time.Second)
			if n := leasedProxies(w); n < 64 {
				t.Errorf("%d of 64 proxies hold a lease 3 s after the leader's machine became slow, want all; leases were lost %d times\n%s", n, w.lostLeases()-lost, w.Trace(30))
			}
			w.Run(w.now + time.Second)
			lostBefore := w.lostLeases()
			w.Run(w.now + 3*time.Second)
			if n := w.lostLeases() - lostBefore; n > 0 {
				t.Errorf("leases were lost %d more times, want none; the old leader spent its processor time on: %s", n, leader.processorTimeByTask(before))
			}
			requireNoFailure(t, w)
		})
	}
}

// Without a leader, the proxies share the health checks: together they check each target at most nine times a second,
// whatever their number, and less often if responses show its health. They keep serving.
func TestProxiesWithoutLeaderShareHealthChecks(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := startLargeControlPlane(t, seed, busyLargeControlPlane())
			for _, p := range w.daemons(wire.ControlDaemon) {
				w.Kill(p)
			}
			w.Run(w.now + 2*time.Second)
			healthChecks, requests, served := w.Stats.ProxyHealthChecks, w.Stats.Requests, w.Stats.Served
			const span = 3
			w.Run(w.now + span*time.Second)
			perTarget := float64(w.Stats.ProxyHealthChecks-healthChecks) / span / 307 // number of targets in the fleet
			if limit := tuning.ProbersPerTarget / tuning.ProbeEvery.Seconds(); perTarget > limit {
				t.Errorf("each target was checked %.1f times a second, want at most %.1f", perTarget, limit)
			}
			if share := float64(w.Stats.Served-served) / float64(w.Stats.Requests-requests); share < 0.97 {
				t.Errorf("a fraction of %.3f of the requests was served without a leader, want at least 0.97", share)
			}
			t.Logf("%.1f health checks of each target a second", perTarget)
		})
	}
}

// During a release the leader continuously creates new tables. Proxies that are partitioned from the control plane
// meanwhile fetch their peers' tables at a limited rate, so that these don't fill their links, which carry requests too.
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
			var partitioned []*Process
			var links []link
			for i, proxy := range w.daemonNames(wire.ProxyDaemon) {
				if i%4 > 0 {
					continue
				}
				partitioned = append(partitioned, w.process(proxy))
				for _, controlDaemon := range w.daemonNames(wire.ControlDaemon) {
					links = append(links, bothDirections(proxy, controlDaemon)...)
				}
			}
			w.Run(w.now + time.Second)
			w.partition(links, 5500*time.Millisecond)
			full, samples := 0, 0
			for range 25 {
				w.Run(w.now + 200*time.Millisecond)
				for _, p := range partitioned {
					if samples++; p.usage.inboundUntil-w.now > 100*time.Millisecond {
						full++
					}
				}
			}
			if share := float64(full) / float64(samples); share > 1.0/tuning.PeerTableRateDivisor {
				t.Errorf("the links of partitioned proxies were full in a fraction of %.2f of the samples, want at most %.2f", share, 1.0/tuning.PeerTableRateDivisor)
			} else {
				t.Logf("the links were full in a fraction of %.2f of the samples", share)
			}
			if !w.runUntil(2500*time.Millisecond, func() bool { return leasedProxies(w) == 69 }) {
				t.Errorf("%d of 69 proxies hold a lease 2.5 s after the last sample, want all", leasedProxies(w))
			}
			requireNoFailure(t, w)
		})
	}
}
