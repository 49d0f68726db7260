package wire

import (
	"fmt"
	"testing"
)

// pushOfTargets returns a push with a table of n targets in nine services and three domains, and of six
// proxies. It has no document, since most pushes omit it.
func pushOfTargets(n int) *Message {
	t := &Table{Key: TableKey{1, 2, 3}, StateIndex: 4, Revision: 5, State: []byte(`{"admitted":true}`)}
	for i := range 6 {
		t.Proxies = append(t.Proxies, Proxy{fmt.Sprint("gate-", i), fmt.Sprintf("10.0.0.%d:9000", i), fmt.Sprint("domain-", i%3), true})
	}
	for i := range n {
		t.Targets = append(t.Targets, Target{Service: fmt.Sprint("service-", i*9/n), Name: fmt.Sprintf("service-%d-%d", i*9/n, i),
			Incarnation: uint64(1000 + i), Addr: fmt.Sprintf("10.0.%d.%d:8080", i/200, i%200), Domain: fmt.Sprint("domain-", i%3),
			State: "ready", Demand: 0.25, HasDemand: true, Heartbeating: true, ShareOffset: uint32(i), Slots: 8, Number: uint64(i)})
	}
	return &Message{Kind: KindPush, From: "core-1", To: "gate-2", Disk: 7, Epoch: 1, Term: 2, Timestamp: 9,
		Push: &Push{LeaseGranted: true, Key: t.Key, Table: t}}
}

// pullOfStats returns a pull with statistics for n targets.
func pullOfStats(n int) *Message {
	p := &Pull{Self: Daemon{Name: "gate-2", Kind: "gate", Domain: "domain-1", Addr: "10.0.0.2:9000", HTTP: "10.0.0.2:80",
		Incarnation: 3, Ready: true, State: "serving"}, Key: TableKey{1, 2, 3}, Revision: 5, StateIndex: 4}
	for i := range n {
		p.Stats = append(p.Stats, TargetStats{Service: fmt.Sprint("service-", i*9/n), Name: fmt.Sprintf("service-%d-%d", i*9/n, i),
			Incarnation: uint64(1000 + i), Successes: 40, TotalMs: 120, Demand: 0.25, HasDemand: true})
	}
	return &Message{Kind: KindPull, From: "gate-2", To: "core-1", Timestamp: 9, Pull: p}
}

func BenchmarkWire(b *testing.B) {
	for _, c := range []struct {
		name string
		m    *Message
	}{{"table36", pushOfTargets(36)}, {"table300", pushOfTargets(300)}, {"pull36", pullOfStats(36)}} {
		bytes, err := Encode(c.m)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(c.name+"/encode", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Encode(c.m); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(c.name+"/decode", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Decode(bytes); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
