package dataplane

import (
	"fmt"
	"myrtlefold/internal/shared/statemachine"
	"testing"
	"time"

	"pgregory.net/rapid"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// bench is one proxy with a granted table.
type bench struct {
	g   *Proxy
	now time.Duration
	ver uint64
}

func newBench(name string, gates int, doc string, ts ...wire.Target) *bench {
	b := &bench{g: New(Settings{Self: wire.Daemon{Name: name, Kind: wire.ProxyDaemon, Incarnation: 9}}), now: time.Second}
	b.table(gates, doc, ts...)
	return b
}

func (b *bench) table(gates int, doc string, ts ...wire.Target) []statemachine.Command {
	b.ver++
	t := &wire.Table{Key: wire.TableKey{Epoch: 1, Term: 1, Version: b.ver}, Revision: b.ver, Document: []byte(doc), Targets: ts}
	for i := range gates {
		t.Proxies = append(t.Proxies, wire.Proxy{Name: fmt.Sprintf("g%d", i+1), Live: true})
	}
	return b.g.Step(b.now, statemachine.Receive{Message: &wire.Message{Kind: wire.KindPush, From: "c1", Epoch: 1, Term: 1, Timestamp: int64(b.now), Disk: 9,
		Push: &wire.Push{LeaseGranted: true, Key: t.Key, Table: t}}})
}

func (b *bench) step(ev statemachine.Event) []statemachine.Command { return b.g.Step(b.now, ev) }

func (b *bench) admit(id uint64) any {
	return answer(id, b.step(statemachine.Admit{ID: id, Path: "/s", Method: "GET"}))
}

func answer(id uint64, cmds []statemachine.Command) any {
	for _, c := range cmds {
		switch x := c.(type) {
		case statemachine.Forward:
			if x.ID == id {
				return x
			}
		case statemachine.Reject:
			if x.ID == id {
				return x
			}
		}
	}
	return nil
}

func to(n string, mods ...func(*wire.Target)) wire.Target {
	t := wire.Target{Service: "s", Name: n, Incarnation: 1, Addr: n, State: wire.TargetReady, Heartbeating: true}
	for _, m := range mods {
		m(&t)
	}
	return t
}

func barred(t *wire.Target)  { t.EjectionLeft, t.EjectedBy = int64(tuning.EjectionTTL), "default" }
func warming(t *wire.Target) { t.State = wire.TargetWarming }
func busy(t *wire.Target)    { t.Demand = 0.9 }

const plain = `{"services":{"s":{"cap":8,"warm_cap":3}},"rules":[{"path":"/s","service":"s"}]}`

// A target whose ejection was lifted moves nothing that runs well; after a refresh's
// time it is one of them again.
func TestIncumbency(t *testing.T) {
	b := newBench("g1", 1, plain, to("a"), to("b"), to("c", barred))
	id := uint64(0)
	share := func(n int) (c int) {
		for range n {
			id++
			g := b.admit(id).(statemachine.Forward)
			if g.Target.Name == "c" {
				c++
			}
			b.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.Served, Milliseconds: 1, Last: true})
		}
		return c
	}
	if n := share(30); n != 0 {
		t.Fatalf("%d exchanges at a barred target", n)
	}
	b.now += 100 * time.Millisecond
	b.table(1, plain, to("a"), to("b"), to("c"))
	if n := share(30); n != 0 {
		t.Fatalf("the return moved %d of 30 exchanges", n)
	}
	b.now += tuning.ReconcileEvery + 100*time.Millisecond
	b.table(1, plain, to("a"), to("b"), to("c"))
	if n := share(30); n < 5 || n > 15 {
		t.Fatalf("%d of 30 exchanges at the third of three", n)
	}
	b.table(1, plain, to("a"), to("b", busy), to("c"))
	if a := share(30); a < 10 {
		t.Fatalf("%d of 30 at c while b is busy", a)
	}
}

