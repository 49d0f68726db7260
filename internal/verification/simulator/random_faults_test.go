package simulator

import (
	"testing"
	"time"
)

// Runs of random faults violate no rule if the control plane was bootstrapped by seed nodes.
func TestRandomFaultsAfterSeedNodeBootstrap(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 32; seed++ {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			p := Small
			p.ControlDaemons, p.SeedNodes = []int{3, 5, 7, 9}[seed%4], 3
			if seed%2 == 1 {
				p.CatchUp = testCatchUp
			}
			requireNoFailure(t, RunRandomFaults(seed, p, nil, 12, 25*time.Second))
		})
	}
}

// Runs of random faults violate no rule in the small fleet. mfsim runs more random seeds.
func TestRandomFaultsBreakNoRule(t *testing.T) {
	t.Parallel()
	n := uint64(64)
	if testing.Short() {
		n = 8
	}
	for seed := uint64(1); seed <= n; seed++ {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			requireNoFailure(t, RunRandomFaults(seed, Small, nil, 12, 25*time.Second))
		})
	}
}

// TestCrashedTargetGetsNoRequestsAfterElection guards against requests to a target that crashed while there was no leader, sent by
// a proxy that follows the next leader's first table.
func TestCrashedTargetGetsNoRequestsAfterElection(t *testing.T) {
	t.Parallel()
	const seed = 21705
	requireNoFailure(t, RunRandomFaults(seed, Small, nil, 12, 25*time.Second))
}

// Runs of random faults violate no rule at any size of the control plane, even one that tolerates no loss of a member.
func TestRandomFaultsAtAnyControlPlaneSize(t *testing.T) {
	t.Parallel()
	for _, controlDaemons := range []int{1, 2, 4, 8, 11} {
		for seed := range uint64(2) {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				requireNoFailure(t, RunRandomFaults(100+seed, bootstrapPlan(controlDaemons, min(3, controlDaemons)), nil, 12, 25*time.Second))
			})
		}
	}
}
