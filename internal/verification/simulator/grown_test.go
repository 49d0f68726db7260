package simulator

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"myrtlefold/internal/dataplane"
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/wire"
)

// grown is a fleet of many proxies on little: a sixth of a processor and a thin link each.
func grown() Plan {
	p := Small
	p.Proxies, p.Services, p.Rate = 69, map[string]int{"fares": 243, "pay": 51}, 20
	p.Resources = &LimitedResources{ControlShare: 0.48, ProxyShare: 0.16, ProxyLink: 250e3}
	return p
}

func granted(w *World) (n int) {
	for _, g := range w.all(wire.ProxyDaemon) {
		if p := w.procs[g]; p.alive && p.gate.State() == dataplane.Leased {
			n++
		}
	}
	return n
}

// Where processors and links are scarce a large fleet still comes to its feet, takes changes,
// and comes back after its leader has gone and after all of its proxies have.
func TestLargeFleetOnLittle(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		w := Start(seed, grown())
		w.Run(w.now + 4*time.Second)
		if n := granted(w); n < 69 {
			t.Fatalf("seed %d: %d of 69 proxies are granted at %v\n%s", seed, n, w.now, w.Trace(40))
		}
		for range 2 {
			from := w.acked
			w.PutConfig(w.Leader(), w.Revision(), 3)
			if w.Run(w.now + 2*time.Second); w.acked == from {
				t.Errorf("seed %d: a change was not in force after 2 s", seed)
			}
			w.Kill(w.Leader())
			if w.Run(w.now + 6*time.Second); granted(w) < 69 {
				t.Errorf("seed %d: %d of 69 proxies are granted 6 s after the leader died\n%s", seed, granted(w), w.Trace(40))
			}
			for _, c := range w.all(wire.ControlDaemon) {
				w.Restart(w.procs[c])
			}
			w.Run(w.now + 3*time.Second)
		}
		for _, g := range w.all(wire.ProxyDaemon) {
			w.Kill(w.procs[g])
		}
		w.Run(w.now + time.Second)
		for _, g := range w.all(wire.ProxyDaemon) {
			w.Restart(w.procs[g])
		}
		if w.Run(w.now + 4*time.Second); granted(w) < 69 {
			t.Errorf("seed %d: %d of 69 proxies are granted 4 s after all were restarted", seed, granted(w))
		}
		check(t, w)
	}
}

// What each proxy holds is what its leader's table says, however many changes made it.
func TestChangesMakeTheWholeTable(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := Start(seed, Small)
		same := 0
		for i := range 120 {
			if i%10 == 0 {
				w.CrashTarget(w.targets[w.rnd.IntN(len(w.targets))])
			}
			if i%17 == 0 {
				w.PutConfig(w.Leader(), w.Revision(), 3)
			}
			w.Run(w.now + 100*time.Millisecond)
			l := w.Leader()
			if l == nil || l.core.Table() == nil {
				continue
			}
			want := l.core.Table()
			for _, g := range w.all(wire.ProxyDaemon) {
				p := w.procs[g]
				if !p.alive || p.gate.Table() == nil || p.gate.Table().Key != want.Key {
					continue
				}
				same++
				got := p.gate.Table()
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
		check(t, w)
	}
}

// bulk is a configuration with many routes besides those of a plan.
func (w *World) bulk(n, routes int) []byte {
	var doc map[string]any
	if err := json.Unmarshal(w.Document(n), &doc); err != nil {
		panic(err)
	}
	svcs := slices.Sorted(maps.Keys(w.Plan.Services))
	all := map[string]config.Route{}
	for i := range routes {
		x := uint64(i) * 0x9e3779b97f4a7c15
		all[fmt.Sprintf("r-%07x", x>>36)] = config.Route{Host: fmt.Sprintf("%05x.example", x>>44), Prefix: fmt.Sprintf("/%07x/%04x/", x>>36, i), Kind: config.KindRepeatable,
			TimeoutMs: 2000, LatencyTargetMs: 300, Priority: 2, Attempts: 2, Service: svcs[i%len(svcs)]}
	}
	doc["routes"] = all
	b, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	return b
}

// A configuration with very many routes is in force in good time on thin links, and what
// follows it too, while no proxy loses its lease.
func TestManyRoutesOnThinLinks(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		w := Start(seed, grown())
		w.Run(w.now + 4*time.Second)
		for i := range 3 {
			l, from := w.Leader(), w.acked
			if l == nil {
				t.Fatalf("seed %d: nobody leads at %v\n%s", seed, w.now, w.Trace(40))
			}
			w.SendChange(l, "PUT", "/v1/config", fmt.Sprintf("base=%d", w.Revision()), w.bulk(3+i, 1400), &change{what: "config", base: w.Revision()})
			for range 30 {
				w.Run(w.now + 100*time.Millisecond)
				if n := granted(w); n < 69 {
					t.Fatalf("seed %d: %d of 69 proxies are granted at %v\n%s", seed, n, w.now, w.Trace(40))
				}
			}
			if w.acked == from {
				t.Errorf("seed %d: change %d was not in force after 3 s", seed, i)
			}
			if w.Stats.SlowestChange > time.Second {
				t.Errorf("seed %d: a change took %v", seed, w.Stats.SlowestChange)
			}
		}
		check(t, w)
	}
}

