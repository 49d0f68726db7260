package dataplane

import (
	"fmt"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// testProxy is a proxy with its own clock.
type testProxy struct {
	machine *Proxy
	now     time.Duration
	version uint64 // of the last table that was sent to it
}

// newTestProxy returns a proxy with a lease and a table that has count proxies, named g1, g2 and so on, and the
// given targets. Its incarnation is 9, which the answers to its pulls repeat in Disk.
func newTestProxy(name string, count int, document string, ts ...wire.Target) *testProxy {
	proxy := &testProxy{machine: New(Settings{Self: wire.Daemon{Name: name, Kind: wire.ProxyDaemon, Incarnation: 9}}), now: time.Second}
	proxy.sendTable(count, document, ts...)
	return proxy
}

// sendTable sends the proxy a later table and a lease.
func (p *testProxy) sendTable(count int, document string, ts ...wire.Target) []statemachine.Command {
	p.version++
	t := &wire.Table{Key: wire.TableKey{Epoch: 1, Term: 1, Version: p.version}, Revision: p.version, Document: []byte(document), Targets: ts}
	for i := range count {
		t.Proxies = append(t.Proxies, wire.Proxy{Name: fmt.Sprintf("g%d", i+1), Live: true})
	}
	return p.machine.Step(p.now, statemachine.Receive{Message: &wire.Message{Kind: wire.KindPush, From: "c1", Epoch: 1, Term: 1, Timestamp: int64(p.now), Disk: 9,
		Push: &wire.Push{LeaseGranted: true, Key: t.Key, Table: t}}})
}

func (p *testProxy) step(event statemachine.Event) []statemachine.Command {
	return p.machine.Step(p.now, event)
}

// admit sends a request that matches a rule of ruleConfig.
func (p *testProxy) admit(id uint64) any {
	return responseTo(id, p.step(statemachine.Admit{ID: id, Path: "/s", Method: "GET"}))
}

// responseTo returns the Forward or Reject of a request among commands, or nil if there is none because it was
// queued.
func responseTo(id uint64, commands []statemachine.Command) any {
	for _, c := range commands {
		switch response := c.(type) {
		case statemachine.Forward:
			if response.ID == id {
				return response
			}
		case statemachine.Reject:
			if response.ID == id {
				return response
			}
		}
	}
	return nil
}

// readyTarget returns the row of a ready target in a table, changed by the modifiers.
func readyTarget(name string, modifiers ...func(*wire.Target)) wire.Target {
	t := wire.Target{Service: "s", Name: name, Incarnation: 1, Addr: name, State: wire.TargetReady, Heartbeating: true}
	for _, m := range modifiers {
		m(&t)
	}
	return t
}

func ejected(t *wire.Target)    { t.EjectionLeft, t.EjectedBy = int64(tuning.EjectionTTL), "default" }
func warming(t *wire.Target)    { t.State = wire.TargetWarming }
func highDemand(t *wire.Target) { t.Demand = 0.9 }

// ruleConfig has one service that gets requests by a rule.
const ruleConfig = `{"services":{"s":{"cap":8,"warm_cap":3}},"rules":[{"path":"/s","service":"s"}]}`

// routeConfig has routes of all kinds: repeatable, low priority, once, and split.
const routeConfig = `{"services":{"s":{"health_path":"/h","cold_s":3,"cold_per_s":10},"t":{"health_path":"/h"}},"routes":{
	"r":{"host":"h","prefix":"/a/","kind":"repeatable","timeout_ms":2000,"aim_ms":400,"priority":1,"service":"s","attempts":2},
	"low":{"host":"h","prefix":"/low/","kind":"repeatable","timeout_ms":2000,"aim_ms":400,"priority":3,"service":"s","attempts":2},
	"o":{"host":"h","prefix":"/once/","kind":"once","timeout_ms":2000,"aim_ms":400,"service":"s","attempts":3},
	"x":{"host":"h","prefix":"/x/","kind":"repeatable","timeout_ms":2000,"split":[{"service":"s","weight":90},{"service":"t","weight":10}],"attempts":2}}}`

func withSlots(n uint32) func(*wire.Target) { return func(t *wire.Target) { t.Slots = n } }

func inWarmup(d time.Duration) func(*wire.Target) {
	return func(t *wire.Target) { t.WarmupLeft = int64(d) }
}

// advance moves the time on, with a valid lease, and sends a tick.
func (p *testProxy) advance(d time.Duration) []statemachine.Command {
	p.now += d
	p.machine.leaseUntil = p.now + time.Second
	return p.step(statemachine.Tick{})
}

// admitOnRoute sends a request that matches a route of routeConfig. A timeout of 0 means that the caller sent
// none.
func (p *testProxy) admitOnRoute(id uint64, path string, timeout time.Duration) any {
	return responseTo(id, p.step(statemachine.Admit{ID: id, Host: "h:80", Path: path, Method: "GET", Timeout: timeout}))
}

// loseLeader lets the lease expire and the peers g2 and g3 confirm the table.
func (p *testProxy) loseLeader() {
	p.now += tuning.ProxyLease + time.Millisecond
	p.confirmByPeers()
}

// confirmByPeers lets the peers g2 and g3 confirm the table.
func (p *testProxy) confirmByPeers() {
	for _, peer := range []string{"g2", "g3"} {
		p.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindHello, From: peer, Hello: &wire.Hello{Self: wire.Daemon{Name: peer, Kind: wire.ProxyDaemon, Addr: peer}}}})
		p.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindPush, From: peer, Timestamp: int64(p.now), Disk: 9, Push: &wire.Push{LeaseGranted: true, Key: p.machine.Table().Key}}})
	}
}

// receiveHeartbeat sends a target's heartbeat to the proxy through a peer.
func (p *testProxy) receiveHeartbeat(t wire.Target) {
	p.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindHeartbeat, From: "g2", Timestamp: 1, Heartbeat: &t}})
}

// renewLease sends the proxy a later table with durable state, and a lease.
func (p *testProxy) renewLease() {
	p.version++
	t := &wire.Table{Key: wire.TableKey{Epoch: 1, Term: 1, Version: p.version}, Revision: 1, StateIndex: p.version, Document: []byte(ruleConfig), State: []byte("{}"), Proxies: []wire.Proxy{{Name: "g1"}, {Name: "g2"}, {Name: "g3"}}}
	p.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindPush, From: "c1", Epoch: 1, Term: 1, Timestamp: int64(p.now), Disk: 9, Push: &wire.Push{LeaseGranted: true, Key: t.Key, Table: t}}})
}
