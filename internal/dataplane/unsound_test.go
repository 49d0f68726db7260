package dataplane

import (
	"myrtlefold/internal/shared/statemachine"
	"testing"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// A table whose configuration can't be read is not put in force: the proxy keeps the one it
// has, counts each refusal, reports the document once, and neither confirms the table nor
// takes a lease for it.
func TestUnsoundTableIsNotTaken(t *testing.T) {
	for name, doc := range map[string]string{
		"no JSON":    `{"services":`,
		"wrong type": `[]`,
		"invalid":    `{"services":{"s":{"cap":-1}}}`,
		"compressed": "\x28\xb5\x2f\xfd broken off",
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench("g1", 1, plain, to("a"))
			key, leaseUntil, reports := b.g.Table().Key, b.g.leaseUntil, 0
			b.now += tuning.PullEvery
			for range 3 {
				for _, cmd := range b.table(1, doc, to("z")) {
					if change, ok := cmd.(statemachine.StateChange); ok && change.Subject == "damage" {
						reports++
					}
				}
				b.ver-- // the leader sends the same one again
			}
			if b.g.Table().Key != key || b.g.leaseUntil != leaseUntil {
				t.Errorf("table %v, lease until %v", b.g.Table().Key, b.g.leaseUntil)
			}
			if b.g.Counts.InvalidTables != 3 || reports != 1 {
				t.Errorf("%d counted, %d reported", b.g.Counts.InvalidTables, reports)
			}
			if given, ok := b.admit(1).(statemachine.Forward); !ok || given.Target.Name != "a" {
				t.Errorf("not served by the table before: %v", given)
			}
			b.ver += 2
			b.table(1, plain, to("c"))
			if b.g.Table().Targets[0].Name != "c" || b.g.leaseUntil == leaseUntil {
				t.Error("a later sound table is not taken")
			}
		})
	}
}

// A first table that can't be read leaves the proxy cold, without a table.
func TestUnsoundFirstTable(t *testing.T) {
	b := newBench("g1", 1, `[]`, wire.Target{Service: "s", Name: "a", Incarnation: 1, State: wire.TargetReady})
	if b.g.State() != NoTable || b.g.Table() != nil || b.g.Counts.InvalidTables != 1 {
		t.Errorf("%v with %+v", b.g.State(), b.g.Counts)
	}
}
