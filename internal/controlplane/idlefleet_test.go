package controlplane

import (
	"fmt"
	"testing"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Numbers of proxies and targets of the idle fleets.
const (
	smallProxies, smallTargets = 12, 36
	largeProxies, largeTargets = 69, 294
)

// idleFleet is the leader of a control plane with one member, together with healthy proxies and targets that have no
// requests.
type idleFleet struct {
	controller *Controller
	now        time.Duration
	proxies    []wire.Daemon
	tables     []*wire.Table // by proxy, the latest table that it was sent
	targets    []wire.Target

	observe     func([]statemachine.Command) // gets the commands of each step, nil: nothing does
	unreachable string                       // address of a target that misses its health checks, "": none
}

// newIdleFleet returns a fleet after 12 seconds, when the member is Leading and has published all proxies and targets.
func newIdleFleet(proxies, targets int) *idleFleet {
	self := wire.Daemon{Name: "c1", Kind: wire.ControlDaemon, Addr: "c1", Incarnation: 1}
	fleet := &idleFleet{
		now:        time.Second,
		controller: New(time.Second, Settings{Self: self, BootstrapSize: 1}, consensus.PersistentState{Disk: 7}),
		tables:     make([]*wire.Table, proxies),
	}
	for i := range proxies {
		name := fmt.Sprintf("g%d", i+1)
		fleet.proxies = append(fleet.proxies, wire.Daemon{Name: name, Kind: wire.ProxyDaemon, Addr: name, Incarnation: uint64(i + 1), Domain: fmt.Sprintf("d%d", i%3)})
	}
	for i := range targets {
		fleet.targets = append(fleet.targets, wire.Target{Service: fmt.Sprintf("s%d", i%12), Name: fmt.Sprintf("t%d", i), Incarnation: 9, Addr: fmt.Sprintf("10.0.0.1:%d", i+1), State: wire.TargetReady})
	}
	for range 12 {
		fleet.runSecond()
	}
	return fleet
}

// step applies an event to the member and carries out the resulting commands at once, without delays.
func (f *idleFleet) step(event statemachine.Event) {
	commands := f.controller.Step(f.now, event)
	if f.observe != nil {
		f.observe(commands)
	}
	for _, command := range commands {
		switch c := command.(type) {
		case statemachine.Sync:
			f.step(statemachine.Synced{Seq: c.Batch.Seq})
		case statemachine.Probe:
			report := config.TargetReport{Service: c.ID.Service, Name: c.ID.Name, Incarnation: c.ID.Incarnation, Address: c.Addr, State: wire.TargetReady}
			if c.Addr == f.unreachable {
				f.step(statemachine.ProbeResult{ID: c.ID, SentAt: f.now})
				continue
			}
			f.step(statemachine.ProbeResult{ID: c.ID, SentAt: f.now, Milliseconds: 1, Report: &report})
		case statemachine.CheckCaller:
			f.step(statemachine.CallerChecked{ID: c.ID, Connected: true})
		case statemachine.Send:
			f.receiveTable(c.Message)
		}
	}
}

// receiveTable stores the table of a push as the latest one of the proxy that it is addressed to.
func (f *idleFleet) receiveTable(m *wire.Message) {
	if m.Push == nil || m.Push.Table == nil {
		return
	}
	for i := range f.proxies {
		if f.proxies[i].Name == m.To {
			f.tables[i] = m.Push.Table
		}
	}
}

// runTick advances the clock by one tick, in which proxies and targets send nothing.
func (f *idleFleet) runTick() {
	f.now += tuning.TickEvery
	f.step(statemachine.Tick{})
}

// runSecond advances the clock by one second, in which proxies and targets send pulls, hellos and heartbeats at their
// usual intervals.
func (f *idleFleet) runSecond() {
	for tick := range int(time.Second / tuning.TickEvery) {
		f.runTick()
		at := time.Duration(tick) * tuning.TickEvery
		due := func(offset, interval time.Duration) bool { return (at+offset)%interval < tuning.TickEvery }
		for i := range f.proxies {
			if due(time.Duration(i)*7*time.Millisecond, tuning.PullEvery) {
				f.pull(i)
			}
			if due(time.Duration(i)*11*time.Millisecond, tuning.HelloEvery) {
				f.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindHello, From: f.proxies[i].Name, Hello: &wire.Hello{Self: f.proxies[i]}}})
			}
		}
		for i := range f.targets {
			if due(time.Duration(i)*13*time.Millisecond, tuning.TargetHeartbeatEvery) {
				heartbeat := f.targets[i]
				f.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindHeartbeat, Timestamp: wire.RelayedHeartbeatTimestamp, Heartbeat: &heartbeat}})
			}
		}
	}
}

// pull applies a pull of the proxy with the given index.
func (f *idleFleet) pull(proxy int) {
	f.step(statemachine.Receive{Message: f.pullMessage(proxy)})
}

// pullMessage returns a pull in which a proxy confirms the latest table that it was sent.
func (f *idleFleet) pullMessage(proxy int) *wire.Message {
	pull := &wire.Pull{Self: f.proxies[proxy]}
	if table := f.tables[proxy]; table != nil {
		pull.Key, pull.Revision, pull.StateIndex = table.Key, table.Revision, table.StateIndex
	}
	return &wire.Message{Kind: wire.KindPull, From: f.proxies[proxy].Name, Timestamp: int64(f.now), Pull: pull}
}