// Shares of a cap add up to it over all proxies, for ready and warming targets alike.
func TestShares(t *testing.T) {
	for gates := 1; gates <= 12; gates++ {
		cold, ready := 0, 0
		for i := range gates {
			b := newBench(fmt.Sprintf("g%d", i+1), gates, plain)
			b.table(gates, plain, to("a", warming), to("b"))
			n := 0
			for id := uint64(1); ; id++ {
				g, ok := b.admit(id).(statemachine.Forward)
				if !ok {
					break
				}
				n++
				if g.Target.Name == "a" {
					cold++
				} else {
					ready++
				}
			}
		}
		if cold != 3 || ready != 8 {
			t.Errorf("%d proxies: %d of 3 at the warming target, %d of 8 at the ready one", gates, cold, ready)
		}
	}
}

// Waiting is first come first served, ends at its bound with a refusal, and one
// whose client left never runs.
func TestWaiting(t *testing.T) {
	b := newBench("g1", 1, `{"services":{"s":{"cap":1,"warm_cap":1,"wait_ms":200,"wait_len":3}},"rules":[{"path":"/s","service":"s"}]}`, to("a"))
	if _, ok := b.admit(1).(statemachine.Forward); !ok {
		t.Fatal("refused")
	}
	for id := uint64(2); id <= 4; id++ {
		if x := b.admit(id); x != nil {
			t.Fatalf("%d: %+v", id, x)
		}
	}
	if r, ok := b.admit(5).(statemachine.Reject); !ok || r.Code != "busy" || r.RetryAfter < tuning.RetryAfterMin || r.RetryAfter >= tuning.RetryAfterMin+tuning.RetryAfterSpan {
		t.Fatalf("%+v", r)
	}
	b.step(statemachine.Cancel{ID: 2})
	out := b.step(statemachine.AttemptDone{ID: 1, Outcome: statemachine.Served, Last: true})
	if _, ok := answer(3, out).(statemachine.Forward); !ok || answer(2, out) != nil {
		t.Fatalf("%+v", out)
	}
	b.now += 201 * time.Millisecond
	b.g.leaseUntil = b.now + time.Second
	if r, ok := answer(4, b.step(statemachine.Tick{})).(statemachine.Reject); !ok || r.Status != 503 {
		t.Fatalf("%+v", r)
	}
	if out := b.step(statemachine.AttemptDone{ID: 3, Outcome: statemachine.Served, Last: true}); answer(4, out) != nil || b.g.InFlight() != 0 {
		t.Fatalf("%+v, %d under way", out, b.g.InFlight())
	}
}

// Once its lease has lapsed a proxy alone refuses at the very next request, and a
// push that answers an earlier process of its name leases nothing.
func TestLapse(t *testing.T) {
	b := newBench("g1", 3, plain, to("a"))
	b.now += tuning.ProxyLease - time.Millisecond
	if _, ok := b.admit(1).(statemachine.Forward); !ok {
		t.Fatal("refused within the grant")
	}
	b.now += 2 * time.Millisecond
	if r, ok := b.admit(2).(statemachine.Reject); !ok || r.Code != "not_serving" {
		t.Fatalf("%+v", r)
	}
	for _, m := range []*wire.Message{{Timestamp: int64(b.now), Disk: 8}, {Timestamp: int64(b.now + time.Hour), Disk: 9}, {Timestamp: int64(b.now), Disk: 9, Term: 0}} {
		m.Kind, m.From, m.Epoch = wire.KindPush, "c1", 1
		if m.Disk == 9 && m.Timestamp == int64(b.now) {
			m.Term = 0 // an earlier leader
		} else {
			m.Term = 1
		}
		m.Push = &wire.Push{LeaseGranted: true, Key: b.g.Table().Key}
		b.step(statemachine.Receive{Message: m})
		if b.g.Serving() {
			t.Fatalf("serving on %+v", m)
		}
	}
}