// ferry is a fleet with more core machines than members, each on a quarter of a processor, that
// all targets speak to; proxies have a sixth.
func ferry() Plan {
	p := Small
	p.ControlDaemons, p.Seeds, p.Proxies, p.Domains, p.Rate = 11, 3, 64, 4, 20
	p.Services = map[string]int{"fares": 181, "pay": 111, "papers": 15}
	p.ReportToControlOnly, p.HeartbeatEvery, p.Slots = true, 1500*time.Millisecond, 6
	p.Resources = &LimitedResources{ControlShare: 0.24, ProxyShare: 0.16, ProxyLink: 587e3}
	return p
}

// Members that come from standbys, leave for good or lose their disks, herds of proxies and the loss
// of everything at once: changes are acknowledged within 4 s, and nothing acknowledged is forgotten.
func TestManyCoreMachinesOnLittle(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := Start(seed, ferry())
			n := 1
			change := func(when string) {
				t.Helper()
				n++
				from, at := w.acked, w.now
				for w.now < at+5*time.Second && w.acked == from && w.Failure == "" {
					if l := w.Leader(); l != nil {
						w.PutConfig(w.procs[w.all(wire.ControlDaemon)[w.rnd.IntN(len(w.all(wire.ControlDaemon)))]], w.Revision(), n)
					}
					w.until(4*time.Second, func() bool { return w.acked > from })
				}
				if w.acked == from || w.now > at+4*time.Second {
					t.Errorf("seed %d, %s: no change in force after %v\n%s", seed, when, w.now-at, w.Trace(40))
				}
				t.Logf("seed %d, %s: change in %v", seed, when, w.now-at)
			}
			if !w.until(10*time.Second, func() bool { return len(w.memberNames()) == 7 && granted(w) == 64 }) {
				t.Fatalf("seed %d: members %v, %d proxies granted\n%s", seed, w.memberNames(), granted(w), w.Trace(40))
			}
			change("at rest")
			for i, planned := range []bool{true, false} {
				old := w.Leader()
				name := fmt.Sprintf("n%d", i)
				arrive := func() {
					w.addProc(wire.ControlDaemon, name, int(old.domain[1]-'1'))
					w.start(w.procs[name])
				}
				if planned {
					arrive()
					w.Run(w.now + time.Second)
					w.stop(old)
					w.Run(w.now + 2*time.Second)
				} else {
					w.at(1400*time.Millisecond, arrive)
				}
				w.Kill(old)
				w.names = slices.DeleteFunc(w.names, func(n string) bool { return n == old.name })
				w.Run(w.now + 3*time.Second)
				change("a leader went for good")
			}
			herd := w.all(wire.ProxyDaemon)[:30]
			for _, g := range herd {
				w.Kill(w.procs[g])
			}
			w.Run(w.now + 2*time.Second)
			for _, g := range herd {
				w.Restart(w.procs[g])
			}
			if w.Run(w.now + 4*time.Second); granted(w) < 64 {
				t.Errorf("seed %d: %d of 64 proxies are granted 4 s after a herd came back", seed, granted(w))
			}
			change("a herd came back")
			for _, m := range w.memberNames()[:2] {
				w.Kill(w.procs[m])
				w.WipeDisk(w.procs[m])
			}
			w.Run(w.now + 1500*time.Millisecond)
			for _, c := range w.all(wire.ControlDaemon) {
				w.Restart(w.procs[c])
			}
			w.Run(w.now + 6*time.Second)
			change("two disks were lost")
			for _, c := range w.names {
				w.Kill(w.procs[c])
			}
			w.Run(w.now + 1500*time.Millisecond)
			for _, c := range w.names {
				w.Restart(w.procs[c])
			}
			from := w.now
			if !w.AwaitServing(15 * time.Second) {
				t.Errorf("seed %d: not serving 15 s after all were lost: %s", seed, w.why())
			}
			t.Logf("seed %d: serving %v after all were lost", seed, w.now-from)
			w.Run(w.now + 3*time.Second)
			change("all were lost")
			check(t, w)
		})
	}
}
