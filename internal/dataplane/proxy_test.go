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

// testProxy is one proxy with a granted table.
type testProxy struct {
	machine *Proxy
	now     time.Duration
	version uint64
}

func newTestProxy(name string, count int, doc string, ts ...wire.Target) *testProxy {
	proxy := &testProxy{machine: New(Settings{Self: wire.Daemon{Name: name, Kind: wire.ProxyDaemon, Incarnation: 9}}), now: time.Second}
	proxy.table(count, doc, ts...)
	return proxy
}

func (p *testProxy) table(count int, doc string, ts ...wire.Target) []statemachine.Command {
	p.version++
	t := &wire.Table{Key: wire.TableKey{Epoch: 1, Term: 1, Version: p.version}, Revision: p.version, Document: []byte(doc), Targets: ts}
	for i := range count {
		t.Proxies = append(t.Proxies, wire.Proxy{Name: fmt.Sprintf("g%d", i+1), Live: true})
	}
	return p.machine.Step(p.now, statemachine.Receive{Message: &wire.Message{Kind: wire.KindPush, From: "c1", Epoch: 1, Term: 1, Timestamp: int64(p.now), Disk: 9,
		Push: &wire.Push{LeaseGranted: true, Key: t.Key, Table: t}}})
}

func (p *testProxy) step(ev statemachine.Event) []statemachine.Command {
	return p.machine.Step(p.now, ev)
}

func (p *testProxy) admit(id uint64) any {
	return responseTo(id, p.step(statemachine.Admit{ID: id, Path: "/s", Method: "GET"}))
}

func responseTo(id uint64, cmds []statemachine.Command) any {
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

func readyTarget(n string, mods ...func(*wire.Target)) wire.Target {
	t := wire.Target{Service: "s", Name: n, Incarnation: 1, Addr: n, State: wire.TargetReady, Heartbeating: true}
	for _, m := range mods {
		m(&t)
	}
	return t
}

func ejected(t *wire.Target)    { t.EjectionLeft, t.EjectedBy = int64(tuning.EjectionTTL), "default" }
func warming(t *wire.Target)    { t.State = wire.TargetWarming }
func highDemand(t *wire.Target) { t.Demand = 0.9 }

const ruleConfig = `{"services":{"s":{"cap":8,"warm_cap":3}},"rules":[{"path":"/s","service":"s"}]}`

// A target whose ejection was lifted moves nothing that runs well; after a refresh's
// time it is one of them again.
func TestReinstatedTargetTakesNoLoadAtFirst(t *testing.T) {
	proxy := newTestProxy("g1", 1, ruleConfig, readyTarget("a"), readyTarget("b"), readyTarget("c", ejected))
	id := uint64(0)
	share := func(n int) (c int) {
		for range n {
			id++
			forward := proxy.admit(id).(statemachine.Forward)
			if forward.Target.Name == "c" {
				c++
			}
			proxy.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.Served, Milliseconds: 1, Last: true})
		}
		return c
	}
	if n := share(30); n != 0 {
		t.Fatalf("%d exchanges at a barred target", n)
	}
	proxy.now += 100 * time.Millisecond
	proxy.table(1, ruleConfig, readyTarget("a"), readyTarget("b"), readyTarget("c"))
	if n := share(30); n != 0 {
		t.Fatalf("the return moved %d of 30 exchanges", n)
	}
	proxy.now += tuning.ReconcileEvery + 100*time.Millisecond
	proxy.table(1, ruleConfig, readyTarget("a"), readyTarget("b"), readyTarget("c"))
	if n := share(30); n < 5 || n > 15 {
		t.Fatalf("%d of 30 exchanges at the third of three", n)
	}
	proxy.table(1, ruleConfig, readyTarget("a"), readyTarget("b", highDemand), readyTarget("c"))
	if a := share(30); a < 10 {
		t.Fatalf("%d of 30 at c while b is busy", a)
	}
}