// Retries spend what requests earn.
func TestRetryCredit(t *testing.T) {
	b := newBench("g1", 1, plain, to("a"), to("b"), to("c"))
	retried := 0
	for id := uint64(1); id <= 600; id++ {
		b.now += 10 * time.Millisecond
		b.g.leaseUntil = b.now + time.Second
		if _, ok := b.admit(id).(statemachine.Forward); !ok {
			t.Fatal("refused")
		}
		b.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.ResponseLost})
		switch x := answer(id, b.step(statemachine.Retry{ID: id, Sent: true})).(type) {
		case statemachine.Forward:
			retried++
			b.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.Served, Last: true})
		case statemachine.Reject:
			if x.Code != "retry_budget" || x.RetryAfter == 0 {
				t.Fatalf("%+v", x)
			}
		}
	}
	if retried > 600/tuning.RetryShare+tuning.RetryFree || retried < 600/tuning.RetryCost {
		t.Fatalf("%d retries for 600 exchanges", retried)
	}
}

// Aims count what callers got: late, refused and lost ones miss, those whose user
// agent left do not count, and the window moves on.
func TestAims(t *testing.T) {
	b := newBench("g1", 1, `{"services":{"s":{"cap":1,"warm_cap":1}},"rules":[{"path":"/s","service":"s"}],
		"aims":{"quick":{"service":"s","part":0.9,"under_ms":50,"window_min":2}}}`, to("a"))
	id := uint64(0)
	run := func(took time.Duration, end ...statemachine.Event) {
		id++
		b.admit(id)
		b.now += took
		b.g.leaseUntil = b.now + time.Second
		for _, e := range end {
			b.step(e)
		}
	}
	for range 5 {
		run(10*time.Millisecond, statemachine.AttemptDone{ID: id + 1, Outcome: statemachine.Served, Last: true})
	}
	run(60*time.Millisecond, statemachine.AttemptDone{ID: id + 1, Outcome: statemachine.Served, Last: true})
	run(time.Millisecond, statemachine.AttemptDone{ID: id + 1, Outcome: statemachine.ServerError, Last: true})
	run(time.Millisecond, statemachine.AttemptDone{ID: id + 1, Outcome: statemachine.ResponseLost}, statemachine.Cancel{ID: id + 1, Failed: true})
	run(time.Millisecond, statemachine.Cancel{ID: id + 1})
	b.admit(90)
	b.admit(91) // refused: the only place is taken
	b.step(statemachine.AttemptDone{ID: 90, Outcome: statemachine.ClientGone, Last: true})
	if a := b.g.View(b.now).Objectives[0]; a.Good != 5 || a.Total != 9 {
		t.Fatalf("%+v", a)
	}
	if a := b.g.View(b.now + 2*time.Minute).Objectives[0]; a.Total != 0 {
		t.Fatalf("%+v", a)
	}
}

// proxy that serves on its peers has the bench's proxy stand by its peers alone.
func (b *bench) orphan() {
	b.now += tuning.ProxyLease + time.Millisecond
	b.touch()
}

func (b *bench) touch() {
	for _, p := range []string{"g2", "g3"} {
		b.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindHello, From: p, Hello: &wire.Hello{Self: wire.Daemon{Name: p, Kind: wire.ProxyDaemon, Addr: p}}}})
		b.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindPush, From: p, Timestamp: int64(b.now), Disk: 9, Push: &wire.Push{LeaseGranted: true, Key: b.g.Table().Key}}})
	}
}

func (b *bench) hear(t wire.Target) {
	b.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindHeartbeat, From: "g2", Timestamp: 1, Heartbeat: &t}})
}

// An proxy that serves on its peers whose table ejections every target uses those that beat now, not those that
// did when the leader still kept the table.
func TestOrphansLastResort(t *testing.T) {
	b := newBench("g1", 3, plain, to("a", barred), to("b", barred))
	if _, ok := b.admit(1).(statemachine.Forward); !ok {
		t.Fatal("the leader's word that they beat counts while it is fresh")
	}
	b.step(statemachine.AttemptDone{ID: 1, Last: true})
	b.orphan()
	if r, ok := b.admit(2).(statemachine.Reject); !ok || r.Code != "no_target" {
		t.Fatalf("%+v", r)
	}
	b.hear(to("b"))
	if r, ok := b.admit(3).(statemachine.Reject); !ok {
		t.Fatalf("one late word made %+v the last resort", r)
	}
	for range 3 {
		b.now += tuning.TargetHeartbeatEvery
		b.hear(to("b"))
	}
	b.touch()
	if g, ok := b.admit(4).(statemachine.Forward); !ok || g.Target.Name != "b" {
		t.Fatalf("%+v", g)
	}
}

