package simulator

import (
	"testing"
	"time"

	"myrtlefold/internal/dataplane"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// A table without document and state is taken only by a proxy that has those very
// ones; another pulls again and is sent everything.
func TestPartialTableNeedsTheSameDocument(t *testing.T) {
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

// What each proxy has is the leader's table, however many incremental changes made it.
func TestTableChangesAddUpToTheLeadersTable(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := Start(seed, Small)
		same := 0
		for i := range 120 {
			if i%10 == 0 {
				w.CrashTarget(w.targets.all[w.random.IntN(len(w.targets.all))])
			}
			if i%17 == 0 {
				w.PutConfig(w.Leader(), w.Revision(), 3)
			}
			w.Run(w.now + 100*time.Millisecond)
			l := w.Leader()
			if l == nil || l.controller.Table() == nil {
				continue
			}
			want := l.controller.Table()
			for _, g := range w.daemonNames(wire.ProxyDaemon) {
				p := w.process(g)
				if !p.alive || p.proxy.Table() == nil || p.proxy.Table().Key != want.Key {
					continue
				}
				same++
				got := p.proxy.Table()
				if len(got.Targets) != len(want.Targets) || len(got.Proxies) != len(want.Proxies) || string(got.Document) != string(want.Document) || string(got.State) != string(want.State) {
					t.Fatalf("seed %d: %s holds %+v, its leader made %+v", seed, g, got, want)
				}
				for i := range want.Targets {
					a, b := got.Targets[i], want.Targets[i]
					if a.ID() != b.ID() || a.Addr != b.Addr || a.State != b.State || a.Draining != b.Draining || a.Pending != b.Pending || a.Heartbeating != b.Heartbeating ||
						a.ShareOffset != b.ShareOffset || a.Slots != b.Slots || a.EjectedBy != b.EjectedBy || (a.WarmupLeft > 0) != (b.WarmupLeft > 0) {
						t.Fatalf("seed %d: %s has %+v, its leader %+v", seed, g, a, b)
					}
				}
				for i := range want.Proxies {
					if got.Proxies[i] != want.Proxies[i] {
						t.Fatalf("seed %d: %s has %+v, its leader %+v", seed, g, got.Proxies[i], want.Proxies[i])
					}
				}
			}
		}
		if same < 300 {
			t.Errorf("seed %d: compared %d times", seed, same)
		}
		requireNoFailure(t, w)
	}
}

// A proxy that has just started and has a table from one peer only does not
// grant others leases: it may have forgotten what it once confirmed.
func TestUnconfirmedProxyGrantsNoLease(t *testing.T) {
	t.Parallel()
	tab := &wire.Table{Key: wire.TableKey{Epoch: 1, Term: 1, Version: 1}, Document: []byte(`{}`)}
	for _, n := range []string{"g1", "g2", "g3", "g4", "g5"} {
		tab.Proxies = append(tab.Proxies, wire.Proxy{Name: n, Addr: n})
	}
	g := dataplane.New(dataplane.Settings{Self: wire.Daemon{Name: "g1", Kind: wire.ProxyDaemon, Incarnation: 9}})
	say := func(now time.Duration, m *wire.Message) []statemachine.Command {
		return g.Step(now, statemachine.Receive{Message: m})
	}
	say(2, &wire.Message{Kind: wire.KindHello, From: "g2", Hello: &wire.Hello{Self: wire.Daemon{Name: "g2", Kind: wire.ProxyDaemon, Addr: "g2"}}})
	say(3, &wire.Message{Kind: wire.KindPush, From: "g2", Timestamp: 2, Disk: 9, Push: &wire.Push{LeaseGranted: true, Key: tab.Key, Table: tab}})
	for _, c := range say(4, &wire.Message{Kind: wire.KindPull, From: "g2", Timestamp: 4, Pull: &wire.Pull{Self: wire.Daemon{Name: "g2", Kind: wire.ProxyDaemon, Addr: "g2"}}}) {
		if s, ok := c.(statemachine.Send); ok && s.Message.Push != nil {
			if s.Message.Push.LeaseGranted || g.Serving() {
				t.Fatal("an unsettled proxy vouches for its table, or serves")
			}
			return
		}
	}
	t.Fatal("no answer")
}
