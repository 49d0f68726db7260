package simulator

import (
	"fmt"
	"testing"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// lossOfAll ends all daemons, some of them with what their disks had only, and starts them again.
func (w *World) lossOfAll() {
	for _, n := range w.all(wire.ControlDaemon) {
		w.procs[n].disk.open = nil
	}
	w.killAll()
	w.Run(w.now + 700*time.Millisecond)
	w.restartAll()
}

// After a loss of all processes the targets are known before any of them has said a
// word, and who ended meanwhile is offered to nobody.
func TestTargetsOutliveAll(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		w := Start(seed, Small)
		w.Run(w.now + time.Second)
		for _, x := range w.targets {
			x.still = true
		}
		dead := w.targets[2]
		w.lossOfAll()
		w.CrashTarget(dead)
		from := w.now
		for w.Run(w.now+20*time.Millisecond) && !w.Serving() {
			if w.now-from > time.Second {
				t.Fatalf("seed %d: nothing is served a second after all daemons were back\n%s", seed, w.Trace(20))
			}
		}
		w.Run(w.now + tuning.DialTimeout)
		for _, x := range w.targets {
			if w.served(x) != (x != dead) {
				t.Errorf("seed %d: %s/%s offered %v, ended %v", seed, x.service, x.name, w.served(x), x == dead)
			}
		}
		for end := w.now + tuning.TargetExpiry + time.Second; w.now < end && w.Run(w.now+100*time.Millisecond); {
			if w.served(dead) {
				t.Fatalf("seed %d: %s/%s is offered, which has ended", seed, dead.service, dead.name)
			}
		}
		check(t, w)
	}
}

// What was acknowledged of a leaving or a sign-off outlives the loss of all processes,
// whatever late words say.
func TestLeavingOutlivesAll(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		w := Start(seed, Small)
		w.Run(w.now + time.Second)
		x := w.targets[1]
		x.still = true
		word := wire.Target{Service: x.service, Name: x.name, Incarnation: x.inc, Addr: x.addr, Domain: x.domain, State: wire.TargetLeaving}
		method, path, query := "POST", "/v1/targets", ""
		if seed%2 == 1 {
			method, path, query = "DELETE", "/v1/targets/"+x.service+"/"+x.name, fmt.Sprintf("incarnation=%d", x.inc)
		}
		b := []byte(fmt.Sprintf(`{"service":%q,"name":%q,"incarnation":%d,"address":%q,"domain":%q,"state":"leaving"}`, word.Service, word.Name, word.Incarnation, word.Addr, word.Domain))
		if r, _ := w.inquire(t, w.procs[w.all(wire.ControlDaemon)[int(seed)%3]], method, path, query, string(b), ""); r.Status != 200 {
			t.Fatalf("seed %d: %d %s", seed, r.Status, r.Body)
		}
		w.lossOfAll()
		for end := w.now + 6*time.Second; w.now < end && w.Run(w.now+200*time.Millisecond); {
			w.say(w.procs[w.names[w.rnd.IntN(3)]], x, wire.TargetReady) // it was under way
			if w.served(x) {
				t.Fatalf("seed %d: %s/%s is offered again after its %s was acknowledged", seed, x.service, x.name, method)
			}
		}
		check(t, w)
	}
}
