package simulator

import (
	"fmt"
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// faultSpan is how long a member's fault lasts.
const faultSpan = 20 * time.Second

// A control daemon, leader or follower, is isolated in one or both directions, frozen, slow, or has a stalled disk.
// Meanwhile it must neither return an outdated configuration nor report a change as accepted or rejected: it replies
// 503 or 504, unless it can forward calls to the leader. After the fault it takes part again and the leader still leads.
func TestFaultyMemberGivesNoStaleReply(t *testing.T) {
	t.Parallel()
	for _, fault := range []struct {
		name    string
		inject  func(w *World, p *Process)
		allowed allowance
	}{
		{"isolated", func(w *World, p *Process) { w.isolate([]string{p.name}, faultSpan, true, true) }, allowance{}},
		{"sends nothing", func(w *World, p *Process) { w.isolate([]string{p.name}, faultSpan, true, false) }, allowance{}},
		{"receives nothing", func(w *World, p *Process) { w.isolate([]string{p.name}, faultSpan, false, true) }, allowance{}},
		{"frozen", func(w *World, p *Process) { w.Freeze(p, faultSpan) }, allowance{}},
		{"disk stalls", func(w *World, p *Process) { w.StallDisk(p, faultSpan) }, allowance{forward: true}},
		{"slow", func(w *World, p *Process) { w.slowProcess(p, slowMachineFactor, faultSpan) }, allowance{forward: true, lead: true}},
	} {
		for _, leads := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, leads %v", fault.name, leads), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(3) {
					w := Start(seed, Small)
					for _, violation := range w.violationsDuringFault(t, leads, fault.inject, fault.allowed) {
						t.Errorf("seed %d: %s", seed, violation)
					}
					requireNoFailure(t, w)
				}
			})
		}
	}
}

// The check of TestFaultyMemberGivesNoStaleReply fails if an isolated member answers reads from its own state.
func TestCheckOfFaultyMemberCanFail(t *testing.T) {
	t.Parallel()
	w := Start(1, Small)
	w.disabledGuard = guardReadsAtLeader
	violations := w.violationsDuringFault(t, false, func(w *World, p *Process) { w.isolate([]string{p.name}, faultSpan, true, true) }, allowance{})
	if len(violations) == 0 {
		t.Error("an isolated member answered reads from its own state, and the check found no violation")
	}
}

// allowance is what a faulty member that still receives messages may do.
type allowance struct {
	forward bool // forward calls to the leader, and so reply other than 503 and 504
	lead    bool // keep leadership
}

// violationsDuringFault injects a fault into the leader or a follower, sends it calls during the fault, and returns what
// the member or the control plane did wrong.
func (w *World) violationsDuringFault(t *testing.T, leads bool, inject func(*World, *Process), allowed allowance) (violations []string) {
	violation := func(format string, a ...any) { violations = append(violations, fmt.Sprintf(format, a...)) }
	w.StartReaders(100 * time.Millisecond)
	p := w.Leader()
	if !leads {
		p = w.followers()[w.Seed%2]
	}
	begin := w.now
	inject(w, p)
	replies := map[int]int{}
	call := func(method, path, query string, body []byte) {
		sentAt := w.now
		w.call(p, method, path, query, body, "", func(r statemachine.Reply) {
			// Calls in the first second are not checked: the fault may not have been detected yet, and the lease may not have ended.
			if sentAt-begin > time.Second && w.now-begin < faultSpan {
				replies[r.Status]++
			}
		})
	}
	base := w.Revision()
	for i := range 60 {
		w.schedule(time.Duration(i)*faultSpan/60, func() {
			call("GET", "/v1/config", "", nil)
			call("PUT", "/v1/config", fmt.Sprintf("base=%d", base), w.Document(1000+i))
			if l := w.Leader(); l != nil && l != p {
				w.call(l, "PUT", "/v1/config", fmt.Sprintf("base=%d", w.Revision()), w.Document(2000+i), "", w.ignoreReply)
			}
		})
	}
	w.Run(begin + faultSpan - time.Millisecond)
	l := w.Leader()
	if l == nil || l == p && leads && !allowed.lead {
		return append(violations, "no other member leads at the end of the fault")
	}
	term := l.controller.Term()
	for status, n := range replies {
		if status != 503 && status != 504 && !allowed.forward {
			violation("replied with status %d %d times, want only 503 and 504", status, n)
		}
	}
	if len(replies) == 0 && !p.frozen {
		violation("replied to no call")
	}
	w.Run(begin + faultSpan + 8*time.Second)
	if now := w.Leader(); now != l || now.controller.Term() != term {
		violation("%s does not lead in term %d any more after the fault", l.name, term)
	}
	if r, _ := w.callAndWait(t, p, "GET", "/v1/config", "", "", ""); r.Status != 200 || p.controller.Revision() != l.controller.Revision() {
		violation("after the fault, replies with status %d and has revision %d, want 200 and %d", r.Status, p.controller.Revision(), l.controller.Revision())
	}
	if err := w.checks.history.Check(); err != nil {
		violation("%v", err)
	}
	w.CheckAcknowledgedChanges()
	return violations
}

// A member that cannot reach the leader must not acknowledge a target's report, so that the target sends it to another
// member.
func TestReportToIsolatedMemberIsNotAcknowledged(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := Start(seed, Small)
		p := w.followers()[seed%2]
		report := `{"service":"fares","name":"new","incarnation":9,"address":"10.9.9.9:80","domain":"d1","state":"ready"}`
		if r, _ := w.callAndWait(t, p, "POST", "/v1/targets", "", report, ""); r.Status != 202 {
			t.Errorf("seed %d: status %d before the isolation, want 202", seed, r.Status)
		}
		w.isolate([]string{p.name}, faultSpan, true, false)
		w.Run(w.now + 5*tuning.HelloEvery)
		if r, _ := w.callAndWait(t, p, "POST", "/v1/targets", "", report, ""); r.Status != 503 {
			t.Errorf("seed %d: status %d while isolated, want 503", seed, r.Status)
		}
		w.Run(w.now + faultSpan)
		if r, _ := w.callAndWait(t, p, "POST", "/v1/targets", "", report, ""); r.Status != 202 {
			t.Errorf("seed %d: status %d after the isolation, want 202", seed, r.Status)
		}
		requireNoFailure(t, w)
	}
}

// A call that was forwarded to a leader that crashed is forwarded again once there is a leader, also if that is the same
// member after a restart.
func TestForwardedCallSurvivesCrashOfLeader(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		w := Start(seed, Small)
		l, p := w.Leader(), w.followers()[seed%2]
		w.Kill(l)
		var reply statemachine.Reply
		w.call(p, "PUT", "/v1/config", "base=1", w.Document(2), "", func(r statemachine.Reply) { reply = r })
		w.Run(w.now + w.randomMilliseconds(30, 200))
		w.Restart(l)
		w.Run(w.now + 4*time.Second)
		if reply.Status != 200 {
			t.Errorf("seed %d: the forwarded call got status %d, want 200: %s", seed, reply.Status, reply.Body)
		}
		requireNoFailure(t, w)
	}
}
