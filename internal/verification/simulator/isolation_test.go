package simulator

import (
	"fmt"
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// faultSpan is for how long a member has its fault.
const faultSpan = 20 * time.Second

// A control daemon is isolated for twenty seconds, either way or one way, stands still, is
// slow or has a disk that stalls, leader or not: callers get from it meanwhile neither an old
// configuration nor a reply that anything was agreed or rejected, only that it can't tell. When it
// is back, it takes part again and the leader of the time goes on leading.
func TestFaultyMemberClaimsNothingItCannotKnow(t *testing.T) {
	t.Parallel()
	for _, fault := range []struct {
		name   string
		inject func(w *World, p *Process)
		may    allowance
	}{
		{"isolated", func(w *World, p *Process) { w.isolate([]string{p.name}, faultSpan, true, true) }, allowance{}},
		{"sends nothing", func(w *World, p *Process) { w.isolate([]string{p.name}, faultSpan, true, false) }, allowance{}},
		{"receives nothing", func(w *World, p *Process) { w.isolate([]string{p.name}, faultSpan, false, true) }, allowance{}},
		{"frozen", func(w *World, p *Process) { w.Freeze(p, faultSpan) }, allowance{}},
		{"disk stalls", func(w *World, p *Process) { w.StallDisk(p, faultSpan) }, allowance{forward: true}},
		{"slow", func(w *World, p *Process) { w.slowProcess(p, slowMachine, faultSpan) }, allowance{forward: true, lead: true}},
	} {
		for _, leads := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, leads %v", fault.name, leads), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(3) {
					w := Start(seed, Small)
					for _, wrong := range w.injectOnce(t, leads, fault.inject, fault.may) {
						t.Errorf("seed %d: %s", seed, wrong)
					}
					requireNoFailure(t, w)
				}
			})
		}
	}
}

// The same check fails for a member that answers reads from its own state.
func TestCheckOfFaultyMemberCanFail(t *testing.T) {
	t.Parallel()
	w := Start(1, Small)
	w.disabledGuard = guardReadsAtLeader
	faults := w.injectOnce(t, false, func(w *World, p *Process) { w.isolate([]string{p.name}, faultSpan, true, true) }, allowance{})
	if len(faults) == 0 {
		t.Error("a member that is cut off answered reads, and nothing was seen")
	}
}

// allowance is what a faulty member may go on with, since it still receives messages.
type allowance struct {
	forward bool // calls to the leader
	lead    bool
}

// injectOnce injects a fault into a member once and lists what was wrong.
func (w *World) injectOnce(t *testing.T, leads bool, inject func(*World, *Process), may allowance) (faults []string) {
	wrong := func(f string, a ...any) { faults = append(faults, fmt.Sprintf(f, a...)) }
	w.StartReaders(100 * time.Millisecond)
	p := w.Leader()
	if !leads {
		p = w.followers()[w.Seed%2]
	}
	begin := w.now
	inject(w, p)
	replies := map[int]int{}
	ask := func(method, path, query string, body []byte) {
		asked := w.now
		w.call(p, method, path, query, body, "", func(r statemachine.Reply) {
			// Calls before the loss can be noticed, and while the lease of the time may run, do not count.
			if asked-begin > time.Second && w.now-begin < faultSpan {
				replies[r.Status]++
			}
		})
	}
	base := w.Revision()
	for i := range 60 {
		w.schedule(time.Duration(i)*faultSpan/60, func() {
			ask("GET", "/v1/config", "", nil)
			ask("PUT", "/v1/config", fmt.Sprintf("base=%d", base), w.Document(1000+i))
			if l := w.Leader(); l != nil && l != p {
				w.call(l, "PUT", "/v1/config", fmt.Sprintf("base=%d", w.Revision()), w.Document(2000+i), "", w.ignoreReply)
			}
		})
	}
	w.Run(begin + faultSpan - time.Millisecond)
	l := w.Leader()
	if l == nil || l == p && leads && !may.lead {
		return append(faults, "no other leader")
	}
	term := l.controller.Term()
	for status, n := range replies {
		if status != 503 && status != 504 && !may.forward {
			wrong("it answered %d %d times", status, n)
		}
	}
	if len(replies) == 0 && !p.frozen {
		wrong("it answered nothing")
	}
	w.Run(begin + faultSpan + 8*time.Second)
	if now := w.Leader(); now != l || now.controller.Term() != term {
		wrong("%s was unseated", l.name)
	}
	if r, _ := w.callAndWait(t, p, "GET", "/v1/config", "", "", ""); r.Status != 200 || p.controller.Revision() != l.controller.Revision() {
		wrong("back, it answers %d and has revision %d of %d", r.Status, p.controller.Revision(), l.controller.Revision())
	}
	if err := w.checks.history.Check(); err != nil {
		wrong("%v", err)
	}
	w.CheckAcknowledgedChanges()
	return faults
}

// A target's report to a member that does not reach the leader is not acknowledged: its
// caller goes on to another member.
func TestReportToIsolatedMemberIsNotAcknowledged(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := Start(seed, Small)
		p := w.followers()[seed%2]
		word := `{"service":"fares","name":"new","incarnation":9,"address":"10.9.9.9:80","domain":"d1","state":"ready"}`
		if r, _ := w.callAndWait(t, p, "POST", "/v1/targets", "", word, ""); r.Status != 202 {
			t.Errorf("seed %d: before: %d", seed, r.Status)
		}
		w.isolate([]string{p.name}, faultSpan, true, false)
		w.Run(w.now + 5*tuning.HelloEvery)
		if r, _ := w.callAndWait(t, p, "POST", "/v1/targets", "", word, ""); r.Status != 503 {
			t.Errorf("seed %d: unheard: %d", seed, r.Status)
		}
		w.Run(w.now + faultSpan)
		if r, _ := w.callAndWait(t, p, "POST", "/v1/targets", "", word, ""); r.Status != 202 {
			t.Errorf("seed %d: after: %d", seed, r.Status)
		}
		requireNoFailure(t, w)
	}
}

// A call that was forwarded to a leader whose process ended is forwarded again when the next
// one leads, also if that is a later process of the same name.
func TestCallOutlivesLeadersProcess(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		w := Start(seed, Small)
		l, p := w.Leader(), w.followers()[seed%2]
		w.Kill(l)
		var got statemachine.Reply
		w.call(p, "PUT", "/v1/config", "base=1", w.Document(2), "", func(r statemachine.Reply) { got = r })
		w.Run(w.now + w.randomMilliseconds(30, 200))
		w.Restart(l)
		w.Run(w.now + 4*time.Second)
		if got.Status != 200 {
			t.Errorf("seed %d: %d %s", seed, got.Status, got.Body)
		}
		requireNoFailure(t, w)
	}
}