// An proxy that serves on its peers takes the restart of a target that its table knows, once the new
// start has answered for itself, and takes nobody else.
func TestOrphanTakesRestart(t *testing.T) {
	for _, c := range []struct {
		name  string
		heir  wire.Target
		beat  *config.TargetReport
		taken bool
	}{
		{"the same place", wire.Target{Service: "s", Name: "a", Incarnation: 2, Addr: "a"}, &config.TargetReport{Service: "s", Name: "a", Incarnation: 2, State: wire.TargetReady}, true},
		{"another place", wire.Target{Service: "s", Name: "a", Incarnation: 2, Addr: "z"}, &config.TargetReport{Service: "s", Name: "a", Incarnation: 2, State: wire.TargetReady}, true},
		{"no answer", wire.Target{Service: "s", Name: "a", Incarnation: 2, Addr: "z"}, nil, false},
		{"somebody else answers", wire.Target{Service: "s", Name: "a", Incarnation: 2, Addr: "z"}, &config.TargetReport{Service: "s", Name: "a", Incarnation: 3, State: wire.TargetReady}, false},
		{"a name that the table lacks", wire.Target{Service: "s", Name: "new", Incarnation: 2, Addr: "z"}, &config.TargetReport{Service: "s", Name: "new", Incarnation: 2, State: wire.TargetReady}, false},
		{"another target's address", wire.Target{Service: "s", Name: "a", Incarnation: 2, Addr: "other"}, &config.TargetReport{Service: "s", Name: "a", Incarnation: 2, State: wire.TargetReady}, false},
		{"one that has left", wire.Target{Service: "s", Name: "a", Incarnation: 2, Addr: "gone"}, &config.TargetReport{Service: "s", Name: "a", Incarnation: 2, State: wire.TargetLeaving}, false},
	} {
		away := wire.Target{Service: "t", Name: "other", Incarnation: 1, Addr: "other", State: wire.TargetReady}
		b := newBench("g1", 3, plain, to("a", func(t *wire.Target) { t.ShareOffset = 5 }), away)
		word := c.heir
		word.State = wire.TargetReady
		b.hear(word)
		b.orphan()
		old := to("a")
		old.State = wire.TargetGone
		b.hear(old)
		b.hear(word)
		b.now += tuning.TickEvery
		probed := false
		for _, cmd := range b.step(statemachine.Tick{}) {
			if p, ok := cmd.(statemachine.Probe); ok && p.ID == word.ID() && p.Addr == word.Addr {
				probed = true
			}
		}
		if r, ok := b.admit(1).(statemachine.Reject); !ok {
			t.Errorf("%s: chosen before it answered: %+v", c.name, r)
		}
		if probed {
			b.step(statemachine.ProbeResult{ID: word.ID(), SentAt: b.now, Report: c.beat})
		}
		g, ok := b.admit(2).(statemachine.Forward)
		if ok != c.taken || ok && (g.Target.Incarnation != 2 || g.Target.ShareOffset != 5) {
			t.Errorf("%s: %+v", c.name, g)
		}
		b.now += time.Millisecond
		b.table(3, plain, to("a"), away)
		if g, ok := b.admit(3).(statemachine.Forward); ok && g.Target.Incarnation == 2 {
			t.Errorf("%s: still taken under a leader's table that lacks it", c.name)
		}
	}
}

