package daemon

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"

	"myrtlefold/internal/controlplane"
	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// singleMember is a control plane of one member with a real write-ahead log and a simulated clock.
type singleMember struct {
	disk       *Disk
	loop       *Loop
	controller *controlplane.Controller
	now        time.Duration
	accepted   int // number of calls that were answered with status 200
}

func newSingleMember(tb testing.TB, p *Process) *singleMember {
	tb.Helper()
	disk, persisted, err := p.OpenDisk()
	if err != nil {
		tb.Fatal(err)
	}
	self := wire.Daemon{Name: "c1", Kind: wire.ControlDaemon, Addr: "c1", Incarnation: 1}
	return &singleMember{disk: disk, loop: p.Loop, now: time.Second, controller: controlplane.New(time.Second, controlplane.Settings{Self: self, BootstrapSize: 1}, persisted)}
}

// step passes an event to the controller and syncs the batches that it returns. It fails the test if a call is rejected.
func (m *singleMember) step(tb testing.TB, event statemachine.Event) {
	tb.Helper()
	var batches []*wire.Batch
	for _, command := range m.controller.Step(m.now, event) {
		switch c := command.(type) {
		case statemachine.Sync:
			batches = append(batches, c.Batch)
		case statemachine.Reply:
			if c.Status != 200 {
				tb.Fatalf("call rejected with status %d: %s", c.Status, c.Body)
			}
			m.accepted++
		}
	}
	if len(batches) > 0 {
		m.disk.sync(tb.Context(), batches)
		for len(m.loop.queue) > 0 {
			m.step(tb, (<-m.loop.queue).event)
		}
	}
}

// lead sends ticks until the member is the leader.
func (m *singleMember) lead(tb testing.TB) {
	tb.Helper()
	for end := m.now + 10*time.Second; !m.controller.Leading() && m.now < end; m.now += tuning.TickEvery {
		m.step(tb, statemachine.Tick{})
	}
	if !m.controller.Leading() {
		tb.Fatal("the member did not become leader within 10 s")
	}
}

// randomConfig returns a configuration of the given number of services with random limits.
func randomConfig(rnd *rand.Rand, services int) []byte {
	doc := []byte(`{"services":{`)
	for i := range services {
		if i > 0 {
			doc = append(doc, ',')
		}
		doc = fmt.Appendf(doc, `"service-%d":{"cap":%d,"warm_cap":1,"timeout_ms":%d,"body_max":%d}`, i, 1+rnd.IntN(90), 100+rnd.IntN(5000), 1+rnd.IntN(1<<20))
	}
	return append(doc, "}}"...)
}

// change replaces the configuration the given number of times, each time with one of the given number of services.
func (m *singleMember) change(tb testing.TB, changes, services int) {
	tb.Helper()
	rnd := rand.New(rand.NewPCG(uint64(changes), uint64(services)))
	for i := range changes {
		m.step(tb, statemachine.Call{ID: uint64(i) + 1, Token: fmt.Sprint("t", i), Method: "PUT", Path: "/v1/config", Query: fmt.Sprintf("base=%d", m.controller.Revision()), Body: randomConfig(rnd, services)})
		m.now += time.Millisecond
	}
	if m.accepted != changes {
		tb.Fatalf("%d of %d changes accepted, want all", m.accepted, changes)
	}
}

// persistedBytes returns the size of the encoded checkpoint of a persisted state.
func persistedBytes(tb testing.TB, persisted *consensus.PersistentState) int {
	tb.Helper()
	b, err := wire.EncodeBatch(persisted.Checkpoint())
	if err != nil {
		tb.Fatal(err)
	}
	return len(b)
}

// A member that restarts after many configuration changes has the same revision as before, and the size of its
// persisted state does not grow with the number of changes.
func TestRestartAfterManyChanges(t *testing.T) {
	p := newDiskProcess(t)
	m := newSingleMember(t, p)
	m.lead(t)
	m.change(t, 300, 10)
	again := newSingleMember(t, p)
	again.lead(t)
	if a, b := again.controller.Revision(), m.controller.Revision(); a != b || a != 300 {
		t.Errorf("revision %d after the restart, %d before, want 300", a, b)
	}
	if n := persistedBytes(t, &m.disk.persisted); n > tuning.WALFileSize/2 {
		t.Errorf("persisted state of %d bytes, want at most %d", n, tuning.WALFileSize/2)
	}
}

// BenchmarkRestart measures the time from the start of a process until its member can take part: reading the
// write-ahead log, checking the state and creating the state machine.
func BenchmarkRestart(b *testing.B) {
	for _, services := range []int{70, 350} {
		for _, changes := range []int{10, 1000, 10000} {
			b.Run(fmt.Sprintf("%d-services-%d-changes", services, changes), func(b *testing.B) {
				p := newDiskProcess(b)
				m := newSingleMember(b, p)
				m.lead(b)
				m.change(b, changes, services)
				persisted := m.disk.persistedCopy()
				size := persistedBytes(b, &persisted)
				b.ReportAllocs()
				for b.Loop() {
					again := newSingleMember(b, p)
					if again.controller.Revision() > uint64(changes) {
						b.Fatalf("revision %d after %d changes, want no more than one for each change", again.controller.Revision(), changes)
					}
				}
				b.ReportMetric(float64(size), "image-bytes")
				b.ReportMetric(float64(len(persisted.Log)), "log-entries")
			})
		}
	}
}
