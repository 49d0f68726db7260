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

// The sizes of idle fleets.
const (
	smallProxies, smallTargets = 12, 36
	largeProxies, largeTargets = 69, 294
)

// idleFleet is a lone member that leads, with proxies and targets that all work and have nothing to do.
type idleFleet struct {
	controller *Controller
	now        time.Duration
	proxies    []wire.Daemon
	tables     []*wire.Table // the latest that each proxy was sent
	targets    []wire.Target
}

// newIdleFleet returns a fleet whose member has led for long enough that all is settled.
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

// step gives the member an event, and does at once what its commands ask for.
func (f *idleFleet) step(event statemachine.Event) {
	for _, command := range f.controller.Step(f.now, event) {
		switch c := command.(type) {
		case statemachine.Sync:
			f.step(statemachine.Synced{Seq: c.Batch.Seq})
		case statemachine.Probe:
			report := config.TargetReport{Service: c.ID.Service, Name: c.ID.Name, Incarnation: c.ID.Incarnation, Address: c.Addr, State: wire.TargetReady}
			f.step(statemachine.ProbeResult{ID: c.ID, SentAt: f.now, Milliseconds: 1, Report: &report})
		case statemachine.Send:
			f.receiveTable(c.Message)
		}
	}
}

// receiveTable keeps the table of a push for the proxy that it is sent to.
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

// runTick lets a tick pass, in which nobody sends anything.
func (f *idleFleet) runTick() {
	f.now += tuning.TickEvery
	f.step(statemachine.Tick{})
}

// runSecond lets a second pass, in which proxies and targets send what they do at their intervals.
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
				f.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindHeartbeat, Timestamp: 1, Heartbeat: &heartbeat}})
			}
		}
	}
}

func (f *idleFleet) pull(proxy int) {
	f.step(statemachine.Receive{Message: f.pullMessage(proxy)})
}

// pullMessage returns a pull of a proxy that has all it was sent.
func (f *idleFleet) pullMessage(proxy int) *wire.Message {
	pull := &wire.Pull{Self: f.proxies[proxy]}
	if table := f.tables[proxy]; table != nil {
		pull.Key, pull.Revision, pull.StateIndex = table.Key, table.Revision, table.StateIndex
	}
	return &wire.Message{Kind: wire.KindPull, From: f.proxies[proxy].Name, Timestamp: int64(f.now), Pull: pull}
}

// While nothing happens every proxy stays on one table but for the regular refresh.
func TestIdleFleetKeepsItsTable(t *testing.T) {
	fleet := newIdleFleet(smallProxies, smallTargets)
	if !fleet.controller.Leading() || len(fleet.controller.Table().Targets) != smallTargets || len(fleet.controller.Table().Proxies) != smallProxies {
		t.Fatalf("leading %v, table %+v", fleet.controller.Leading(), fleet.controller.Table())
	}
	before := fleet.controller.Table().Key
	for range 5 {
		fleet.runSecond()
	}
	if after := fleet.controller.Table().Key; after.Version > before.Version+1 {
		t.Fatalf("table %v became %v", before, after)
	}
}

// Targets whose heartbeats are too rare, and which answer probes, make no new tables.
func TestRareHeartbeatsMakeNoTables(t *testing.T) {
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
		t.Fatalf("table %v became %v", before, after)
	}
}

// A table says of an ejected target whether it heartbeats.
func TestEjectedTargetsHeartbeatsArePublished(t *testing.T) {
	fleet := newIdleFleet(smallProxies, smallTargets)
	row := fleet.controller.tableRow(fleet.now, fleet.controller.targets[fleet.targets[0].ID()])
	row.EjectionLeft, row.EjectedBy = 1, "default"
	missing := row
	row.Heartbeating, missing.Heartbeating = true, false
	if routingFactsOf(&row) == routingFactsOf(&missing) {
		t.Fatal("a change of the heartbeats of an ejected target makes no table")
	}
}

// allocationsPerTick returns the mean number of allocations of a tick of a leader with nothing to do. They stand for its
// time, which no test can check: most of it went into lists made anew at each tick.
func (f *idleFleet) allocationsPerTick() float64 {
	return testing.AllocsPerRun(200, func() {
		f.now += tuning.TickEvery
		f.controller.Step(f.now, statemachine.Tick{})
	})
}

// allocationsPerPull returns the mean number of allocations of the push to a proxy that lacks nothing.
func (f *idleFleet) allocationsPerPull() float64 {
	m := f.pullMessage(0)
	return testing.AllocsPerRun(200, func() { f.controller.Step(f.now, statemachine.Receive{Message: m}) })
}

// addWaiters has so many wait for a table that is not made yet, as in a release.
func (f *idleFleet) addWaiters(count int) {
	for range count {
		f.controller.waiters = append(f.controller.waiters, &inForceWaiter{version: f.controller.tableVersion + 1, waitingSince: f.now, majorityOnly: true})
	}
}

// A tick with nothing to do makes no list of the targets, of which there may be many.
func TestIdleTickAllocatesLittle(t *testing.T) {
	fleet := newIdleFleet(largeProxies, largeTargets)
	if n := fleet.allocationsPerTick(); n > 100 {
		t.Errorf("%v allocations per tick", n)
	}
}

// An event makes no list for what waits for a table to be in force, which may be much.
func TestManyWaitersAllocateLittle(t *testing.T) {
	fleet := newIdleFleet(largeProxies, largeTargets)
	without := fleet.allocationsPerPull()
	fleet.addWaiters(40)
	if n := fleet.allocationsPerPull(); n > without+5 {
		t.Errorf("%v allocations per pull, %v without waiters", n, without)
	}
	if n := fleet.allocationsPerTick(); n > 100 {
		t.Errorf("%v allocations per tick", n)
	}
}

// One virtual second of an idle leader.
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

// One virtual second of an idle leader for whose tables many wait.
func BenchmarkManyWaiters(b *testing.B) {
	fleet := newIdleFleet(largeProxies, largeTargets)
	fleet.addWaiters(40)
	b.ReportAllocs()
	for b.Loop() {
		fleet.runSecond()
	}
}
