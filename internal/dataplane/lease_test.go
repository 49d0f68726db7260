package dataplane

import (
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Once its lease has run out a proxy without peers rejects the very next request, and a push that answers an
// earlier process of its name gives no lease.
func TestNothingIsServedAfterTheLease(t *testing.T) {
	proxy := newTestProxy("g1", 3, ruleConfig, readyTarget("a"))
	proxy.now += tuning.ProxyLease - time.Millisecond
	if _, ok := proxy.admit(1).(statemachine.Forward); !ok {
		t.Fatal("rejected within the lease")
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

// A proxy that loses its lease again and again sends a control daemon its recovered state no more often than one
// that is without a lease all the time: it is long, and all proxies lose theirs at once.
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
		t.Errorf("sent %d times in %v, at most %d are meant", reported, span, most)
	}
}
