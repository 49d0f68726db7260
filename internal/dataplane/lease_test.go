package dataplane

import (
	"myrtlefold/internal/shared/statemachine"
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// leased is a proxy that a leader gives a table with a state now and leases it.
func (b *bench) leased() {
	b.ver++
	t := &wire.Table{Key: wire.TableKey{Epoch: 1, Term: 1, Version: b.ver}, Revision: 1, StateIndex: b.ver, Document: []byte(plain), State: []byte("{}"), Proxies: []wire.Proxy{{Name: "g1"}, {Name: "g2"}, {Name: "g3"}}}
	b.step(statemachine.Receive{Message: &wire.Message{Kind: wire.KindPush, From: "c1", Epoch: 1, Term: 1, Timestamp: int64(b.now), Disk: 9, Push: &wire.Push{LeaseGranted: true, Key: t.Key, Table: t}}})
}

// A proxy that loses its lease again and again tells a core process no more often what it
// remembers than one that is without a lease all the time: it is long, and all proxies lose
// theirs at once.
func TestMemoryIsToldAtABoundedRate(t *testing.T) {
	b := newBench("g1", 3, plain)
	hello := &wire.Message{Kind: wire.KindHello, From: "c1", Hello: &wire.Hello{Self: wire.Daemon{Name: "c1", Kind: wire.ControlDaemon, Addr: "c1", Incarnation: 5}}}
	told, from := 0, b.now
	const span = 20 * time.Second
	for b.now < from+span {
		b.now += tuning.TickEvery
		if since := (b.now - from) % (tuning.ProxyLease + tuning.HelloEvery); since < tuning.TickEvery {
			b.leased()
		}
		b.step(statemachine.Receive{Message: hello})
		for _, c := range b.step(statemachine.Tick{}) {
			if s, ok := c.(statemachine.Send); ok && s.Message.Hello != nil && len(s.Message.Hello.RecoveredState) > 0 {
				told++
			}
		}
	}
	if most := int(span/tuning.RecoveredStateEvery) + 1; told == 0 || told > most {
		t.Errorf("told %d times in %v, at most %d are meant", told, span, most)
	}
}
