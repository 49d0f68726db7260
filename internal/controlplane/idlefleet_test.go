package controlplane

import (
	"fmt"
	"myrtlefold/internal/shared/statemachine"
	"testing"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// idleFleet is a lone member that leads a fleet in which nothing happens.
type idleFleet struct {
	controller      *Controller
	now    time.Duration
	proxies  []wire.Daemon
	tables   []*wire.Table
	targets []wire.Target
	messagesSent   int
}

func (r *idleFleet) step(ev statemachine.Event) {
	for _, cmd := range r.controller.Step(r.now, ev) {
		switch c := cmd.(type) {
		case statemachine.Sync:
			r.step(statemachine.Synced{Seq: c.Batch.Seq})
		case statemachine.Probe:
			b := config.TargetReport{Service: c.ID.Service, Name: c.ID.Name, Incarnation: c.ID.Incarnation, Address: c.Addr, State: wire.TargetReady}
			r.step(statemachine.ProbeResult{ID: c.ID, SentAt: r.now, Milliseconds: 1, Report: &b})
		case statemachine.Send:
			r.messagesSent++
			if p := c.Message.Push; p != nil && p.Table != nil {
				for i := range r.proxies {
					if r.proxies[i].Name == c.Message.To {
						r.tables[i] = p.Table
					}
				}
			}
		}
	}
}

func (r *idleFleet) runSecond() {
	for tick := range int(time.Second / tuning.TickEvery) {
		r.now += tuning.TickEvery
		r.step(statemachine.Tick{})
		at := time.Duration(tick) * tuning.TickEvery
		for i, g := range r.proxies {
			if (at+time.Duration(i)*7*time.Millisecond)%tuning.PullEvery < tuning.TickEvery {
				p := &wire.Pull{Self: g}
				if r.tables[i] != nil {
					p.Key, p.Revision, p.StateIndex = r.tables[i].Key, r.tables[i].Revision, r.tables[i].StateIndex
				}
				r.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindPull, From: g.Name, Timestamp: int64(r.now), Pull: p}})
			}
			if (at+time.Duration(i)*11*time.Millisecond)%tuning.HelloEvery < tuning.TickEvery {
				r.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindHello, From: g.Name, Hello: &wire.Hello{Self: g}}})
			}
		}
		for i := range r.targets {
			if (at+time.Duration(i)*13*time.Millisecond)%tuning.TargetHeartbeatEvery < tuning.TickEvery {
				w := r.targets[i]
				r.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindHeartbeat, Timestamp: 1, Heartbeat: &w}})
			}
		}
	}
}

func newIdleFleet(gates, targets int) *idleFleet {
	self := wire.Daemon{Name: "c1", Kind: wire.ControlDaemon, Addr: "c1", Incarnation: 1}
	r := &idleFleet{now: time.Second, controller: New(time.Second, Settings{Self: self, BootstrapSize: 1}, consensus.PersistentState{Disk: 7}), tables: make([]*wire.Table, gates)}
	for i := range gates {
		n := fmt.Sprintf("g%d", i+1)
		r.proxies = append(r.proxies, wire.Daemon{Name: n, Kind: wire.ProxyDaemon, Addr: n, Incarnation: uint64(i + 1), Domain: fmt.Sprintf("d%d", i%3)})
	}
	for i := range targets {
		r.targets = append(r.targets, wire.Target{Service: fmt.Sprintf("s%d", i%12), Name: fmt.Sprintf("t%d", i), Incarnation: 9, Addr: fmt.Sprintf("10.0.0.1:%d", i+1), State: wire.TargetReady})
	}
	for range 12 {
		r.runSecond()
	}
	return r
}

// At rest nothing is sent but answers, and every proxy stands on one table.
func TestIdleFleetKeepsItsTable(t *testing.T) {
	r := newIdleFleet(12, 36)
	if !r.controller.Leading() || len(r.controller.Table().Targets) != 36 || len(r.controller.Table().Proxies) != 12 {
		t.Fatalf("leads %v, %+v", r.controller.Leading(), r.controller.Table())
	}
	was := r.controller.Table().Key
	for range 5 {
		r.runSecond()
	}
	if k := r.controller.Table().Key; k.Version > was.Version+1 {
		t.Fatalf("table %v -> %v", was, k)
	}
}

