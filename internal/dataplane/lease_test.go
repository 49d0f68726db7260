package dataplane

import (
	"myrtlefold/internal/shared/statemachine"
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// renewLease is a proxy that a leader gives a table with a state now and leases it.
func (p *testProxy) renewLease() {
	p.version++
	t := &wire.Table{Key: wire.TableKey{Epoch: 1, Term: 1, Version: p.version}, Revision: 1, StateIndex: p.version, Document: []byte(ruleConfig), State: []byte("{}"), Proxies: []wire.Proxy{{Name: "g1"}, {Name: "g2"}, {Name: "g3"}}}
	p.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindPush, From: "c1", Epoch: 1, Term: 1, Timestamp: int64(p.now), Disk: 9, Push: &wire.Push{LeaseGranted: true, Key: t.Key, Table: t}}})
}

// A proxy that loses its lease again and again tells a core process no more often what it
// remembers than one that is without a lease all the time: it is long, and all proxies lose
// theirs at once.
func TestRecoveredStateIsSentAtABoundedRate(t *testing.T) {
	proxy := newTestProxy("g1", 3, ruleConfig)
	hello := &wire.Message{Kind: wire.KindHello, From: "c1", Hello: &wire.Hello{Self: wire.Daemon{Name: "c1", Kind: wire.ControlDaemon, Addr: "c1", Incarnation: 5}}}
	reported, from := 0, proxy.now
	const span = 20 * time.Second
	for proxy.now < from+span {
		proxy.now += tuning.TickEvery
		if since := (proxy.now - from) % (tuning.ProxyLease + tuning.HelloEvery); since < tuning.TickEvery {
			proxy.renewLease()
		}
		proxy.step(statemachine.Receive{Message: hello})
		for _, c := range proxy.step(statemachine.Tick{}) {
			if s, ok := c.(statemachine.Send); ok && s.Message.Hello != nil && len(s.Message.Hello.RecoveredState) > 0 {
				reported++
			}
		}
	}
	if most := int(span/tuning.RecoveredStateEvery) + 1; reported == 0 || reported > most {
		t.Errorf("told %d times in %v, at most %d are meant", reported, span, most)
	}
}
