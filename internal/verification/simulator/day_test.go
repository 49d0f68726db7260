package simulator

import (
	"testing"
	"time"
)

// Random runs with a control plane that was bootstrapped from seeds violate no rule.
func TestDaysOfBootstrappedControlPlanes(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 32; seed++ {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			p := Small
			p.ControlDaemons, p.Seeds = []int{3, 5, 7, 9}[seed%4], 3
			if seed%2 == 1 {
				p.CatchUp = testCatchUp
			}
			requireNoFailure(t, Day(seed, p, nil, 12, 25*time.Second))
		})
	}
}

// Random runs of the small fleet violate no rule. mfsim runs more seeds.
func TestDaysOfRandomFaults(t *testing.T) {
	t.Parallel()
	n := uint64(64)
	if testing.Short() {
		n = 8
	}
	for seed := uint64(1); seed <= n; seed++ {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			requireNoFailure(t, Day(seed, Small, nil, 12, 25*time.Second))
		})
	}
}

// Random runs violate no rule at any size of the control plane, even one that tolerates no loss of a member.
func TestDaysOfAnyControlPlaneSize(t *testing.T) {
	t.Parallel()
	for _, controlDaemons := range []int{1, 2, 4, 8, 11} {
		for seed := range uint64(2) {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				requireNoFailure(t, Day(100+seed, bootstrapPlan(controlDaemons, min(3, controlDaemons)), nil, 12, 25*time.Second))
			})
		}
	}
}
