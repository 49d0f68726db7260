package simulator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"myrtlefold/internal/dataplane"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Here the core's size is not given: seeds found it, and the leader grows and mends it.

// Whatever the number of seeds and daemons, one core is founded and grows to what
// outlives a machine and a domain; a seed may be restarted in between, and is then not
// told any more that this is the first start.
func TestFoundBySeeds(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ cores, seeds, want int }{{1, 1, 1}, {3, 1, 3}, {5, 1, 5}, {2, 2, 2}, {3, 3, 3}, {4, 3, 3}, {5, 3, 5}, {6, 3, 5}, {7, 3, 7}, {11, 3, 7}} {
		for seed := range uint64(12) {
			t.Run(fmt.Sprintf("%d of %d", c.seeds, c.cores), func(t *testing.T) {
				t.Parallel()
				w := New(seed, bootstrapPlan(c.cores, c.seeds))
				if seed%3 > 0 { // its disk keeps what it was told
					w.schedule(w.randomMilliseconds(100, 2500), func() {
						p := w.process(w.processes.names[w.random.IntN(c.seeds)])
						w.Kill(p)
						if seed%3 == 2 && c.seeds == 3 {
							w.WipeDisk(p)
						}
						w.schedule(w.randomMilliseconds(50, 1200), func() { w.Restart(p) })
					})
				}
				w.runUntil(25*time.Second, w.hasMembers(c.want))
				w.Run(w.now + 4*time.Second)
				requireNoFailure(t, w)
				w.checkMembership(t, c.want)
				if e := w.Leader().controller.Status(0).Epoch; e != 1 && seed%3 == 0 {
					t.Errorf("epoch %d", e)
				}
				w.PutConfig(w.Leader(), 0, 1)
				w.AwaitRecovery(10 * time.Second)
				requireNoFailure(t, w)
				for _, n := range w.daemonNames(wire.ControlDaemon) { // a spare passes calls on too
					if !w.process(n).controller.Ready() {
						t.Errorf("%s is not ready", n)
					}
				}
			})
		}
	}
}

// A daemon that is no seed, or that is not told of a first start, founds nothing.
func TestNobodyFoundsFromNothing(t *testing.T) {
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
		t.Fatalf("%s leads\n%s", w.Leader().name, w.Trace(20))
	}
}

// Members go for good, again and again, leaders among them and while leaders die, and
// an empty daemon at another address comes for each; seeds change with them.
func TestMembersReplaced(t *testing.T) {
	t.Parallel()
	for seed := range uint64(16) {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			cores := []int{3, 5, 7, 9}[seed%4]
			w := Start(seed, bootstrapPlan(cores, 3))
			w.runUntil(10*time.Second, w.hasMembers(min(cores, 7)))
			for round := range 8 {
				ms := w.memberNames()
				if len(ms) == 0 {
					t.Fatalf("no leader in round %d\n%s", round, w.Trace(40))
				}
				old := w.process(ms[w.random.IntN(len(ms))])
				if round%3 == 2 {
					old = w.Leader()
				}
				w.Kill(old)
				w.forgetMachine(old)
				w.schedule(w.randomMilliseconds(0, 6000), func() {
					name := fmt.Sprintf("n%d", round)
					w.addProcess(wire.ControlDaemon, name, int(old.domain[1]-'1'))
					w.processes.seeds = []string{ms[0], ms[len(ms)-1], name}
					w.startProcess(w.process(name))
				})
				if cores > 3 {
					w.schedule(w.randomMilliseconds(7000, 12000), func() {
						if l := w.Leader(); l != nil {
							w.Kill(l)
							w.schedule(w.randomMilliseconds(500, 3000), func() { w.Restart(l) })
						}
					})
				}
				w.Run(w.now + 16*time.Second)
				w.runUntil(25*time.Second, func() bool {
					l := w.memberNames()
					return len(l) == min(cores, 7) && !slices.Contains(l, old.name)
				})
				requireNoFailure(t, w)
				w.checkMembership(t, min(cores, 7))
				w.PutConfig(w.Leader(), w.Revision(), round+5)
				w.Run(w.now + 3*time.Second)
			}
			w.AwaitRecovery(15 * time.Second)
			w.Finish()
			requireNoFailure(t, w)
			if r := w.Leader().controller.Revision(); r < 8 {
				t.Errorf("revision %d", r)
			}
			if e := w.Leader().controller.Status(0).Epoch; e != 1 {
				t.Errorf("epoch %d", e)
			}
		})
	}
}