// A proxy that was frozen is in touch again at once, on the very table it had; what
// its peers hold against targets by then counts before it serves.
func TestThawedOrphanHeedsPartners(t *testing.T) {
	b := newBench("g1", 3, plain, to("a"), to("b"))
	b.orphan()
	if !b.g.Serving() {
		t.Fatal("not an orphan")
	}
	b.now += 5 * time.Second
	asked := false
	for _, c := range b.step(statemachine.Tick{}) {
		if s, ok := c.(statemachine.Send); ok && s.Message.Pull != nil && s.Message.To == "g2" {
			asked = s.Message.Pull.WantTable && s.Message.Pull.Key == b.g.Table().Key
		}
	}
	if !asked || b.g.Serving() {
		t.Fatalf("asked %v serving %v", asked, b.g.Serving())
	}
	word := *b.g.Table()
	word.Targets = []wire.Target{to("a", barred), to("b")}
	for _, p := range []string{"g2", "g3"} {
		b.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindPush, From: p, Timestamp: int64(b.now), Disk: 9, Push: &wire.Push{LeaseGranted: true, Key: word.Key, Table: &word}}})
	}
	for id := range uint64(6) {
		if g, ok := b.admit(id + 1).(statemachine.Forward); !ok || g.Target.Name != "b" {
			t.Fatalf("%+v", g)
		}
		b.step(statemachine.AttemptDone{ID: id + 1, Last: true})
	}
}

// However the proxies stand on the tables before, during and after a change of the
// roster, the parts of a warming target's cap never add up to more than it; on one
// table they add up to it, and a fleet's parts are dealt so that no proxy has two
// more than another.
func TestWarmCapIsDealt(t *testing.T) {
	names := func(n int) (l []string) {
		for i := range n {
			l = append(l, fmt.Sprintf("g%02d", i+1))
		}
		return l
	}
	rapid.Check(t, func(t *rapid.T) {
		before := names(rapid.IntRange(1, 13).Draw(t, "proxies"))
		after := names(14)[:len(before)+1]
		if i := rapid.IntRange(-1, len(before)-1).Draw(t, "leaves"); i >= 0 && len(before) > 1 {
			after = append(append([]string{}, before[:i]...), before[i+1:]...)
		}
		set := config.Service{Cap: 64, WarmCap: rapid.IntRange(1, 30).Draw(t, "cap")}
		fleet := rapid.IntRange(1, 12).Draw(t, "targets")
		first := rapid.Uint32Range(1, 1000).Draw(t, "turn")
		part := func(name string, turn uint32, among, was []string) int {
			g := New(Settings{Self: wire.Daemon{Name: name}})
			g.table = &wire.Table{PreviousProxies: was}
			for _, n := range among {
				g.table.Proxies = append(g.table.Proxies, wire.Proxy{Name: n, Live: true})
			}
			g.reindex(0)
			return g.capacity(0, &targetState{Target: wire.Target{Service: "s", State: wire.TargetWarming, ShareOffset: turn}}, set)
		}
		every := append(append([]string{}, before...), after[len(after)-1])
		if len(after) < len(before) {
			every = before
		}
		// The old and the changing table stand together, or the changing and the new one.
		late := rapid.Bool().Draw(t, "late")
		stands := map[string]int{}
		for _, n := range every {
			stands[n] = rapid.IntRange(0, 1).Draw(t, n)
		}
		for turn := first; turn < first+3; turn++ {
			sum := 0
			for _, n := range every {
				switch {
				case !late && stands[n] == 0:
					sum += part(n, turn, before, nil)
				case late && stands[n] == 0:
					sum += part(n, turn, after, nil)
				default:
					sum += part(n, turn, after, before)
				}
			}
			if sum > set.WarmCap {
				t.Fatalf("parts add up to %d of %d", sum, set.WarmCap)
			}
		}
		lo, hi := 1<<30, 0
		for _, n := range after {
			sum := 0
			for turn := first; turn < first+uint32(fleet); turn++ {
				sum += part(n, turn, after, nil)
			}
			lo, hi = min(lo, sum), max(hi, sum)
		}
		if hi-lo > 1 {
			t.Fatalf("a fleet of %d with %d each: proxies have from %d to %d", fleet, set.WarmCap, lo, hi)
		}
	})
}

