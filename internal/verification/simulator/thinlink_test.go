package simulator

import (
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
)

// A member that lost its disk, on a link of 128 KiB a second, learns all and votes again while
// ten changes a second of some 30 KB go on, whether the state began small or large; and a
// restarted one catches up. Nobody's lead ends by it, and what was acknowledged is in force.
func TestMemberOnAThinLinkUnderAStorm(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		w := Start(seed+1, Small)
		const services = 370
		if n := len(w.largeDoc(1, services)); n < 25<<10 || n > 40<<10 {
			t.Fatalf("a document of %d bytes", n)
		}
		w.StartChangeStorm(18*time.Second, services)
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
		w.LimitLink(p, tuning.SlowLink)
		w.Restart(p)
		from := w.now
		caught := func() bool {
			l := w.Leader()
			return l != nil && w.isMember(p) && p.core.Revision()+10 >= l.core.Revision()
		}
		for w.now < from+12*time.Second && !caught() && w.Run(w.now+100*time.Millisecond) {
		}
		took := w.now - from
		if w.Failure != "" || !caught() {
			l := w.Leader()
			t.Fatalf("seed %d: %s; member %v after %v, revision %d of %d", seed, w.Failure, w.isMember(p), took, p.core.Revision(), l.core.Revision())
		}
		w.Run(w.now + 3*time.Second)
		if w.Leader() != leader || w.Failure != "" {
			t.Errorf("seed %d: the lead changed, %s", seed, w.Failure)
		}
		if !caught() {
			t.Errorf("seed %d: behind again: %d of %d", seed, p.core.Revision(), w.Revision())
		}
		w.Run(from + 16*time.Second)
		acked := 0
		for _, c := range w.changes {
			if c.state == "accepted" {
				acked++
			}
		}
		t.Logf("seed %d: caught up after %v; %d changes acknowledged of %d", seed, took, acked, len(w.changes))
		if acked < 150 {
			t.Errorf("seed %d: %d of %d changes acknowledged", seed, acked, len(w.changes))
		}
	}
}