// Who stops politely hands its place to a standby before it goes, and keeps it over a
// machine's restart if there is none; who just falls silent is replaced by a standby. On
// its return it is a member again, or a standby.
func TestPoliteStop(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		polite bool
		cores  int
	}{{true, 6}, {true, 5}, {false, 6}, {false, 5}} {
		w := Start(4, bootstrapPlan(c.cores, 3))
		w.runUntil(10*time.Second, w.hasMembers(5))
		ms := w.memberNames()
		p := w.process(ms[0])
		if p == w.Leader() {
			p = w.process(ms[1])
		}
		if c.polite {
			w.stopProcess(p)
			w.runUntil(tuning.HandoverWait, func() bool { return !p.alive })
		} else {
			w.Kill(p)
			w.Run(w.now + tuning.CatchUpDefault/tuning.ReplaceParts + time.Second)
		}
		if p.alive || w.Leader() == nil {
			t.Fatalf("%+v: alive %v\n%s", c, p.alive, w.Trace(20))
		}
		if keeps := slices.Contains(w.memberNames(), p.name); keeps != (c.cores == 5) {
			t.Errorf("%+v: %v without %s\n%s", c, w.memberNames(), p.name, w.Trace(20))
		}
		w.Run(w.now + 30*time.Second)
		requireNoFailure(t, w)
		if keeps := slices.Contains(w.memberNames(), p.name); keeps != (c.cores == 5) {
			t.Errorf("%+v: later %v without %s\n%s", c, w.memberNames(), p.name, w.Trace(20))
		}
		w.Restart(p)
		w.Run(w.now + 5*time.Second)
		w.checkMembership(t, 5)
	}
}

// A domain is lost: the others are a majority. For a while it keeps its places; if it
// stays away nobody is taken out unless fewer then make a majority.
func TestDomainLost(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := Start(seed, bootstrapPlan([]int{3, 5, 7, 11}[seed%4], 3))
		w.Run(w.now + 5*time.Second)
		n := len(w.memberNames())
		for _, p := range w.daemons(wire.ControlDaemon) {
			if p.domain == "d1" {
				w.Kill(p)
			}
		}
		w.runUntil(4*time.Second, w.hasLeader)
		if w.Leader() == nil {
			t.Fatalf("seed %d: no leader\n%s", seed, w.Trace(30))
		}
		w.Run(w.now + 90*time.Second)
		requireNoFailure(t, w)
		t.Log(n, w.memberNames())
		for _, p := range w.daemons(wire.ControlDaemon) {
			w.Restart(p)
		}
		w.Run(w.now + 20*time.Second)
		requireNoFailure(t, w)
		w.checkMembership(t, n)
	}
}

// Two of five go, one after the other, and nobody comes for them: later a majority of
// three is enough, and a third may go.
func TestShrinkWithoutReplacement(t *testing.T) {
	t.Parallel()
	w := Start(3, bootstrapPlan(5, 3))
	w.runUntil(10*time.Second, w.hasMembers(5))
	for range 3 {
		for _, n := range w.memberNames() {
			if p := w.process(n); p != w.Leader() && p.alive {
				w.Kill(p)
				break
			}
		}
		w.Run(w.now + 75*time.Second)
		requireNoFailure(t, w)
		if w.Leader() == nil {
			t.Fatalf("no leader\n%s", w.Trace(30))
		}
	}
}

// Random days over cores that seeds found.
func TestOpenDays(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 32; seed++ {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			p := Small
			p.ControlDaemons, p.Seeds = []int{3, 5, 7, 9}[seed%4], 3
			if seed%2 == 1 {
				p.CatchUp = testCatchUp
			}
			requireNoFailure(t, Day(seed, p, nil, 12, 25*time.Second))
		})
	}
}

