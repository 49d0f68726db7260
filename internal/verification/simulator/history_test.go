package simulator

import (
	"fmt"
	"testing"
	"time"

	"myrtlefold/internal/shared/wire"
)

// changeWhileLeadersFail has operators send pairs of changes on one base to two members, each change again some time
// later, while leaders crash and are isolated, and read all the while.
func (w *World) changeWhileLeadersFail(pairs int) {
	w.StartReaders(40 * time.Millisecond)
	for i := range pairs {
		w.schedule(time.Duration(i)*700*time.Millisecond, func() {
			base := w.Revision()
			for k := range 2 {
				order := w.Document(100 + 2*i + k)
				for _, after := range []int{0, 400, 3000} {
					w.schedule(time.Duration(after)*time.Millisecond+w.randomMilliseconds(0, 20), func() {
						p := w.daemons(wire.ControlDaemon)[w.random.IntN(w.Plan.ControlDaemons)]
						w.call(p, "PUT", "/v1/config", fmt.Sprintf("base=%d", base), order, "", w.ignoreReply)
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
					w.isolate([]string{l.name}, 3*time.Second, true, true) // from the next leader's messages too
					w.Freeze(l, 2*time.Second)
				default:
					w.isolate([]string{l.name}, 2*time.Second, true, true)
				}
			})
		}
	}
	w.Run(w.now + time.Duration(pairs)*700*time.Millisecond + 8*time.Second)
}

// Changes and reads while leaders come and go are linearizable.
func TestRepliesAreLinearizable(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := Start(seed, Small)
		w.changeWhileLeadersFail(16)
		w.CheckHistory()
		requireNoFailure(t, w)
		if n := w.checks.history.Len(); n < 300 {
			t.Errorf("seed %d: %d calls only", seed, n)
		}
	}
}

// A process that stands still between a step and its commands, for
// longer than any lease, gives an operator a late but true reply and binds no proxy: what was
// decided held at a moment after the call had come, and leases count from the proxy's own
// timestamp.
func TestLateRepliesAreTrueAndLateLeasesBindNobody(t *testing.T) {
	t.Parallel()
	late := 0
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
		late += w.Stats.DelayedSteps
	}
	if late < 60 {
		t.Errorf("%d steps were told late only", late)
	}
}

// With a guard of the control plane disabled the history is not linearizable any more: a check
// that can't fail is none.
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
			t.Error("10 seeds were linearizable")
		})
	}
}
