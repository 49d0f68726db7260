package dataplane

import (
	"testing"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// A table whose configuration is invalid is not applied. The proxy keeps its table, counts each rejection,
// reports each invalid configuration once, and neither confirms the table nor accepts a lease for it.
func TestInvalidTableIsNotApplied(t *testing.T) {
	for name, document := range map[string]string{
		"no JSON":    `{"services":`,
		"wrong type": `[]`,
		"invalid":    `{"services":{"s":{"cap":-1}}}`,
		"compressed": "\x28\xb5\x2f\xfd broken off",
	} {
		t.Run(name, func(t *testing.T) {
			proxy := newTestProxy("g1", 1, ruleConfig, readyTarget("a"))
			key, leaseUntil, reports := proxy.machine.Table().Key, proxy.machine.leaseUntil, 0
			proxy.now += tuning.PullEvery
			for range 3 {
				for _, cmd := range proxy.sendTable(1, document, readyTarget("z")) {
					if change, ok := cmd.(statemachine.StateChange); ok && change.Subject == "damage" {
						reports++
					}
				}
				proxy.version-- // the leader sends the same table again
			}
			if proxy.machine.Table().Key != key || proxy.machine.leaseUntil != leaseUntil {
				t.Errorf("want the table and lease unchanged, got table %v, lease until %v", proxy.machine.Table().Key, proxy.machine.leaseUntil)
			}
			if proxy.machine.Counts.InvalidTables != 3 || reports != 1 {
				t.Errorf("%d rejections counted and %d reported, want 3 and 1", proxy.machine.Counts.InvalidTables, reports)
			}
			if forwarded, ok := proxy.admit(1).(statemachine.Forward); !ok || forwarded.Target.Name != "a" {
				t.Errorf("got %+v, want a forward to target a of the previous table", forwarded)
			}
			proxy.version += 2
			proxy.sendTable(1, ruleConfig, readyTarget("c"))
			if proxy.machine.Table().Targets[0].Name != "c" || proxy.machine.leaseUntil == leaseUntil {
				t.Error("a later valid table was not applied, or the lease for it was not accepted")
			}
		})
	}
}

// A proxy whose first table is invalid still has no table.
func TestInvalidFirstTable(t *testing.T) {
	proxy := newTestProxy("g1", 1, `[]`, wire.Target{Service: "s", Name: "a", Incarnation: 1, State: wire.TargetReady})
	if proxy.machine.State() != NoTable || proxy.machine.Table() != nil || proxy.machine.Counts.InvalidTables != 1 {
		t.Errorf("want state NoTable and 1 invalid table, got %v with %+v", proxy.machine.State(), proxy.machine.Counts)
	}
}