// A large fleet's proxies come up in a few seconds, not one after the other.
func TestManyProxiesComeUp(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		p := bootstrapPlan(7, 3)
		p.Proxies, p.Rate = 40, 60
		w := New(seed, p)
		if !w.runUntil(10*time.Second, w.hasLeader) {
			t.Fatalf("no leader\n%s", w.Trace(20))
		}
		at := w.now
		w.PutConfig(w.Leader(), 0, 1)
		if !w.AwaitServing(4 * time.Second) {
			t.Fatalf("not serving after %v: %s", w.now-at, w.describeDaemons())
		}
		requireNoFailure(t, w)
	}
}

// A majority of the old proxies is cut off from the core, but not from their callers,
// while many new ones come: the new majority alone must not put a change in force that
// the old one, standing together as proxies that serve on their peers, can't know of.
func TestJointRoster(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		p := Small
		p.Rate, p.Proxies = 300, 5
		w := Start(seed, p)
		w.Run(w.now + time.Second)
		var ks []link
		for _, g := range []string{"g1", "g2", "g3"} {
			for _, o := range w.processes.names {
				if o != "g1" && o != "g2" && o != "g3" {
					ks = append(ks, bothDirections(g, o)...)
				}
			}
		}
		w.partition(ks, 12*time.Second)
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
		w.Run(w.now + 9*time.Second)
		requireNoFailure(t, w)
		if w.checks.acknowledged == 2 {
			t.Fatalf("seed %d: acknowledged without the old majority", seed)
		}
		w.Run(w.now + 3*time.Second)
		w.Heal()
		w.AwaitRecovery(15 * time.Second)
		requireNoFailure(t, w)
	}
}

// Herds of proxies die and standbys come in numbers, during cuts.
func TestHerdsAndSpares(t *testing.T) {
	t.Parallel()
	kinds := append(faultsNamed(t, "gate herd killed", "gate isolated", "domain cut off", "leader killed", "config", "core cut off from proxies"),
		Fault{"standby proxies come", func(w *World) {
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
			requireNoFailure(t, Day(seed, Small, kinds, 14, 25*time.Second))
		})
	}
}

// A table without document and state is taken only by a proxy that holds those very
// ones; another asks again and is sent all.
func TestTableWithoutDocument(t *testing.T) {
	t.Parallel()
	whole := &wire.Table{Key: wire.TableKey{Epoch: 1, Term: 1, Version: 1}, StateIndex: 5, Revision: 2, Document: []byte(`{}`), State: []byte(`{"seq":5}`), Proxies: []wire.Proxy{{Name: "g1", Addr: "g1"}}}
	core1 := &wire.Message{Kind: wire.KindHello, From: "c1", Hello: &wire.Hello{Self: wire.Daemon{Name: "c1", Kind: wire.ControlDaemon, Addr: "c1"}, Leader: "c1"}}
	for _, c := range []struct {
		first *wire.Table
		seq   uint64
		takes bool
	}{{nil, 5, false}, {whole, 5, true}, {whole, 6, false}} {
		g := dataplane.New(dataplane.Settings{Self: wire.Daemon{Name: "g1", Kind: wire.ProxyDaemon, Incarnation: 9}})
		g.Step(1, statemachine.Receive{Message: core1})
		push := func(now time.Duration, t *wire.Table) []statemachine.Command {
			return g.Step(now, statemachine.Receive{Message: &wire.Message{Kind: wire.KindPush, From: "c1", Epoch: 1, Term: 1, Timestamp: 1, Disk: 9, Push: &wire.Push{LeaseGranted: true, Key: t.Key, Table: t}}})
		}
		if c.first != nil {
			push(2, c.first)
		}
		slight := *whole
		slight.Key.Version, slight.StateIndex, slight.Document, slight.State = 2, c.seq, nil, nil
		push(3, &slight)
		tab := g.Table()
		if took := tab != nil && tab.Key.Version == 2; took != c.takes || took && (string(tab.Document) != "{}" || len(tab.State) == 0) {
			t.Errorf("%+v: %+v", c, tab)
		}
		for _, cmd := range g.Step(time.Second, statemachine.Tick{}) {
			if s, ok := cmd.(statemachine.Send); ok && s.Message.Pull != nil {
				if p := s.Message.Pull; (p.Revision != 0) != (c.first != nil) || c.first != nil && p.StateIndex != 5 {
					t.Errorf("it says that it holds %d, %d", p.Revision, p.StateIndex)
				}
			}
		}
	}
}
