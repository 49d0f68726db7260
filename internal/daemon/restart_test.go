package daemon

import (
	"fmt"
	"math/rand/v2"
	"myrtlefold/internal/shared/statemachine"
	"testing"
	"time"

	"myrtlefold/internal/controlplane"
	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// loneCore is a core of one member on a real ring, whose clock the test moves.
type loneCore struct {
	disk  *Disk
	core  *controlplane.Controller
	now   time.Duration
	taken int
}

func newLoneCore(tb testing.TB, h *Process) *loneCore {
	tb.Helper()
	d, img, err := h.OpenDisk()
	if err != nil {
		tb.Fatal(err)
	}
	self := wire.Daemon{Name: "c1", Kind: wire.ControlDaemon, Addr: "c1", Incarnation: 1}
	return &loneCore{disk: d, now: time.Second, core: controlplane.New(time.Second, controlplane.Settings{Self: self, BootstrapSize: 1}, img)}
}

func (l *loneCore) step(tb testing.TB, ev statemachine.Event) {
	tb.Helper()
	var batches []*wire.Batch
	for _, cmd := range l.core.Step(l.now, ev) {
		switch c := cmd.(type) {
		case statemachine.Sync:
			batches = append(batches, c.Batch)
		case statemachine.Reply:
			if c.Status != 200 {
				tb.Fatalf("%d %s", c.Status, c.Body)
			}
			l.taken++
		}
	}
	if len(batches) > 0 {
		l.disk.sync(batches)
		for len(l.disk.h.Loop.queue) > 0 {
			l.step(tb, (<-l.disk.h.Loop.queue).ev)
		}
	}
}

func (l *loneCore) lead(tb testing.TB) {
	tb.Helper()
	for end := l.now + 10*time.Second; !l.core.Leading() && l.now < end; l.now += tuning.TickEvery {
		l.step(tb, statemachine.Tick{})
	}
	if !l.core.Leading() {
		tb.Fatal("it does not lead")
	}
}

// changingConfig is a configuration of so many services whose figures change.
func changingConfig(rnd *rand.Rand, services int) []byte {
	doc := []byte(`{"services":{`)
	for i := range services {
		if i > 0 {
			doc = append(doc, ',')
		}
		doc = fmt.Appendf(doc, `"service-%d":{"cap":%d,"warm_cap":1,"timeout_ms":%d,"body_max":%d}`, i, 1+rnd.IntN(90), 100+rnd.IntN(5000), 1+rnd.IntN(1<<20))
	}
	return append(doc, "}}"...)
}

func (l *loneCore) change(tb testing.TB, changes, services int) {
	tb.Helper()
	rnd := rand.New(rand.NewPCG(uint64(changes), uint64(services)))
	for i := range changes {
		l.step(tb, statemachine.Call{ID: uint64(i) + 1, Token: fmt.Sprint("t", i), Method: "PUT", Path: "/v1/config", Query: fmt.Sprintf("base=%d", l.core.Revision()), Body: changingConfig(rnd, services)})
		l.now += time.Millisecond
	}
	if l.taken != changes {
		tb.Fatalf("%d of %d changes taken", l.taken, changes)
	}
}

func imageBytes(tb testing.TB, im *consensus.PersistentState) int {
	tb.Helper()
	b, err := wire.EncodeBatch(im.Checkpoint())
	if err != nil {
		tb.Fatal(err)
	}
	return len(b)
}

// A member that starts again after many changes is where it was, whatever their number, and
// its disk holds no more than after a few hundred.
func TestRestartAfterManyChanges(t *testing.T) {
	h := diskHost(t)
	l := newLoneCore(t, h)
	l.lead(t)
	l.change(t, 300, 10)
	again := newLoneCore(t, h)
	again.lead(t)
	if a, b := again.core.Revision(), l.core.Revision(); a != b || a != 300 {
		t.Errorf("revision %d after %d", a, b)
	}
	if n := imageBytes(t, &l.disk.img); n > tuning.WALFileSize/2 {
		t.Errorf("an image of %d bytes", n)
	}
}

// The time from a process's start until its core can take part: the ring is read, the image
// is checked, and the state is made from it.
func BenchmarkRestart(b *testing.B) {
	for _, services := range []int{70, 350} {
		for _, changes := range []int{10, 1000, 10000} {
			b.Run(fmt.Sprintf("%d-services-%d-changes", services, changes), func(b *testing.B) {
				h := diskHost(b)
				l := newLoneCore(b, h)
				l.lead(b)
				l.change(b, changes, services)
				im := l.disk.image()
				size := imageBytes(b, &im)
				b.ReportAllocs()
				for b.Loop() {
					again := newLoneCore(b, h)
					if again.core.Revision() > uint64(changes) {
						b.Fatal("more than there was")
					}
				}
				b.ReportMetric(float64(size), "image-bytes")
				b.ReportMetric(float64(len(im.Log)), "log-entries")
			})
		}
	}
}