// Shares of a cap add up to it over all proxies, for ready and warming targets alike.
func TestCapSharesAddUp(t *testing.T) {
	for count := 1; count <= 12; count++ {
		cold, ready := 0, 0
		for i := range count {
			proxy := newTestProxy(fmt.Sprintf("g%d", i+1), count, ruleConfig)
			proxy.table(count, ruleConfig, readyTarget("a", warming), readyTarget("b"))
			n := 0
			for id := uint64(1); ; id++ {
				forward, ok := proxy.admit(id).(statemachine.Forward)
				if !ok {
					break
				}
				n++
				if forward.Target.Name == "a" {
					cold++
				} else {
					ready++
				}
			}
		}
		if cold != 3 || ready != 8 {
			t.Errorf("%d proxies: %d of 3 at the warming target, %d of 8 at the ready one", count, cold, ready)
		}
	}
}

// Waiting is first come first served, ends at its bound with a refusal, and one
// whose client left never runs.
func TestQueueIsServedInOrderAndBounded(t *testing.T) {
	proxy := newTestProxy("g1", 1, `{"services":{"s":{"cap":1,"warm_cap":1,"wait_ms":200,"wait_len":3}},"rules":[{"path":"/s","service":"s"}]}`, readyTarget("a"))
	if _, ok := proxy.admit(1).(statemachine.Forward); !ok {
		t.Fatal("refused")
	}
	for id := uint64(2); id <= 4; id++ {
		if x := proxy.admit(id); x != nil {
			t.Fatalf("%d: %+v", id, x)
		}
	}
	if reject, ok := proxy.admit(5).(statemachine.Reject); !ok || reject.Code != "busy" || reject.RetryAfter < tuning.RetryAfterMin || reject.RetryAfter >= tuning.RetryAfterMin+tuning.RetryAfterSpan {
		t.Fatalf("%+v", reject)
	}
	proxy.step(statemachine.Cancel{ID: 2})
	out := proxy.step(statemachine.AttemptDone{ID: 1, Outcome: statemachine.Served, Last: true})
	if _, ok := responseTo(3, out).(statemachine.Forward); !ok || responseTo(2, out) != nil {
		t.Fatalf("%+v", out)
	}
	proxy.now += 201 * time.Millisecond
	proxy.machine.leaseUntil = proxy.now + time.Second
	if reject, ok := responseTo(4, proxy.step(statemachine.Tick{})).(statemachine.Reject); !ok || reject.Status != 503 {
		t.Fatalf("%+v", reject)
	}
	if out := proxy.step(statemachine.AttemptDone{ID: 3, Outcome: statemachine.Served, Last: true}); responseTo(4, out) != nil || proxy.machine.InFlight() != 0 {
		t.Fatalf("%+v, %d under way", out, proxy.machine.InFlight())
	}
}

// Once its lease has lapsed a proxy alone refuses at the very next request, and a
// push that answers an earlier process of its name leases nothing.
func TestNothingIsServedAfterTheLease(t *testing.T) {
	proxy := newTestProxy("g1", 3, ruleConfig, readyTarget("a"))
	proxy.now += tuning.ProxyLease - time.Millisecond
	if _, ok := proxy.admit(1).(statemachine.Forward); !ok {
		t.Fatal("refused within the grant")
	}
	proxy.now += 2 * time.Millisecond
	if reject, ok := proxy.admit(2).(statemachine.Reject); !ok || reject.Code != "not_serving" {
		t.Fatalf("%+v", reject)
	}
	for _, m := range []*wire.Message{{Timestamp: int64(proxy.now), Disk: 8}, {Timestamp: int64(proxy.now + time.Hour), Disk: 9}, {Timestamp: int64(proxy.now), Disk: 9, Term: 0}} {
		m.Kind, m.From, m.Epoch = wire.KindPush, "c1", 1
		if m.Disk == 9 && m.Timestamp == int64(proxy.now) {
			m.Term = 0 // an earlier leader
		} else {
			m.Term = 1
		}
		m.Push = &wire.Push{LeaseGranted: true, Key: proxy.machine.Table().Key}
		proxy.step(statemachine.Receive{Message: m})
		if proxy.machine.Serving() {
			t.Fatalf("serving on %+v", m)
		}
	}
}