// The roster grows while a warming target works on requests that last as long as they
// may: those of the old parts and those of the new ones together stay within its cap,
// also where a new proxy saw nothing of the change, and in the end the new parts hold.
func TestWarmCapWhileTheRosterGrows(t *testing.T) {
	const doc = `{"services":{"s":{"cap":64,"warm_cap":%d,"timeout_ms":2000}},"rules":[{"path":"/s","service":"s"}]}`
	for from := 1; from <= 9; from++ {
		for more := 1; more <= 4; more++ {
			for warmCap := 1; warmCap <= 12; warmCap++ {
				d, id := fmt.Sprintf(doc, warmCap), uint64(0)
				fill := func(bs []*bench) (n int) {
					for _, b := range bs {
						for id++; ; id++ {
							if _, ok := b.admit(id).(statemachine.Forward); !ok {
								break
							}
							n++
						}
					}
					return n
				}
				var old, all []*bench
				for i := range from + more {
					if b := newBench(fmt.Sprintf("g%d", i+1), from, d); i < from {
						b.table(from, d, to("a", warming))
						old = append(old, b)
						all = append(all, b)
					} else {
						all = append(all, &bench{g: New(Settings{Self: wire.Daemon{Name: fmt.Sprintf("g%d", i+1), Kind: wire.ProxyDaemon, Incarnation: 9}}), now: time.Second})
					}
				}
				left := fill(old)
				for _, b := range all {
					b.now += 200 * time.Millisecond
					b.ver = 8
					b.table(from+more, d, to("a", warming))
				}
				if n := left + fill(all); n > warmCap {
					t.Fatalf("%d proxies and %d more: %d exchanges at a target that bears %d", from, more, n, warmCap)
				}
				now := 0
				for _, b := range all {
					b.now += 2*time.Second + tuning.ChoiceTTL
					b.step(statemachine.Tick{})
					now += b.g.View(b.now).Targets[0].Capacity
				}
				if now != warmCap {
					t.Fatalf("%d proxies and %d more: parts are %d of %d in the end", from, more, now, warmCap)
				}
			}
		}
	}
}

// After warming what a target takes rises, it does not jump.
func TestRampAfterWarming(t *testing.T) {
	b := newBench("g1", 1, plain)
	b.table(1, plain, to("a", warming))
	last := 0
	for i := range 40 {
		if i == 1 {
			b.table(1, plain, to("a"))
		}
		v := b.g.View(b.now).Targets[0].Capacity
		if v < last || v > last+1 && i > 0 {
			t.Fatalf("room from %d to %d", last, v)
		}
		last = v
		b.now += 100 * time.Millisecond
	}
	if last != 8 {
		t.Fatalf("room %d in the end", last)
	}
}

// What a request costs the owner, which is one goroutine: admitted and done, with
// the fleets of today and ten times as many targets.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{9, 36, 360} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var ts []wire.Target
			for i := range n {
				ts = append(ts, to(fmt.Sprintf("t%03d", i)))
			}
			x := newBench("g1", 12, `{"services":{"s":{"cap":600}},"rules":[{"path":"/s","service":"s"}]}`, ts...)
			id := uint64(0)
			for b.Loop() {
				id++
				if _, ok := x.admit(id).(statemachine.Forward); !ok {
					b.Fatal("refused")
				}
				x.step(statemachine.AttemptDone{ID: id, Last: true})
			}
		})
	}
}

// The same on a route, with targets that tell their slots.
func BenchmarkSlots(b *testing.B) {
	for _, n := range []int{36, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var ts []wire.Target
			for i := range n {
				ts = append(ts, to(fmt.Sprintf("t%03d", i), slots(6)))
			}
			x := newBench("g1", 12, routed, ts...)
			id := uint64(0)
			for b.Loop() {
				id++
				if _, ok := x.call(id, "/a/", time.Second).(statemachine.Forward); !ok {
					b.Fatal("refused")
				}
				x.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.Served, Milliseconds: 5, Last: true})
			}
		})
	}
}

