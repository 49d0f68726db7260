package simulator

import (
	"slices"
	"testing"
	"time"
)

// Each scene causes the failure that threatens its rules, and no rule is broken.
func TestScenesBreakNoRule(t *testing.T) {
	t.Parallel()
	for _, s := range Scenes {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			caused := 0
			for seed := range uint64(3) {
				w := s.Run(seed+1, Small, false)
				requireNoFailure(t, w)
				caused += s.Occurrences(&w.Stats)
			}
			if caused < 3 {
				t.Errorf("the failure occurred %d times in 3 runs, want at least 3", caused)
			}
		})
	}
}

// Each rule's check must fail once the guard of its scene is disabled: a check that can't fail tests nothing.
func TestDisabledGuardsBreakTheirRules(t *testing.T) {
	t.Parallel()
	for _, s := range Scenes {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			var seen []string
			for seed := range uint64(30) {
				w := s.Run(seed+1, Small, true)
				if s.ShownBy(w) {
					t.Logf("seed %d: %s", w.Seed, w.Failure)
					return
				}
				if w.Failure != "" {
					seen = append(seen, w.Failure)
				}
			}
			t.Errorf("with the guard %q disabled, 30 seeds did not break %q; other failures: %q", s.DisabledGuard, s.RuleNames(), seen)
		})
	}
}

// Each kind of fault may reduce availability only so far: without such bounds a system that rejects everything would
// pass, as it breaks no rule. Bounded are the share of requests that are not served, the longest time in which some
// service gives no response, and, where a change can be made at all, the time until it is in force. The bounds are about
// a third above the worst of 6 seeds (docs/measured.md).
func TestFaultsLeaveTheServiceAvailable(t *testing.T) {
	t.Parallel()
	unserved := map[string]float64{ // percent of the requests; 0.6 for faults not listed
		"service removed, its addresses handed over": 22, "service loses answers": 20, "power fails everywhere": 12,
		"service comes back cold": 4, "domain cut off": 2.5, "gate cut one way": 2, "address handed over": 2, "gate isolated": 2, "all proxies forget": 1.5,
		"target loses answers": 2, "gate frozen with work in hand": 1.2}
	gap := map[string]time.Duration{ // 800 ms for faults not listed
		"service removed, its addresses handed over": 10 * time.Second, "service loses answers": 10 * time.Second,
		"power fails everywhere": 4 * time.Second, "service comes back cold": 1500 * time.Millisecond, "all proxies forget": 1200 * time.Millisecond}
	// In these there is no leader, no majority of proxies, or a leader that can't be told from a healthy one until its
	// lease expires: the reply to a change may be late, or 'unknown'.
	slow := []string{"power fails everywhere", "core herd killed", "gate herd killed", "core gone for long, service rolled", "core cut off from proxies",
		"a majority's disks stall", "net loses and delays", "leader isolated", "core split", "domain cut off"}
	// Most of the control plane is frozen for up to 20 s, or is killed, isolated and stalled at once, so no change can be
	// agreed on. Proxies serve on, so the bounds of the service hold.
	slow = append(slow, "core frozen by twos and threes", "core hurt by twos and threes")
	for _, f := range Faults {
		t.Run(f.Name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				r := MeasureAvailability(seed+1, Small, f)
				if r.Failure != "" {
					t.Error(r.Failure)
				}
				if limit := max(0.6, unserved[f.Name]); 100*r.UnservedShare() > limit {
					t.Errorf("seed %d: %.2f %% not served, limit %v %%: %d rejected, %d failed, %d without response of %d", seed+1, 100*r.UnservedShare(), limit, r.Rejected, r.Failed, r.Abandoned, r.Requests)
				}
				if limit := max(800*time.Millisecond, gap[f.Name]); r.LongestGap > limit {
					t.Errorf("seed %d: no response from some service for %v, limit %v", seed+1, r.LongestGap, limit)
				}
				if !slices.Contains(slow, f.Name) && (r.Outcome != "in force" || r.ChangeLatency > 2*time.Second) {
					t.Errorf("seed %d: a change was %q after %v, want it in force within 2 s", seed+1, r.Outcome, r.ChangeLatency)
				}
			}
		})
	}
}