// Retries spend what requests earn.
func TestRetriesSpendWhatRequestsEarn(t *testing.T) {
	proxy := newTestProxy("g1", 1, ruleConfig, readyTarget("a"), readyTarget("b"), readyTarget("c"))
	retried := 0
	for id := uint64(1); id <= 600; id++ {
		proxy.now += 10 * time.Millisecond
		proxy.machine.leaseUntil = proxy.now + time.Second
		if _, ok := proxy.admit(id).(statemachine.Forward); !ok {
			t.Fatal("refused")
		}
		proxy.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.ResponseLost})
		switch x := responseTo(id, proxy.step(statemachine.Retry{ID: id, Sent: true})).(type) {
		case statemachine.Forward:
			retried++
			proxy.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.Served, Last: true})
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
func TestObjectiveCounts(t *testing.T) {
	proxy := newTestProxy("g1", 1, `{"services":{"s":{"cap":1,"warm_cap":1}},"rules":[{"path":"/s","service":"s"}],
		"aims":{"quick":{"service":"s","part":0.9,"under_ms":50,"window_min":2}}}`, readyTarget("a"))
	id := uint64(0)
	run := func(took time.Duration, end ...statemachine.Event) {
		id++
		proxy.admit(id)
		proxy.now += took
		proxy.machine.leaseUntil = proxy.now + time.Second
		for _, e := range end {
			proxy.step(e)
		}
	}
	for range 5 {
		run(10*time.Millisecond, statemachine.AttemptDone{ID: id + 1, Outcome: statemachine.Served, Last: true})
	}
	run(60*time.Millisecond, statemachine.AttemptDone{ID: id + 1, Outcome: statemachine.Served, Last: true})
	run(time.Millisecond, statemachine.AttemptDone{ID: id + 1, Outcome: statemachine.ServerError, Last: true})
	run(time.Millisecond, statemachine.AttemptDone{ID: id + 1, Outcome: statemachine.ResponseLost}, statemachine.Cancel{ID: id + 1, Failed: true})
	run(time.Millisecond, statemachine.Cancel{ID: id + 1})
	proxy.admit(90)
	proxy.admit(91) // refused: the only place is taken
	proxy.step(statemachine.AttemptDone{ID: 90, Outcome: statemachine.ClientGone, Last: true})
	if a := proxy.machine.View(proxy.now).Objectives[0]; a.Good != 5 || a.Total != 9 {
		t.Fatalf("%+v", a)
	}
	if a := proxy.machine.View(proxy.now + 2*time.Minute).Objectives[0]; a.Total != 0 {
		t.Fatalf("%+v", a)
	}
}

// proxy that serves on its peers has the bench's proxy stand by its peers alone.
func (p *testProxy) loseLeader() {
	p.now += tuning.ProxyLease + time.Millisecond
	p.confirmByPeers()
}

func (p *testProxy) confirmByPeers() {
	for _, peer := range []string{"g2", "g3"} {
		p.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindHello, From: peer, Hello: &wire.Hello{Self: wire.Daemon{Name: peer, Kind: wire.ProxyDaemon, Addr: peer}}}})
		p.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindPush, From: peer, Timestamp: int64(p.now), Disk: 9, Push: &wire.Push{LeaseGranted: true, Key: p.machine.Table().Key}}})
	}
}

func (p *testProxy) hear(t wire.Target) {
	p.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindHeartbeat, From: "g2", Timestamp: 1, Heartbeat: &t}})
}

// An proxy that serves on its peers whose table ejections every target uses those that beat now, not those that
// did when the leader still kept the table.
func TestPeerServingTakesHeartbeatingTargetsAsLastResort(t *testing.T) {
	proxy := newTestProxy("g1", 3, ruleConfig, readyTarget("a", ejected), readyTarget("b", ejected))
	if _, ok := proxy.admit(1).(statemachine.Forward); !ok {
		t.Fatal("the leader's word that they beat counts while it is fresh")
	}
	proxy.step(statemachine.AttemptDone{ID: 1, Last: true})
	proxy.loseLeader()
	if reject, ok := proxy.admit(2).(statemachine.Reject); !ok || reject.Code != "no_target" {
		t.Fatalf("%+v", reject)
	}
	proxy.hear(readyTarget("b"))
	if reject, ok := proxy.admit(3).(statemachine.Reject); !ok {
		t.Fatalf("one late word made %+v the last resort", reject)
	}
	for range 3 {
		proxy.now += tuning.TargetHeartbeatEvery
		proxy.hear(readyTarget("b"))
	}
	proxy.confirmByPeers()
	if forward, ok := proxy.admit(4).(statemachine.Forward); !ok || forward.Target.Name != "b" {
		t.Fatalf("%+v", forward)
	}
}

