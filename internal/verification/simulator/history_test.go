package simulator

import (
	"fmt"
	"testing"
	"time"

	"myrtlefold/internal/shared/wire"
)

// changeWhileLeadersFail has operators read the configuration and send pairs of changes on the same base, each change
// three times to random control daemons, while leaders crash, freeze and are isolated.
func (w *World) changeWhileLeadersFail(pairs int) {
	w.StartReaders(40 * time.Millisecond)
	for i := range pairs {
		w.schedule(time.Duration(i)*700*time.Millisecond, func() {
			base := w.Revision()
			for k := range 2 {
				document := w.Document(100 + 2*i + k)
				for _, delay := range []int{0, 400, 3000} {
					w.schedule(time.Duration(delay)*time.Millisecond+w.randomMilliseconds(0, 20), func() {
						p := w.daemons(wire.ControlDaemon)[w.random.IntN(w.Plan.ControlDaemons)]
						w.call(p, "PUT", "/v1/config", fmt.Sprintf("base=%d", base), document, "", w.ignoreReply)
					})
				}
			}
		})
		if i%4 == 3 {
			w.schedule(time.Duration(i)*700*time.Millisecond+w.randomMilliseconds(0, 40), func() {
				l := w.Leader()
				switch {
				case l == nil:
				case i%12 == 11:
					l.pauseAfterStep = 2 * time.Second
				case i%8 == 3:
					w.Kill(l)
					w.schedule(1500*time.Millisecond, func() { w.Restart(l) })
				case i%12 == 7:
					w.isolate([]string{l.name}, 3*time.Second, true, true) // it receives no message of the next leader either
					w.Freeze(l, 2*time.Second)
				default:
					w.isolate([]string{l.name}, 2*time.Second, true, true)
				}
			})
		}
	}
	w.Run(w.now + time.Duration(pairs)*700*time.Millisecond + 8*time.Second)
}

// Changes and reads are linearizable while leaders fail.
func TestRepliesAreLinearizable(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := Start(seed, Small)
		w.changeWhileLeadersFail(16)
		w.CheckHistory()
		requireNoFailure(t, w)
		if n := w.checks.history.Len(); n < 300 {
			t.Errorf("seed %d: the history has %d calls, want at least 300", seed, n)
		}
	}
}

// A leader may freeze, for longer than any lease, after it has decided and before it has sent its replies and leases.
// Each late reply to an operator must describe a state that was current at some moment after the call arrived. The late
// leases must have no effect, since a lease runs from the proxy's own timestamp.
func TestLateRepliesAndLeasesAreSafe(t *testing.T) {
	t.Parallel()
	delayed := 0
	for seed := range uint64(12) {
		w := Start(seed, Small)
		w.StartReaders(40 * time.Millisecond)
		for i := range 10 {
			w.schedule(time.Duration(i)*1500*time.Millisecond, func() {
				if l := w.Leader(); l != nil {
					l.pauseAfterStep = w.randomMilliseconds(300, 4000)
					base := w.Revision()
					for k := range 2 {
						w.call(w.daemons(wire.ControlDaemon)[(i+k)%w.Plan.ControlDaemons], "PUT", "/v1/config", fmt.Sprintf("base=%d", base), w.Document(100+2*i+k), "", w.ignoreReply)
					}
				}
			})
			w.schedule(time.Duration(i)*1500*time.Millisecond+900*time.Millisecond, func() {
				if l := w.Leader(); l != nil {
					w.PutConfig(l, w.Revision(), 300+i)
				}
			})
		}
		w.Run(w.now + 25*time.Second)
		w.CheckHistory()
		w.CheckAcknowledgedChanges()
		requireNoFailure(t, w)
		delayed += w.Stats.DelayedSteps
	}
	if delayed < 60 {
		t.Errorf("the commands of %d steps were delayed, want at least 60", delayed)
	}
}

// With any of these guards of the control plane disabled, the history of at least one of 10 seeds is not linearizable.
func TestDisabledGuardsBreakLinearizability(t *testing.T) {
	t.Parallel()
	for _, disabled := range []Guard{guardReadsAtLeader, guardMajorityBeforeReply, guardIdempotentChanges, guardFreshClock} {
		t.Run(string(disabled), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(10) {
				w := Start(seed, Small)
				w.disabledGuard = disabled
				w.changeWhileLeadersFail(16)
				if err := w.checks.history.Check(); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("the histories of all 10 seeds were linearizable with the guard disabled, want at least one that is not")
		})
	}
}
