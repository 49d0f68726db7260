package dataplane

import (
	"strings"
	"testing"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
)

// The configuration's limits for callers are in the command with each table, and no longer when a later
// configuration has none.
func TestLimitsFollowTheConfiguration(t *testing.T) {
	reported := func(commands []statemachine.Command) *config.Limits {
		for _, c := range commands {
			if x, ok := c.(statemachine.TargetsChanged); ok {
				return x.Limits
			}
		}
		t.Fatalf("%+v has no targets", commands)
		return nil
	}
	proxy := newTestProxy("g1", 1, ruleConfig, readyTarget("a"))
	if l := reported(proxy.table(1, strings.Replace(ruleConfig, "{", `{"limits":{"header_bytes":99,"idle_ms":7},`, 1), readyTarget("a"))); l == nil || *l != (config.Limits{HeaderBytes: 99, IdleMs: 7}) {
		t.Fatal(l)
	}
	if l := reported(proxy.table(1, ruleConfig, readyTarget("a"))); l != nil {
		t.Fatal(*l)
	}
}