// An proxy that serves on its peers takes the restart of a target that its table knows, once the new
// start has answered for itself, and takes nobody else.
func TestPeerServingTakesSuccessor(t *testing.T) {
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
		proxy := newTestProxy("g1", 3, ruleConfig, readyTarget("a", func(t *wire.Target) { t.ShareOffset = 5 }), away)
		word := c.heir
		word.State = wire.TargetReady
		proxy.hear(word)
		proxy.loseLeader()
		old := readyTarget("a")
		old.State = wire.TargetGone
		proxy.hear(old)
		proxy.hear(word)
		proxy.now += tuning.TickEvery
		probed := false
		for _, cmd := range proxy.step(statemachine.Tick{}) {
			if p, ok := cmd.(statemachine.Probe); ok && p.ID == word.ID() && p.Addr == word.Addr {
				probed = true
			}
		}
		if reject, ok := proxy.admit(1).(statemachine.Reject); !ok {
			t.Errorf("%s: chosen before it answered: %+v", c.name, reject)
		}
		if probed {
			proxy.step(statemachine.ProbeResult{ID: word.ID(), SentAt: proxy.now, Report: c.beat})
		}
		forward, ok := proxy.admit(2).(statemachine.Forward)
		if ok != c.taken || ok && (forward.Target.Incarnation != 2 || forward.Target.ShareOffset != 5) {
			t.Errorf("%s: %+v", c.name, forward)
		}
		proxy.now += time.Millisecond
		proxy.table(3, ruleConfig, readyTarget("a"), away)
		if forward, ok := proxy.admit(3).(statemachine.Forward); ok && forward.Target.Incarnation == 2 {
			t.Errorf("%s: still taken under a leader's table that lacks it", c.name)
		}
	}
}

// A proxy that was frozen is in touch again at once, on the very table it had; what
// its peers hold against targets by then counts before it serves.
func TestResumedProxyAdoptsPeerEjections(t *testing.T) {
	proxy := newTestProxy("g1", 3, ruleConfig, readyTarget("a"), readyTarget("b"))
	proxy.loseLeader()
	if !proxy.machine.Serving() {
		t.Fatal("not an orphan")
	}
	proxy.now += 5 * time.Second
	asked := false
	for _, c := range proxy.step(statemachine.Tick{}) {
		if s, ok := c.(statemachine.Send); ok && s.Message.Pull != nil && s.Message.To == "g2" {
			asked = s.Message.Pull.WantTable && s.Message.Pull.Key == proxy.machine.Table().Key
		}
	}
	if !asked || proxy.machine.Serving() {
		t.Fatalf("asked %v serving %v", asked, proxy.machine.Serving())
	}
	word := *proxy.machine.Table()
	word.Targets = []wire.Target{readyTarget("a", ejected), readyTarget("b")}
	for _, p := range []string{"g2", "g3"} {
		proxy.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindPush, From: p, Timestamp: int64(proxy.now), Disk: 9, Push: &wire.Push{LeaseGranted: true, Key: word.Key, Table: &word}}})
	}
	for id := range uint64(6) {
		if forward, ok := proxy.admit(id + 1).(statemachine.Forward); !ok || forward.Target.Name != "b" {
			t.Fatalf("%+v", forward)
		}
		proxy.step(statemachine.AttemptDone{ID: id + 1, Last: true})
	}
}

