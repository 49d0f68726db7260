package fuzzing

import (
	"fmt"
	"testing"
	"time"

	"myrtlefold/internal/controlplane"
	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/dataplane"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// maxEvents is the maximum number of fuzzed events in one run.
const maxEvents = 20

// addSeedInputs adds seed inputs that produce every kind of event, and every common path with every method.
func addSeedInputs(f *testing.F) {
	f.Add([]byte{})
	for kind := range byte(8) {
		var seed []byte
		for i := range 400 {
			seed = append(seed, byte(i*37)^kind*29+byte(i/7))
		}
		f.Add(seed)
	}
	for path := range byte(len(commonPaths)) {
		for method := range byte(6) {
			f.Add([]byte{0, 1, method, path, path % 10, (path + method) % 9, 0, 2, method, path, method, 4 + path%5})
		}
	}
}

// leader is a bootstrapped control daemon that is the leader and only member of a control plane with one proxy.
type leader struct {
	controller *controlplane.Controller
	now        time.Duration
}

// step passes an event to the controller and completes every disk write immediately.
func (l *leader) step(event statemachine.Event) {
	for _, command := range l.controller.Step(l.now, event) {
		if sync, ok := command.(statemachine.Sync); ok {
			l.step(statemachine.Synced{Seq: sync.Batch.Seq})
		}
	}
}

// runSecond advances the clock by one second, during which the proxy pulls and a target sends heartbeats.
func (l *leader) runSecond() {
	proxy := wire.Daemon{Name: "g1", Kind: wire.ProxyDaemon, Addr: "g1", Incarnation: 1, Domain: "d0"}
	heartbeat := wire.Target{Service: "s0", Name: "t0", Incarnation: 9, Addr: "10.0.0.1:1", State: wire.TargetReady}
	l.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindHello, From: "g1", Hello: &wire.Hello{Self: proxy}}})
	for range int(time.Second / tuning.PullEvery) {
		for range int(tuning.PullEvery / tuning.TickEvery) {
			l.now += tuning.TickEvery
			l.step(statemachine.Tick{})
		}
		pull := &wire.Pull{Self: proxy}
		if table := l.controller.Table(); table != nil {
			pull.Key, pull.Revision, pull.StateIndex = table.Key, table.Revision, table.StateIndex
		}
		l.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindPull, From: "g1", Timestamp: int64(l.now), Pull: pull}})
		l.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindHeartbeat, Timestamp: 1, Heartbeat: &heartbeat}})
	}
}

// newLeader starts a control daemon and runs it until it is the leader.
func newLeader(t *testing.T) *leader {
	t.Helper()
	self := wire.Daemon{Name: "c1", Kind: wire.ControlDaemon, Addr: "c1", Incarnation: 1}
	l := &leader{now: time.Second}
	l.controller = controlplane.New(l.now, controlplane.Settings{Self: self, BootstrapSize: 1}, consensus.PersistentState{Disk: 7})
	for range 12 {
		l.runSecond()
	}
	if !l.controller.Leading() {
		t.Fatal("control daemon is not the leader after 12 seconds")
	}
	return l
}

// FuzzControllerStep checks that a leader handles fuzzed external events, with a tick after each, without panicking.
func FuzzControllerStep(f *testing.F) {
	addSeedInputs(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		l := newLeader(t)
		s := &fuzzSource{data}
		for id := uint64(1); len(s.data) > 0 && id <= maxEvents; id++ {
			l.step(s.event(t, id))
			l.now += tuning.TickEvery
			l.step(statemachine.Tick{})
		}
		l.runSecond()
	})
}

// newProxy returns a proxy that holds a lease and a table with two targets.
func newProxy(t *testing.T, now time.Duration) *dataplane.Proxy {
	t.Helper()
	p := dataplane.New(dataplane.Settings{Self: wire.Daemon{Name: "g1", Kind: wire.ProxyDaemon, Addr: "g1", Incarnation: 9, Domain: "d0"}})
	table := &wire.Table{Key: wire.TableKey{Epoch: 1, Term: 1, Version: 1}, Revision: 1,
		Document: []byte(`{"services":{"s0":{"cap":8,"warm_cap":3},"s1":{"cap":4,"warm_cap":2}},"rules":[{"path":"/s","service":"s0"}]}`),
		Proxies:  []wire.Proxy{{Name: "g1", Addr: "g1", Live: true}, {Name: "g2", Addr: "g2", Live: true}}}
	for i := range 2 {
		table.Targets = append(table.Targets, wire.Target{Service: "s0", Name: fmt.Sprint("t", i), Incarnation: 9, Addr: fmt.Sprint("10.0.0.1:", i+1), State: wire.TargetReady, Heartbeating: true})
	}
	p.Step(now, statemachine.Receive{Message: &wire.Message{Kind: wire.KindPush, From: "c1", Epoch: 1, Term: 1, Timestamp: int64(now), Disk: 9,
		Push: &wire.Push{LeaseGranted: true, Key: table.Key, Table: table}}})
	if !p.Serving() {
		t.Fatal("proxy does not serve after a push that grants its lease")
	}
	return p
}

// FuzzProxyStep checks that a serving proxy handles fuzzed external events, with requests and ticks between them,
// without panicking.
func FuzzProxyStep(f *testing.F) {
	addSeedInputs(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		now := time.Second
		p := newProxy(t, now)
		s := &fuzzSource{data}
		for id := uint64(1); len(s.data) > 0 && id <= maxEvents; id++ {
			p.Step(now, s.event(t, id))
			p.Step(now, statemachine.Admit{ID: id, Path: "/s", Method: "GET"})
			now += tuning.TickEvery << (s.nextByte() % 8)
			p.Step(now, statemachine.Tick{})
			p.Step(now, statemachine.AttemptDone{ID: id, Outcome: statemachine.Outcome(s.nextByte() % 8), Milliseconds: 1, Last: true})
			p.View(now)
		}
	})
}
