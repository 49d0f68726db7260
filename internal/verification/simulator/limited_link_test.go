package simulator

import (
	"fmt"
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
)

// isMember says whether the leader counts a process, with the disk that it has now, as a member.
func (w *World) isMember(p *Process) bool {
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

// documentWithServices is a configuration with so many services beside those of the plan.
func (w *World) documentWithServices(number, services int) []byte {
	return w.editDocument(number, func(document map[string]any) {
		all := document["services"].(map[string]any)
		for i := range services {
			all[fmt.Sprintf("service-%d-%x", i, w.random.Uint32())] = map[string]any{"cap": 1 + w.random.IntN(90), "warm_cap": 1, "timeout_ms": 100 + w.random.IntN(5000), "body_max": 1 + w.random.IntN(1<<20)}
		}
	})
}

// putLargeConfigurations has operators put a large configuration ten times a second for a while.
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

// A member that lost its disk, on a link of 128 KiB a second, receives the whole state and votes again while
// ten changes a second of some 30 KB go on, whether the state began small or large; and a
// restarted one catches up. No leader changes by it, and what was acknowledged is in force.
func TestMemberCatchesUpOverALimitedLink(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		w := Start(seed+1, Small)
		const services = 370
		if n := len(w.documentWithServices(1, services)); n < 25<<10 || n > 40<<10 {
			t.Fatalf("a document of %d bytes", n)
		}
		w.putLargeConfigurations(18*time.Second, services)
		w.Run(w.now + 4*time.Second)
		leader := w.Leader()
		if leader == nil {
			t.Fatalf("seed %d: no leader: %s", seed, w.Failure)
		}
		p := w.followers()[0]
		w.Kill(p)
		if seed%2 == 0 {
			w.WipeDisk(p)
		}
		w.Run(w.now + 3*time.Second)
		w.limitLink(p, tuning.SlowLink)
		w.Restart(p)
		from := w.now
		caught := func() bool {
			l := w.Leader()
			return l != nil && w.isMember(p) && p.controller.Revision()+10 >= l.controller.Revision()
		}
		for w.now < from+12*time.Second && !caught() && w.Run(w.now+100*time.Millisecond) {
		}
		took := w.now - from
		if w.Failure != "" || !caught() {
			l := w.Leader()
			t.Fatalf("seed %d: %s; member %v after %v, revision %d of %d", seed, w.Failure, w.isMember(p), took, p.controller.Revision(), l.controller.Revision())
		}
		w.Run(w.now + 3*time.Second)
		if w.Leader() != leader || w.Failure != "" {
			t.Errorf("seed %d: the lead changed, %s", seed, w.Failure)
		}
		if !caught() {
			t.Errorf("seed %d: behind again: %d of %d", seed, p.controller.Revision(), w.Revision())
		}
		w.Run(from + 16*time.Second)
		acked := 0
		for _, c := range w.operators.changes {
			if c.state == changeAccepted {
				acked++
			}
		}
		t.Logf("seed %d: caught up after %v; %d changes acknowledged of %d", seed, took, acked, len(w.operators.changes))
		if acked < 150 {
			t.Errorf("seed %d: %d of %d changes acknowledged", seed, acked, len(w.operators.changes))
		}
	}
}
