package simulator

import (
	"fmt"
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
)

// isMemberWithDisk reports whether the leader counts a process as a member with the disk that it has now.
func (w *World) isMemberWithDisk(p *Process) bool {
	leader := w.Leader()
	if leader == nil {
		return false
	}
	for _, m := range leader.controller.Status(leader.localTime()).Members {
		if m.Name == p.name {
			return m.Disk == p.disk.image.Disk
		}
	}
	return false
}

// documentWithServices returns a configuration with the given number of random services in addition to those of the plan.
func (w *World) documentWithServices(number, services int) []byte {
	return w.editDocument(number, func(document map[string]any) {
		all := document["services"].(map[string]any)
		for i := range services {
			all[fmt.Sprintf("service-%d-%x", i, w.random.Uint32())] = map[string]any{"cap": 1 + w.random.IntN(90), "warm_cap": 1, "timeout_ms": 100 + w.random.IntN(5000), "body_max": 1 + w.random.IntN(1<<20)}
		}
	})
}

// putLargeConfigurations has operators send the leader a large configuration ten times a second for a while.
func (w *World) putLargeConfigurations(span time.Duration, services int) {
	for at := time.Duration(0); at < span; at += 100 * time.Millisecond {
		w.schedule(at, func() {
			if leader := w.Leader(); leader != nil {
				base := w.Revision()
				document := w.documentWithServices(w.random.IntN(1000), services)
				w.SendChange(leader, "PUT", "/v1/config", fmt.Sprintf("base=%d", base), document, configChange(base))
			}
		})
	}
}

// A member catches up over a link of 128 KiB a second while ten changes of about 30 KB a second go on: one that lost its
// disk receives the whole state and becomes a voter again, and one that only restarted receives what it missed. The
// leader stays the same, no rule is violated, and at least 150 changes are acknowledged meanwhile.
func TestMemberCatchesUpOverALimitedLink(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		w := Start(seed+1, Small)
		const services = 370
		if n := len(w.documentWithServices(1, services)); n < 25<<10 || n > 40<<10 {
			t.Fatalf("the document has %d bytes, want 25 to 40 KiB", n)
		}
		w.putLargeConfigurations(18*time.Second, services)
		w.Run(w.now + 4*time.Second)
		leader := w.Leader()
		if leader == nil {
			t.Fatalf("seed %d: no leader 4 s after the first large configuration: %s", seed, w.Failure)
		}
		p := w.followers()[0]
		w.Kill(p)
		if seed%2 == 0 {
			w.WipeDisk(p)
		}
		w.Run(w.now + 3*time.Second)
		w.limitLink(p, tuning.SlowLink)
		w.Restart(p)
		restartedAt := w.now
		caughtUp := func() bool {
			l := w.Leader()
			return l != nil && w.isMemberWithDisk(p) && p.controller.Revision()+10 >= l.controller.Revision()
		}
		for w.now < restartedAt+12*time.Second && !caughtUp() && w.Run(w.now+100*time.Millisecond) {
		}
		took := w.now - restartedAt
		if w.Failure != "" || !caughtUp() {
			l := w.Leader()
			t.Fatalf("seed %d: the member did not catch up (rule violation %q): is a member: %v, after %v, revision %d of %d", seed, w.Failure, w.isMemberWithDisk(p), took, p.controller.Revision(), l.controller.Revision())
		}
		w.Run(w.now + 3*time.Second)
		if w.Leader() != leader || w.Failure != "" {
			t.Errorf("seed %d: the leader changed or a rule was violated: %q", seed, w.Failure)
		}
		if !caughtUp() {
			t.Errorf("seed %d: the member fell behind again: revision %d of %d", seed, p.controller.Revision(), w.Revision())
		}
		w.Run(restartedAt + 16*time.Second)
		acknowledged := 0
		for _, c := range w.operators.changes {
			if c.state == changeAccepted {
				acknowledged++
			}
		}
		t.Logf("seed %d: caught up after %v; %d of %d changes were acknowledged", seed, took, acknowledged, len(w.operators.changes))
		if acknowledged < 150 {
			t.Errorf("seed %d: %d of %d changes were acknowledged, want at least 150", seed, acknowledged, len(w.operators.changes))
		}
	}
}