// The same with a target that restarted meanwhile: peers have its later start in
// its place, and so has a proxy that comes back on the same table.
func TestThawedOrphanLearnsRestarts(t *testing.T) {
	b := newBench("g1", 3, plain, to("a"))
	b.orphan()
	b.now += 5 * time.Second
	b.step(statemachine.Tick{})
	word := *b.g.Table()
	word.Targets = []wire.Target{to("a", func(t *wire.Target) { t.Incarnation = 2 })}
	for _, p := range []string{"g2", "g3"} {
		b.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindPush, From: p, Timestamp: int64(b.now), Disk: 9, Push: &wire.Push{LeaseGranted: true, Key: word.Key, Table: &word}}})
	}
	if g, ok := b.admit(1).(statemachine.Forward); !ok || g.Target.Incarnation != 2 {
		t.Fatalf("%+v", g)
	}
}

// A change of one target in a large fleet's table.
func BenchmarkChange(b *testing.B) {
	var ts []wire.Target
	for i := range 294 {
		ts = append(ts, to(fmt.Sprintf("t%03d", i), slots(3)))
	}
	x := newBench("g1", 69, routed, ts...)
	b.ReportAllocs()
	for b.Loop() {
		old := x.g.Table()
		x.ver++
		t := &wire.Table{Key: wire.TableKey{Epoch: 1, Term: 1, Version: x.ver}, DeltaBase: old.Key, Revision: old.Revision, StateIndex: old.StateIndex,
			Targets: []wire.Target{to("t007", slots(3), func(t *wire.Target) { t.Demand = float64(x.ver%10) / 10 })}}
		x.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindPush, From: "c1", Epoch: 1, Term: 1, Timestamp: int64(x.now), Disk: 9,
			Push: &wire.Push{LeaseGranted: true, Key: t.Key, Table: t}}})
		if x.g.Table().Key != t.Key {
			b.Fatal("not taken")
		}
	}
}

// What the leader can't reach, a proxy probes when asked: an answer goes to it with the next
// tick, a miss is the leader's to judge, and own ejections are as before.
func TestIndirectProbe(t *testing.T) {
	b := newBench("g1", 1, plain, to("a"), to("b"))
	b.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindHello, From: "c1", Epoch: 1, Term: 1, Hello: &wire.Hello{Self: wire.Daemon{Name: "c1", Kind: wire.ControlDaemon, Addr: "c1", Incarnation: 1, Epoch: 1}, Leader: "c1", Term: 1}}})
	id := wire.TargetID{Service: "s", Name: "a", Incarnation: 1}
	ask := func() (n int) {
		for _, c := range b.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindPush, From: "c1", Epoch: 1, Term: 1, Timestamp: int64(b.now), Disk: 9,
			Push: &wire.Push{Key: b.g.table.Key, ProbeTargets: []wire.TargetID{id, {Service: "s", Name: "c", Incarnation: 1}}}}}) {
			if p, ok := c.(statemachine.Probe); ok && p.ID == id {
				n++
			}
		}
		return n
	}
	b.g.targets[id].ownEjectionUntil = b.now + time.Second
	for range 3 {
		if n := ask(); n != 1 {
			t.Fatalf("%d probes", n)
		}
		if n := ask(); n != 0 {
			t.Fatal("two probes at once")
		}
		b.step(statemachine.ProbeResult{ID: id})
	}
	if b.g.Counts.OwnEjections != 0 {
		t.Fatal("barred by itself")
	}
	told := func() (n int) {
		b.now += tuning.TickEvery
		for _, c := range b.step(statemachine.Tick{}) {
			if s, ok := c.(statemachine.Send); ok && s.Message.Pull != nil {
				for _, e := range s.Message.Pull.Stats {
					if e.ProbeAnswered && e.Name == "a" && e.Successes == 0 {
						n++
					}
				}
			}
		}
		return n
	}
	if told() != 0 {
		t.Fatal("a miss was told")
	}
	ask()
	b.step(statemachine.ProbeResult{ID: id, Report: &config.TargetReport{Service: "s", Name: "a", Incarnation: 1, State: wire.TargetReady}})
	if told() != 1 || told() != 0 || b.g.targets[id].ownEjectionUntil == 0 {
		t.Fatal("an answer is told once, with the next tick, and clears no own bar")
	}
}