// However the proxies stand on the tables before, during and after a change of the
// roster, the parts of a warming target's cap never add up to more than it; on one
// table they add up to it, and a fleet's parts are dealt so that no proxy has two
// more than another.
func TestWarmingCapSharesStayWithinCap(t *testing.T) {
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
			proxy := New(Settings{Self: wire.Daemon{Name: name}})
			proxy.table = &wire.Table{PreviousProxies: was}
			for _, n := range among {
				proxy.table.Proxies = append(proxy.table.Proxies, wire.Proxy{Name: n, Live: true})
			}
			proxy.reindex(0)
			return proxy.capacity(0, &targetState{Target: wire.Target{Service: "s", State: wire.TargetWarming, ShareOffset: turn}}, set)
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
func TestWarmingCapWhileMembershipGrows(t *testing.T) {
	const doc = `{"services":{"s":{"cap":64,"warm_cap":%d,"timeout_ms":2000}},"rules":[{"path":"/s","service":"s"}]}`
	for from := 1; from <= 9; from++ {
		for more := 1; more <= 4; more++ {
			for warmCap := 1; warmCap <= 12; warmCap++ {
				d, id := fmt.Sprintf(doc, warmCap), uint64(0)
				fill := func(proxies []*testProxy) (n int) {
					for _, proxy := range proxies {
						for id++; ; id++ {
							if _, ok := proxy.admit(id).(statemachine.Forward); !ok {
								break
							}
							n++
						}
					}
					return n
				}
				var old, all []*testProxy
				for i := range from + more {
					if proxy := newTestProxy(fmt.Sprintf("g%d", i+1), from, d); i < from {
						proxy.table(from, d, readyTarget("a", warming))
						old = append(old, proxy)
						all = append(all, proxy)
					} else {
						all = append(all, &testProxy{machine: New(Settings{Self: wire.Daemon{Name: fmt.Sprintf("g%d", i+1), Kind: wire.ProxyDaemon, Incarnation: 9}}), now: time.Second})
					}
				}
				left := fill(old)
				for _, proxy := range all {
					proxy.now += 200 * time.Millisecond
					proxy.version = 8
					proxy.table(from+more, d, readyTarget("a", warming))
				}
				if n := left + fill(all); n > warmCap {
					t.Fatalf("%d proxies and %d more: %d exchanges at a target that bears %d", from, more, n, warmCap)
				}
				now := 0
				for _, proxy := range all {
					proxy.now += 2*time.Second + tuning.ChoiceTTL
					proxy.step(statemachine.Tick{})
					now += proxy.machine.View(proxy.now).Targets[0].Capacity
				}
				if now != warmCap {
					t.Fatalf("%d proxies and %d more: parts are %d of %d in the end", from, more, now, warmCap)
				}
			}
		}
	}
}

// After warming what a target takes rises, it does not jump.
func TestSlowStartAfterWarming(t *testing.T) {
	proxy := newTestProxy("g1", 1, ruleConfig)
	proxy.table(1, ruleConfig, readyTarget("a", warming))
	last := 0
	for i := range 40 {
		if i == 1 {
			proxy.table(1, ruleConfig, readyTarget("a"))
		}
		v := proxy.machine.View(proxy.now).Targets[0].Capacity
		if v < last || v > last+1 && i > 0 {
			t.Fatalf("room from %d to %d", last, v)
		}
		last = v
		proxy.now += 100 * time.Millisecond
	}
	if last != 8 {
		t.Fatalf("room %d in the end", last)
	}
}

// What a request costs the owner, which is one goroutine: admitted and done, with
// the fleets of today and ten times as many targets.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{9, 36, 360} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var targets []wire.Target
			for i := range n {
				targets = append(targets, readyTarget(fmt.Sprintf("t%03d", i)))
			}
			proxy := newTestProxy("g1", 12, `{"services":{"s":{"cap":600}},"rules":[{"path":"/s","service":"s"}]}`, targets...)
			id := uint64(0)
			for b.Loop() {
				id++
				if _, ok := proxy.admit(id).(statemachine.Forward); !ok {
					b.Fatal("refused")
				}
				proxy.step(statemachine.AttemptDone{ID: id, Last: true})
			}
		})
	}
}

// The same on a route, with targets that tell their slots.
func BenchmarkRequestWithSlots(b *testing.B) {
	for _, n := range []int{36, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var targets []wire.Target
			for i := range n {
				targets = append(targets, readyTarget(fmt.Sprintf("t%03d", i), withSlots(6)))
			}
			proxy := newTestProxy("g1", 12, routeConfig, targets...)
			id := uint64(0)
			for b.Loop() {
				id++
				if _, ok := proxy.admitOnRoute(id, "/a/", time.Second).(statemachine.Forward); !ok {
					b.Fatal("refused")
				}
				proxy.step(statemachine.AttemptDone{ID: id, Outcome: statemachine.Served, Milliseconds: 5, Last: true})
			}
		})
	}
}

