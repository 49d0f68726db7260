package simulator

import (
	"testing"
	"time"

	"myrtlefold/internal/dataplane"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// A proxy accepts a table sent without document and state only if it holds the same document and state. Any other proxy
// rejects it and says in its next pull what it holds, so that it is sent the full table.
func TestPartialTableNeedsTheSameDocument(t *testing.T) {
	t.Parallel()
	full := &wire.Table{Key: wire.TableKey{Epoch: 1, Term: 1, Version: 1}, StateIndex: 5, Revision: 2, Document: []byte(`{}`), State: []byte(`{"seq":5}`), Proxies: []wire.Proxy{{Name: "g1", Addr: "g1"}}}
	hello := &wire.Message{Kind: wire.KindHello, From: "c1", Hello: &wire.Hello{Self: wire.Daemon{Name: "c1", Kind: wire.ControlDaemon, Addr: "c1"}, Leader: "c1"}}
	for _, c := range []struct {
		first      *wire.Table // the table that the proxy holds; nil: none
		stateIndex uint64      // of the partial table
		accepted   bool        // whether the proxy must accept the partial table
	}{{nil, 5, false}, {full, 5, true}, {full, 6, false}} {
		g := dataplane.New(dataplane.Settings{Self: wire.Daemon{Name: "g1", Kind: wire.ProxyDaemon, Incarnation: 9}})
		g.Step(1, statemachine.Receive{Message: hello})
		push := func(now time.Duration, t *wire.Table) []statemachine.Command {
			return g.Step(now, statemachine.Receive{Message: &wire.Message{Kind: wire.KindPush, From: "c1", Epoch: 1, Term: 1, Timestamp: 1, Disk: 9, Push: &wire.Push{LeaseGranted: true, Key: t.Key, Table: t}}})
		}
		if c.first != nil {
			push(2, c.first)
		}
		partial := *full
		partial.Key.Version, partial.StateIndex, partial.Document, partial.State = 2, c.stateIndex, nil, nil
		push(3, &partial)
		table := g.Table()
		if accepted := table != nil && table.Key.Version == 2; accepted != c.accepted || accepted && (string(table.Document) != "{}" || len(table.State) == 0) {
			t.Errorf("%+v: the proxy holds the table %+v, want the partial table accepted: %v", c, table, c.accepted)
		}
		for _, cmd := range g.Step(time.Second, statemachine.Tick{}) {
			if s, ok := cmd.(statemachine.Send); ok && s.Message.Pull != nil {
				if p := s.Message.Pull; (p.Revision != 0) != (c.first != nil) || c.first != nil && p.StateIndex != 5 {
					t.Errorf("%+v: the proxy pulls with revision %d and state index %d, want those of the first table, or 0 if there is none", c, p.Revision, p.StateIndex)
				}
			}
		}
	}
}

// A proxy that has built a table from incremental changes holds the same table as the leader that sent them.
func TestIncrementalTableEqualsLeadersTable(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := Start(seed, Small)
		compared := 0
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
				compared++
				got := p.proxy.Table()
				if len(got.Targets) != len(want.Targets) || len(got.Proxies) != len(want.Proxies) || string(got.Document) != string(want.Document) || string(got.State) != string(want.State) {
					t.Fatalf("seed %d: %s holds the table %+v, its leader %+v", seed, g, got, want)
				}
				for i := range want.Targets {
					a, b := got.Targets[i], want.Targets[i]
					if a.ID() != b.ID() || a.Addr != b.Addr || a.State != b.State || a.Draining != b.Draining || a.Pending != b.Pending || a.Heartbeating != b.Heartbeating ||
						a.ShareOffset != b.ShareOffset || a.Slots != b.Slots || a.EjectedBy != b.EjectedBy || (a.WarmupLeft > 0) != (b.WarmupLeft > 0) {
						t.Fatalf("seed %d: %s has the target %+v, its leader %+v", seed, g, a, b)
					}
				}
				for i := range want.Proxies {
					if got.Proxies[i] != want.Proxies[i] {
						t.Fatalf("seed %d: %s has the proxy %+v, its leader %+v", seed, g, got.Proxies[i], want.Proxies[i])
					}
				}
			}
		}
		if compared < 300 {
			t.Errorf("seed %d: %d tables were compared, want at least 300", seed, compared)
		}
		requireNoFailure(t, w)
	}
}

// A proxy that has just started and got its table from a single peer grants no leases: before its restart it may have
// confirmed a later table, which it no longer knows.
func TestUnconfirmedProxyGrantsNoLease(t *testing.T) {
	t.Parallel()
	table := &wire.Table{Key: wire.TableKey{Epoch: 1, Term: 1, Version: 1}, Document: []byte(`{}`)}
	for _, n := range []string{"g1", "g2", "g3", "g4", "g5"} {
		table.Proxies = append(table.Proxies, wire.Proxy{Name: n, Addr: n})
	}
	g := dataplane.New(dataplane.Settings{Self: wire.Daemon{Name: "g1", Kind: wire.ProxyDaemon, Incarnation: 9}})
	receive := func(now time.Duration, m *wire.Message) []statemachine.Command {
		return g.Step(now, statemachine.Receive{Message: m})
	}
	receive(2, &wire.Message{Kind: wire.KindHello, From: "g2", Hello: &wire.Hello{Self: wire.Daemon{Name: "g2", Kind: wire.ProxyDaemon, Addr: "g2"}}})
	receive(3, &wire.Message{Kind: wire.KindPush, From: "g2", Timestamp: 2, Disk: 9, Push: &wire.Push{LeaseGranted: true, Key: table.Key, Table: table}})
	for _, c := range receive(4, &wire.Message{Kind: wire.KindPull, From: "g2", Timestamp: 4, Pull: &wire.Pull{Self: wire.Daemon{Name: "g2", Kind: wire.ProxyDaemon, Addr: "g2"}}}) {
		if s, ok := c.(statemachine.Send); ok && s.Message.Push != nil {
			if s.Message.Push.LeaseGranted || g.Serving() {
				t.Fatalf("an unconfirmed proxy grants a lease: %v, serves: %v, want neither", s.Message.Push.LeaseGranted, g.Serving())
			}
			return
		}
	}
	t.Fatal("the proxy did not answer a pull")
}
