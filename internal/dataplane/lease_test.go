package dataplane

import (
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// A proxy whose table no peer has confirmed rejects the first request after its lease has expired. A push gives no
// lease if it answers an earlier process of the same name, has a timestamp in the future, or is from an earlier
// leader.
func TestNothingIsServedAfterTheLease(t *testing.T) {
	proxy := newTestProxy("g1", 3, ruleConfig, readyTarget("a"))
	proxy.now += tuning.ProxyLease - time.Millisecond
	if _, ok := proxy.admit(1).(statemachine.Forward); !ok {
		t.Fatal("request rejected during the lease")
	}
	proxy.now += 2 * time.Millisecond
	if reject, ok := proxy.admit(2).(statemachine.Reject); !ok || reject.Code != "not_serving" {
		t.Fatalf("got %+v after the lease expired, want a rejection with code not_serving", reject)
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
			t.Fatalf("serving after the push %+v, want it to give no lease", m)
		}
	}
}

// A proxy that repeatedly loses its lease sends its recovered state to a control daemon no more often than one
// that has no lease at all. The state is large, and all proxies lose their leases at the same time.
func TestRecoveredStateIsSentAtABoundedRate(t *testing.T) {
	proxy := newTestProxy("g1", 3, ruleConfig)
	hello := &wire.Message{Kind: wire.KindHello, From: "c1", Hello: &wire.Hello{Self: wire.Daemon{Name: "c1", Kind: wire.ControlDaemon, Addr: "c1", Incarnation: 5}}}
	sent, from := 0, proxy.now
	const span = 20 * time.Second
	for proxy.now < from+span {
		proxy.now += tuning.TickEvery
		if since := (proxy.now - from) % (tuning.ProxyLease + tuning.HelloEvery); since < tuning.TickEvery {
			proxy.renewLease()
		}
		proxy.step(statemachine.Receive{Message: hello})
		for _, c := range proxy.step(statemachine.Tick{}) {
			if s, ok := c.(statemachine.Send); ok && s.Message.Hello != nil && len(s.Message.Hello.RecoveredState) > 0 {
				sent++
			}
		}
	}
	if most := int(span/tuning.RecoveredStateEvery) + 1; sent == 0 || sent > most {
		t.Errorf("recovered state sent %d times in %v, want 1 to %d", sent, span, most)
	}
}