// In an idle fleet the leader must build no new tables except for the regular refresh, at most once in five seconds.
func TestIdleFleetDoesNotRebuildTable(t *testing.T) {
	fleet := newIdleFleet(smallProxies, smallTargets)
	if !fleet.controller.Leading() || len(fleet.controller.Table().Targets) != smallTargets || len(fleet.controller.Table().Proxies) != smallProxies {
		t.Fatalf("the fleet has not settled: leading is %v, table is %+v", fleet.controller.Leading(), fleet.controller.Table())
	}
	before := fleet.controller.Table().Key
	for range 5 {
		fleet.runSecond()
	}
	if after := fleet.controller.Table().Key; after.Version > before.Version+1 {
		t.Fatalf("the table changed from %v to %v, want at most one new version", before, after)
	}
}

// Targets that answer probes but send heartbeats only in every third second must cause no new tables.
func TestInfrequentHeartbeatsDoNotRebuildTable(t *testing.T) {
	fleet := newIdleFleet(smallProxies, smallTargets)
	before := fleet.controller.Table().Key
	heartbeating := fleet.targets
	for i := range 15 {
		fleet.targets = nil
		if i%3 == 2 {
			fleet.targets = heartbeating
		}
		fleet.runSecond()
	}
	if after := fleet.controller.Table().Key; after.Version > before.Version+2 {
		t.Fatalf("the table changed from %v to %v, want at most two new versions", before, after)
	}
}

// Proxies that find all usable targets ejected choose by heartbeats, so a change of an ejected target's heartbeats must
// lead to a new table.
func TestHeartbeatChangeOfEjectedTargetIsPublished(t *testing.T) {
	fleet := newIdleFleet(smallProxies, smallTargets)
	row := fleet.controller.tableRow(fleet.now, fleet.controller.targets[fleet.targets[0].ID()])
	row.EjectionLeft, row.EjectedBy = 1, "default"
	missing := row
	row.Heartbeating, missing.Heartbeating = true, false
	if routingFieldsOf(&row) == routingFieldsOf(&missing) {
		t.Fatal("the routing fields of an ejected target are the same with and without heartbeats, want them to differ")
	}
}

// allocationsPerTick returns the mean number of allocations in a tick of an idle leader. It stands in for the time of a
// tick, which a test can't check reliably; most of that time was once spent on lists that were rebuilt at every tick.
func (f *idleFleet) allocationsPerTick() float64 {
	return testing.AllocsPerRun(200, func() {
		f.now += tuning.TickEvery
		f.controller.Step(f.now, statemachine.Tick{})
	})
}

// allocationsPerPull returns the mean number of allocations for a pull of a proxy that is up to date.
func (f *idleFleet) allocationsPerPull() float64 {
	m := f.pullMessage(0)
	return testing.AllocsPerRun(200, func() { f.controller.Step(f.now, statemachine.Receive{Message: m}) })
}

// addWaiters adds waiters for a table that is not built yet, as there are many during a release of a service.
func (f *idleFleet) addWaiters(count int) {
	for range count {
		f.controller.waiters = append(f.controller.waiters, &inForceWaiter{version: f.controller.tableVersion + 1, waitingSince: f.now, quorumOnly: true})
	}
}

// An idle tick must not allocate lists of the targets, of which there may be many.
func TestIdleTickAllocatesLittle(t *testing.T) {
	fleet := newIdleFleet(largeProxies, largeTargets)
	if n := fleet.allocationsPerTick(); n > 100 {
		t.Errorf("%v allocations per tick, want at most 100", n)
	}
}

// An event must not allocate lists for the waiters for a table, of which there may be many.
func TestManyWaitersAllocateLittle(t *testing.T) {
	fleet := newIdleFleet(largeProxies, largeTargets)
	without := fleet.allocationsPerPull()
	fleet.addWaiters(40)
	if n := fleet.allocationsPerPull(); n > without+5 {
		t.Errorf("%v allocations per pull with 40 waiters, %v without, want at most 5 more", n, without)
	}
	if n := fleet.allocationsPerTick(); n > 100 {
		t.Errorf("%v allocations per tick with 40 waiters, want at most 100", n)
	}
}

// BenchmarkIdleFleet measures one virtual second of an idle leader.
func BenchmarkIdleFleet(b *testing.B) {
	for _, size := range []struct{ proxies, targets int }{{smallProxies, smallTargets}, {largeProxies, largeTargets}} {
		b.Run(fmt.Sprintf("%d-gates-%d-targets", size.proxies, size.targets), func(b *testing.B) {
			fleet := newIdleFleet(size.proxies, size.targets)
			b.ReportAllocs()
			for b.Loop() {
				fleet.runSecond()
			}
		})
	}
}

// BenchmarkManyWaiters measures one virtual second of an idle leader with many waiters for its next table.
func BenchmarkManyWaiters(b *testing.B) {
	fleet := newIdleFleet(largeProxies, largeTargets)
	fleet.addWaiters(40)
	b.ReportAllocs()
	for b.Loop() {
		fleet.runSecond()
	}
}
