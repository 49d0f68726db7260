package dataplane

import (
	"strings"
	"testing"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
)

// TargetsChanged carries the configuration's limits for callers with each table, and nil once a later
// configuration has none.
func TestLimitsFollowTheConfiguration(t *testing.T) {
	reported := func(commands []statemachine.Command) *config.Limits {
		for _, c := range commands {
			if changed, ok := c.(statemachine.TargetsChanged); ok {
				return changed.Limits
			}
		}
		t.Fatalf("no TargetsChanged among %+v", commands)
		return nil
	}
	proxy := newTestProxy("g1", 1, ruleConfig, readyTarget("a"))
	if limits := reported(proxy.sendTable(1, strings.Replace(ruleConfig, "{", `{"limits":{"header_bytes":99,"idle_ms":7},`, 1), readyTarget("a"))); limits == nil || *limits != (config.Limits{HeaderBytes: 99, IdleMs: 7}) {
		t.Fatalf("got limits %+v, want header_bytes 99 and idle_ms 7", limits)
	}
	if limits := reported(proxy.sendTable(1, ruleConfig, readyTarget("a"))); limits != nil {
		t.Fatalf("got limits %+v of an earlier configuration, want none", *limits)
	}
}