// Targets whose beats are too rare, and which answer probes, make no new tables; of ejected
// ones it is told whether they beat.
func TestRareHeartbeatsMakeNoTables(t *testing.T) {
	r := newIdleFleet(12, 36)
	was := r.controller.Table().Key
	words := r.targets
	for i := range 15 {
		r.targets = nil
		if i%3 == 2 {
			r.targets = words
		}
		r.runSecond()
	}
	if k := r.controller.Table().Key; k.Version > was.Version+2 {
		t.Fatalf("table %v -> %v", was, k)
	}
	x := r.controller.targets[words[0].ID()]
	w := r.controller.tableRow(r.now, x)
	w.EjectionLeft, w.EjectedBy = 1, "default"
	silent := w
	w.Heartbeating, silent.Heartbeating = true, false
	if routingFactsOf(&w) == routingFactsOf(&silent) {
		t.Fatal("it is not told whether a barred target beats")
	}
}

// allocationsPerTick is the mean number of allocations of a tick of a leader with nothing to do. They stand
// for its time, which no test can ask for: most of it went into lists made anew at each tick.
func (r *idleFleet) allocationsPerTick() float64 {
	return testing.AllocsPerRun(200, func() {
		r.now += tuning.TickEvery
		r.controller.Step(r.now, statemachine.Tick{})
	})
}

// A tick with nothing to do costs a leader no list of its targets, of which it may have many.
func TestIdleTickAllocatesLittle(t *testing.T) {
	r := newIdleFleet(69, 294)
	if n := r.allocationsPerTick(); n > 100 {
		t.Errorf("%v allocations a tick", n)
	}
}

// One virtual second of a leader at rest.
func BenchmarkIdleFleet(b *testing.B) {
	for _, n := range [][2]int{{12, 36}, {69, 294}} {
		b.Run(fmt.Sprintf("%d-gates-%d-targets", n[0], n[1]), func(b *testing.B) {
			r := newIdleFleet(n[0], n[1])
			b.ReportAllocs()
			for b.Loop() {
				r.runSecond()
			}
		})
	}
}

// allocationsPerPull is the mean number of allocations of the answer to a pull that tells nothing new.
func (r *idleFleet) allocationsPerPull() float64 {
	m := &wire.Message{Kind: wire.KindPull, From: r.proxies[0].Name, Timestamp: int64(r.now),
		Pull: &wire.Pull{Self: r.proxies[0], Key: r.tables[0].Key, Revision: r.tables[0].Revision, StateIndex: r.tables[0].StateIndex}}
	return testing.AllocsPerRun(200, func() { r.controller.Step(r.now, statemachine.Receive{Message: m}) })
}

// waitFor has so many wait for a table that is not made yet, as in a release.
func (r *idleFleet) waitFor(n int) {
	for range n {
		r.controller.waiters = append(r.controller.waiters, &inForceWaiter{version: r.controller.tableVersion + 1, waitingSince: r.now, majorityOnly: true})
	}
}

// An event costs a leader no lists for those who wait for a table to be in force, of whom there may be many.
func TestManyWaitersAllocateLittle(t *testing.T) {
	r := newIdleFleet(69, 294)
	alone := r.allocationsPerPull()
	r.waitFor(40)
	if n := r.allocationsPerPull(); n > alone+5 {
		t.Errorf("%v allocations a pull, %v with nobody waiting", n, alone)
	}
	if n := r.allocationsPerTick(); n > 100 {
		t.Errorf("%v allocations a tick", n)
	}
}

// One virtual second of a leader for whose tables many wait.
func BenchmarkManyWaiters(b *testing.B) {
	r := newIdleFleet(69, 294)
	r.waitFor(40)
	b.ReportAllocs()
	for b.Loop() {
		r.runSecond()
	}
}
