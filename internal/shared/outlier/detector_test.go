package outlier

import (
	"strings"
	"testing"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

func probeEvent(at time.Duration, name string, ok bool) Event {
	return Event{At: at, Signal: "probe", Service: "s", Name: name, Incarnation: 1, Success: ok, Milliseconds: 1}
}

func decisionKinds(ds []Decision) string {
	var l []string
	for _, d := range ds {
		l = append(l, d.Policy+" "+string(d.Kind))
	}
	return strings.Join(l, ",")
}

func detectorWith(ps map[string]config.Policy) *Detector {
	detector := New()
	detector.Replace(&config.Config{Policies: ps})
	return detector
}

// One missed health check has no effect and two in a row eject the target. An answered check ends the ejection;
// without further events it expires after tuning.EjectionTTL.
func TestDefaultPolicyEjectsAfterTwoMisses(t *testing.T) {
	detector := detectorWith(nil)
	id := wire.TargetID{Service: "s", Name: "a", Incarnation: 1}
	s := time.Second
	for i, c := range []struct {
		at      time.Duration
		ok      bool
		want    string
		ejected bool
	}{
		{1 * s, true, "", false}, {2 * s, false, "", false}, {3 * s, true, "", false}, {4 * s, false, "", false},
		{5 * s, false, "default bar", true}, {6 * s, false, "", true}, {7 * s, true, "default clear", false},
		{8 * s, false, "", false}, {9 * s, false, "default bar", true},
	} {
		got := decisionKinds(detector.Step(probeEvent(c.at, "a", c.ok)))
		until, _ := detector.Ejected(c.at, id)
		if got != c.want || until > c.at != c.ejected {
			t.Fatalf("step %d: decisions %q, want %q; ejected until %v, want ejected: %v", i, got, c.want, until, c.ejected)
		}
	}
	if got := decisionKinds(detector.Tick(9*s + tuning.EjectionTTL - 1)); got != "" {
		t.Fatalf("decisions %q just before the ejection expires, want none", got)
	}
	if got := decisionKinds(detector.Tick(9*s + tuning.EjectionTTL)); got != "default lapse" {
		t.Fatalf("decisions %q when the ejection expires, want default lapse", got)
	}
	if until, _ := detector.Ejected(9*s+tuning.EjectionTTL, id); until != 0 {
		t.Fatalf("ejected until %v after the ejection expired, want 0", until)
	}
}

// A policy whose evaluation fails decides nothing, the failure is counted, and its earlier decision expires.
func TestFailedEvaluationDecidesNothing(t *testing.T) {
	detector := detectorWith(map[string]config.Policy{"odd": {Signal: "exchange", When: "count % errors == 0", Decide: "bar", TTLMs: 1000, Mode: "live"}})
	e := Event{At: time.Second, Signal: "exchange", Service: "s", Name: "a", Incarnation: 1, Count: 4, Errors: 2}
	if got := decisionKinds(detector.Step(e)); got != "odd bar" {
		t.Fatalf("decisions %q when the condition is met, want odd bar", got)
	}
	e.At, e.Errors = 12*time.Second, 0 // the first event is older than requestWindow: modulo by zero
	if got := decisionKinds(detector.Step(e)); got != "" {
		t.Fatalf("decisions %q after a failed evaluation, want none", got)
	}
	if s := detector.Stats()["odd"]; s.Failed != 1 || s.Error == "" {
		t.Fatalf("stats %+v, want one failed evaluation and its error", s)
	}
	if got := decisionKinds(detector.Tick(12 * time.Second)); got != "odd lapse" {
		t.Fatalf("decisions %q when the earlier ejection expires, want odd lapse", got)
	}
}

// A changed policy keeps its ejections, a removed policy loses them, and decisions of a shadow policy have no
// effect, also after the policy becomes live.
func TestReplaceKeepsDecisions(t *testing.T) {
	p := config.Policy{Signal: "probe", When: "missed >= 1", Decide: "bar", TTLMs: 60000, Mode: "live"}
	shadow := p
	shadow.Mode = "shadow"
	id := wire.TargetID{Service: "s", Name: "a", Incarnation: 1}
	detector := detectorWith(map[string]config.Policy{"p": p, "q": shadow})
	ds := detector.Step(probeEvent(1, "a", false))
	if decisionKinds(ds) != "p bar,q bar" || ds[0].Shadow || !ds[1].Shadow {
		t.Fatalf("decisions %+v, want an ejection by p and a shadow ejection by q", ds)
	}
	if _, why := detector.Ejected(2, id); why != "p" {
		t.Fatalf("ejected by policy %q, want p", why)
	}
	p.When = "missed >= 5"
	detector.Replace(&config.Config{Policies: map[string]config.Policy{"p": p, "q": shadow}})
	if _, why := detector.Ejected(3, id); why != "p" {
		t.Fatalf("after the condition of policy p changed, the target is ejected by policy %q, want p", why)
	}
	detector.Replace(&config.Config{Policies: map[string]config.Policy{"q": shadow}})
	if _, why := detector.Ejected(4, id); why != "" {
		t.Fatalf("after policy p was removed, the target is ejected by policy %q, want none", why)
	}
	shadow.Mode = "live"
	detector.Replace(&config.Config{Policies: map[string]config.Policy{"q": shadow}})
	if _, why := detector.Ejected(5, id); why != "" {
		t.Fatal("a decision made in shadow mode took effect when the policy became live")
	}
}