// The same with a target that restarted meanwhile: peers have its later start in
// its place, and so has a proxy that comes back on the same table.
func TestResumedProxyAdoptsPeerSuccessors(t *testing.T) {
	proxy := newTestProxy("g1", 3, ruleConfig, readyTarget("a"))
	proxy.loseLeader()
	proxy.now += 5 * time.Second
	proxy.step(statemachine.Tick{})
	word := *proxy.machine.Table()
	word.Targets = []wire.Target{readyTarget("a", func(t *wire.Target) { t.Incarnation = 2 })}
	for _, p := range []string{"g2", "g3"} {
		proxy.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindPush, From: p, Timestamp: int64(proxy.now), Disk: 9, Push: &wire.Push{LeaseGranted: true, Key: word.Key, Table: &word}}})
	}
	if forward, ok := proxy.admit(1).(statemachine.Forward); !ok || forward.Target.Incarnation != 2 {
		t.Fatalf("%+v", forward)
	}
}

// A change of one target in a large fleet's table.
func BenchmarkTableChange(b *testing.B) {
	var targets []wire.Target
	for i := range 294 {
		targets = append(targets, readyTarget(fmt.Sprintf("t%03d", i), withSlots(3)))
	}
	proxy := newTestProxy("g1", 69, routeConfig, targets...)
	b.ReportAllocs()
	for b.Loop() {
		old := proxy.machine.Table()
		proxy.version++
		t := &wire.Table{Key: wire.TableKey{Epoch: 1, Term: 1, Version: proxy.version}, DeltaBase: old.Key, Revision: old.Revision, StateIndex: old.StateIndex,
			Targets: []wire.Target{readyTarget("t007", withSlots(3), func(t *wire.Target) { t.Demand = float64(proxy.version%10) / 10 })}}
		proxy.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindPush, From: "c1", Epoch: 1, Term: 1, Timestamp: int64(proxy.now), Disk: 9,
			Push: &wire.Push{LeaseGranted: true, Key: t.Key, Table: t}}})
		if proxy.machine.Table().Key != t.Key {
			b.Fatal("not taken")
		}
	}
}

// What the leader can't reach, a proxy probes when asked: an answer goes to it with the next
// tick, a miss is the leader's to judge, and own ejections are as before.
func TestIndirectProbe(t *testing.T) {
	proxy := newTestProxy("g1", 1, ruleConfig, readyTarget("a"), readyTarget("b"))
	proxy.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindHello, From: "c1", Epoch: 1, Term: 1, Hello: &wire.Hello{Self: wire.Daemon{Name: "c1", Kind: wire.ControlDaemon, Addr: "c1", Incarnation: 1, Epoch: 1}, Leader: "c1", Term: 1}}})
	id := wire.TargetID{Service: "s", Name: "a", Incarnation: 1}
	ask := func() (n int) {
		for _, c := range proxy.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindPush, From: "c1", Epoch: 1, Term: 1, Timestamp: int64(proxy.now), Disk: 9,
			Push: &wire.Push{Key: proxy.machine.table.Key, ProbeTargets: []wire.TargetID{id, {Service: "s", Name: "c", Incarnation: 1}}}}}) {
			if p, ok := c.(statemachine.Probe); ok && p.ID == id {
				n++
			}
		}
		return n
	}
	proxy.machine.targets[id].ownEjectionUntil = proxy.now + time.Second
	for range 3 {
		if n := ask(); n != 1 {
			t.Fatalf("%d probes", n)
		}
		if n := ask(); n != 0 {
			t.Fatal("two probes at once")
		}
		proxy.step(statemachine.ProbeResult{ID: id})
	}
	if proxy.machine.Counts.OwnEjections != 0 {
		t.Fatal("barred by itself")
	}
	reported := func() (n int) {
		proxy.now += tuning.TickEvery
		for _, c := range proxy.step(statemachine.Tick{}) {
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
	if reported() != 0 {
		t.Fatal("a miss was told")
	}
	ask()
	proxy.step(statemachine.ProbeResult{ID: id, Report: &config.TargetReport{Service: "s", Name: "a", Incarnation: 1, State: wire.TargetReady}})
	if reported() != 1 || reported() != 0 || proxy.machine.targets[id].ownEjectionUntil == 0 {
		t.Fatal("an answer is told once, with the next tick, and clears no own bar")
	}
}
