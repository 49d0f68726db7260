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

// rest is a lone member that leads a fleet at rest.
type rest struct {
	c      *Controller
	now    time.Duration
	gates  []wire.Daemon
	keys   []*wire.Table
	target []wire.Target
	sent   int
}

func (r *rest) step(ev statemachine.Event) {
	for _, cmd := range r.c.Step(r.now, ev) {
		switch c := cmd.(type) {
		case statemachine.Sync:
			r.step(statemachine.Synced{Seq: c.Batch.Seq})
		case statemachine.Probe:
			b := config.TargetReport{Service: c.ID.Service, Name: c.ID.Name, Incarnation: c.ID.Incarnation, Address: c.Addr, State: wire.TargetReady}
			r.step(statemachine.ProbeResult{ID: c.ID, SentAt: r.now, Milliseconds: 1, Report: &b})
		case statemachine.Send:
			r.sent++
			if p := c.Message.Push; p != nil && p.Table != nil {
				for i := range r.gates {
					if r.gates[i].Name == c.Message.To {
						r.keys[i] = p.Table
					}
				}
			}
		}
	}
}

func (r *rest) second() {
	for tick := range int(time.Second / tuning.TickEvery) {
		r.now += tuning.TickEvery
		r.step(statemachine.Tick{})
		at := time.Duration(tick) * tuning.TickEvery
		for i, g := range r.gates {
			if (at+time.Duration(i)*7*time.Millisecond)%tuning.PullEvery < tuning.TickEvery {
				p := &wire.Pull{Self: g}
				if r.keys[i] != nil {
					p.Key, p.Revision, p.StateIndex = r.keys[i].Key, r.keys[i].Revision, r.keys[i].StateIndex
				}
				r.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindPull, From: g.Name, Timestamp: int64(r.now), Pull: p}})
			}
			if (at+time.Duration(i)*11*time.Millisecond)%tuning.HelloEvery < tuning.TickEvery {
				r.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindHello, From: g.Name, Hello: &wire.Hello{Self: g}}})
			}
		}
		for i := range r.target {
			if (at+time.Duration(i)*13*time.Millisecond)%tuning.TargetHeartbeatEvery < tuning.TickEvery {
				w := r.target[i]
				r.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindHeartbeat, Timestamp: 1, Heartbeat: &w}})
			}
		}
	}
}

func atRest(gates, targets int) *rest {
	self := wire.Daemon{Name: "c1", Kind: wire.ControlDaemon, Addr: "c1", Incarnation: 1}
	r := &rest{now: time.Second, c: New(time.Second, Settings{Self: self, BootstrapSize: 1}, consensus.PersistentState{Disk: 7}), keys: make([]*wire.Table, gates)}
	for i := range gates {
		n := fmt.Sprintf("g%d", i+1)
		r.gates = append(r.gates, wire.Daemon{Name: n, Kind: wire.ProxyDaemon, Addr: n, Incarnation: uint64(i + 1), Domain: fmt.Sprintf("d%d", i%3)})
	}
	for i := range targets {
		r.target = append(r.target, wire.Target{Service: fmt.Sprintf("s%d", i%12), Name: fmt.Sprintf("t%d", i), Incarnation: 9, Addr: fmt.Sprintf("10.0.0.1:%d", i+1), State: wire.TargetReady})
	}
	for range 12 {
		r.second()
	}
	return r
}

// At rest nothing is sent but answers, and every proxy stands on one table.
func TestAtRest(t *testing.T) {
	r := atRest(12, 36)
	if !r.c.Leading() || len(r.c.Table().Targets) != 36 || len(r.c.Table().Proxies) != 12 {
		t.Fatalf("leads %v, %+v", r.c.Leading(), r.c.Table())
	}
	was := r.c.Table().Key
	for range 5 {
		r.second()
	}
	if k := r.c.Table().Key; k.Version > was.Version+1 {
		t.Fatalf("table %v -> %v", was, k)
	}
}

// Targets whose beats are too rare, and which answer probes, make no new tables; of ejected
// ones it is told whether they beat.
func TestRareBeatsMoveNothing(t *testing.T) {
	r := atRest(12, 36)
	was := r.c.Table().Key
	words := r.target
	for i := range 15 {
		r.target = nil
		if i%3 == 2 {
			r.target = words
		}
		r.second()
	}
	if k := r.c.Table().Key; k.Version > was.Version+2 {
		t.Fatalf("table %v -> %v", was, k)
	}
	x := r.c.targets[words[0].ID()]
	w := r.c.tableRow(r.now, x)
	w.EjectionLeft, w.EjectedBy = 1, "default"
	silent := w
	w.Heartbeating, silent.Heartbeating = true, false
	if routingFactsOf(&w) == routingFactsOf(&silent) {
		t.Fatal("it is not told whether a barred target beats")
	}
}

// allocationsPerTick is the mean number of allocations of a tick of a leader with nothing to do. They stand
// for its time, which no test can ask for: most of it went into lists made anew at each tick.
func (r *rest) allocationsPerTick() float64 {
	return testing.AllocsPerRun(200, func() {
		r.now += tuning.TickEvery
		r.c.Step(r.now, statemachine.Tick{})
	})
}

// A tick with nothing to do costs a leader no list of its targets, of which it may have many.
func TestTickAtRest(t *testing.T) {
	r := atRest(69, 294)
	if n := r.allocationsPerTick(); n > 100 {
		t.Errorf("%v allocations a tick", n)
	}
}

// One virtual second of a leader at rest.
func BenchmarkAtRest(b *testing.B) {
	for _, n := range [][2]int{{12, 36}, {69, 294}} {
		b.Run(fmt.Sprintf("%d-gates-%d-targets", n[0], n[1]), func(b *testing.B) {
			r := atRest(n[0], n[1])
			b.ReportAllocs()
			for b.Loop() {
				r.second()
			}
		})
	}
}

// allocationsPerPull is the mean number of allocations of the answer to a pull that tells nothing new.
func (r *rest) allocationsPerPull() float64 {
	m := &wire.Message{Kind: wire.KindPull, From: r.gates[0].Name, Timestamp: int64(r.now),
		Pull: &wire.Pull{Self: r.gates[0], Key: r.keys[0].Key, Revision: r.keys[0].Revision, StateIndex: r.keys[0].StateIndex}}
	return testing.AllocsPerRun(200, func() { r.c.Step(r.now, statemachine.Receive{Message: m}) })
}

// waitFor has so many wait for a table that is not made yet, as in a release.
func (r *rest) waitFor(n int) {
	for range n {
		r.c.waiters = append(r.c.waiters, &inForceWaiter{version: r.c.tableVersion + 1, waitingSince: r.now, majorityOnly: true})
	}
}

// An event costs a leader no lists for those who wait for a table to be in force, of whom there may be many.
func TestManyWaitersCostLittle(t *testing.T) {
	r := atRest(69, 294)
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
	r := atRest(69, 294)
	r.waitFor(40)
	b.ReportAllocs()
	for b.Loop() {
		r.second()
	}
}
